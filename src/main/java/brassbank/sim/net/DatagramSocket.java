package brassbank.sim.net;

import brassbank.sim.time.RandomStreams;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * A datagram socket of a program. Datagrams may be lost or duplicated, without notice to the
 * sender. They are reordered only on a path with an active disturbance. A datagram to an address
 * without a socket is lost.
 */
public final class DatagramSocket {
  /**
   * Maximum payload: that of an Ethernet frame, since a path without fragmentation rejects more.
   */
  public static final int MAX_BYTES = 1_472;

  /** Receives datagrams, each in a task of its copy of the program. */
  public interface Handler {
    void received(Machine from, int port, byte[] bytes);
  }

  private final Program program;
  private final int port;
  private final Handler handler;
  private final RandomStreams.Stream stream;
  private final Map<Machine, Long> lastArrival = new HashMap<>();
  private boolean open = true;

  DatagramSocket(Program program, int port, Handler handler) {
    this.program = program;
    this.port = port;
    this.handler = handler;
    stream = program.machine().fabric().datagramStream(program.machine());
  }

  /** Sends to a socket address; the datagram is lost if no machine has the address. */
  public void send(InetSocketAddress to, byte[] bytes) {
    send(program.machine().fabric().machineAt(to.getAddress()), to.getPort(), bytes);
  }

  /**
   * Sends to the socket at a port of another machine.
   *
   * @throws IllegalArgumentException if the datagram is longer than {@link #MAX_BYTES}
   */
  public void send(Machine to, int toPort, byte[] bytes) {
    if (bytes.length > MAX_BYTES) {
      throw new IllegalArgumentException("a datagram of " + bytes.length + " bytes");
    }
    Machine from = program.machine();
    Fabric fabric = from.fabric();
    from.countSent(bytes.length);
    if (!open || to == null || fabric.isBlocked(from, to) || fabric.drawLoss(from, to, stream)) {
      return;
    }
    byte[] copy = bytes.clone();
    int copies = fabric.drawDuplication(from, to, stream) ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long arrival = fabric.agenda().now() + fabric.drawLatency(from, to, stream);
      if (!fabric.isPathDisturbed(from, to)) {
        arrival = Math.max(arrival, lastArrival.getOrDefault(to, 0L));
        lastArrival.put(to, arrival);
      }
      fabric.agenda().at(arrival, () -> to.deliverDatagram(from, port, toPort, copy));
    }
  }

  void deliver(Machine from, int fromPort, byte[] bytes) {
    program.schedule(
        0,
        () -> {
          if (open) {
            handler.received(from, fromPort, bytes.clone());
          }
        });
  }

  /** Closes the socket. */
  public void close() {
    if (open) {
      open = false;
      program.machine().unbindDatagramSocket(port);
    }
  }
}
