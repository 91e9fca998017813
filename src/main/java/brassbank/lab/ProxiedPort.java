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
 * Where one proxy meets one machine of the site: a listening socket that does to a connect what the
 * simulated network would do to it at this moment. It owns the socket and whatever fills its queue.
 */
final class ProxiedPort implements RealTimeDriver.ReadyHandler {
  /** Linux holds one connection more than this in the queue of a listening socket. */
  private static final int BACKLOG = 2;

  private final RealTimeDriver turner;
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
   * @param address where the process connects to
   * @param port what it means by that in the simulated network
   * @param accepted is handed each connection, and owns it
   */
  ProxiedPort(
      RealTimeDriver turner,
      Fabric fabric,
      Machine from,
      Machine to,
      int port,
      InetSocketAddress address,
      Consumer<SocketChannel> accepted) {
    this.turner = turner;
    this.fabric = fabric;
    this.from = from;
    this.to = to;
    this.port = port;
    this.address = address;
    this.acceptHandler = accepted;
  }

  Machine to() {
    return to;
  }

  int port() {
    return port;
  }

  /** Does as the network does now; whether anything had to change for it. */
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
        // Those who fill the queue make room, and who came beside them is let in.
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
      key = turner.register(listener, 0, this);
    }
  }

  /** A SYN that meets a full queue is dropped, and its kernel sends it again after 1, 3, 7 s. */
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
      throw new LabException("the lab cannot accept at " + address + ": " + e.getMessage(), e);
    }
  }

  /** Nobody is met here: connects are refused. */
  void close() throws IOException {
    clearAcceptQueue();
    if (listener != null) {
      listener.close();
      listener = null;
    }
    reach = Fabric.ConnectResult.REFUSED;
  }
}
