package brassbank.lab;

import brassbank.sim.net.Fabric;
import brassbank.sim.net.Machine;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The listening socket that stands for one machine of the simulated network towards one proxy. A
 * connect to it is accepted, refused or left without an answer, as the simulated network would do
 * at this moment. Owns the socket and the connections that fill its accept queue.
 */
final class ProxiedPort implements RealTimeDriver.ReadyHandler {
  /** Linux queues one connection more than this on a listening socket. */
  private static final int BACKLOG = 2;

  private final RealTimeDriver driver;
  private final Fabric fabric;
  private final Machine from;
  private final Machine to;
  private final int port;
  private final InetSocketAddress address;
  private final Consumer<SocketChannel> acceptHandler;
  private final List<SocketChannel> queueFillers = new ArrayList<>();
  private final Set<SocketAddress> fillerAddresses = new HashSet<>();
  private Fabric.ConnectResult reach = Fabric.ConnectResult.REFUSED;
  private ServerSocketChannel listener;
  private SelectionKey key;

  /**
   * @param address the address to which the process connects
   * @param port the port in the simulated network that the address stands for
   * @param acceptHandler receives each accepted connection, and owns it
   */
  ProxiedPort(
      RealTimeDriver driver,
      Fabric fabric,
      Machine from,
      Machine to,
      int port,
      InetSocketAddress address,
      Consumer<SocketChannel> acceptHandler) {
    this.driver = driver;
    this.fabric = fabric;
    this.from = from;
    this.to = to;
    this.port = port;
    this.address = address;
    this.acceptHandler = acceptHandler;
  }

  Machine to() {
    return to;
  }

  int port() {
    return port;
  }

  /**
   * Brings the socket into the state that the simulated network has now.
   *
   * @return whether the state had changed
   */
  boolean syncWithNetwork() throws IOException {
    Fabric.ConnectResult now = fabric.probeConnect(from, to, port);
    if (now == reach) {
      return false;
    }
    switch (now) {
      case REFUSED -> close();
      case OPEN -> {
        listen();
        key.interestOps(SelectionKey.OP_ACCEPT);
        // Drains the queue: fillers are closed, real connections that queued are accepted.
        onReady(key);
        clearAcceptQueue();
      }
      default -> {
        listen();
        key.interestOps(0);
        fillAcceptQueue();
      }
    }
    reach = now;
    return true;
  }

  private void listen() throws IOException {
    if (listener == null) {
      listener = ServerSocketChannel.open();
      listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      listener.bind(address, BACKLOG);
      listener.configureBlocking(false);
      key = driver.register(listener, 0, this);
    }
  }

  /**
   * Fills the accept queue, so that connects get no answer: the kernel drops a SYN that meets a
   * full queue, and the sender's kernel repeats it after 1, 3 and 7 s.
   */
  private void fillAcceptQueue() throws IOException {
    for (int i = 0; i <= BACKLOG; i++) {
      SocketChannel filler = SocketChannel.open();
      queueFillers.add(filler);
      filler.configureBlocking(false);
      filler.connect(address);
      fillerAddresses.add(filler.getLocalAddress());
    }
  }

  private void clearAcceptQueue() {
    queueFillers.forEach(SocketBridge::reset);
    queueFillers.clear();
    fillerAddresses.clear();
  }

  @Override
  public void onReady(SelectionKey ready) {
    try {
      for (SocketChannel channel = listener.accept();
          channel != null;
          channel = listener.accept()) {
        if (fillerAddresses.contains(channel.getRemoteAddress())) {
          channel.close();
        } else {
          channel.configureBlocking(false);
          acceptHandler.accept(channel);
        }
      }
    } catch (IOException e) {
      throw new LabException(
          "the lab cannot accept connections at " + address + ": " + e.getMessage(), e);
    }
  }

  /** Closes the socket, so that connects are refused. */
  void close() throws IOException {
    clearAcceptQueue();
    if (listener != null) {
      listener.close();
      listener = null;
    }
    reach = Fabric.ConnectResult.REFUSED;
  }
}
