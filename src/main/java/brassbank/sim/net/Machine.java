package brassbank.sim.net;

import java.net.InetAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * One machine, with an address of its own: the kernel's part of its connections. A machine that is
 * dark has no power: it neither sends nor takes, and has forgotten its connections once it is back.
 */
public final class Machine {
  private final Fabric fabric;
  private final String name;
  private final String zone;
  private final InetAddress address;
  private final Map<Integer, ListeningSocket> listeners = new LinkedHashMap<>();
  private final Map<Integer, DatagramSocket> sockets = new LinkedHashMap<>();
  private final Set<Endpoint> endpoints = new LinkedHashSet<>();
  private final Map<String, Long> baseLatencyMicros = new HashMap<>();
  private boolean hasNoPower;
  private long connectsOpened;
  private long sentDatagrams;
  private long sentDatagramBytes;

  Machine(Fabric fabric, String name, String zone, InetAddress address) {
    this.fabric = fabric;
    this.name = name;
    this.zone = zone;
    this.address = address;
  }

  public String name() {
    return name;
  }

  public String zone() {
    return zone;
  }

  public InetAddress address() {
    return address;
  }

  public Fabric fabric() {
    return fabric;
  }

  public boolean hasNoPower() {
    return hasNoPower;
  }

  /**
   * The power goes: no one is told, and the kernel's state is gone. The processes on it are to be
   * killed by their owners, whose resets then reach nobody.
   */
  public void losePower() {
    hasNoPower = true;
    for (Endpoint endpoint : List.copyOf(endpoints)) {
      endpoint.dropSilently();
    }
    endpoints.clear();
    listeners.clear();
    sockets.clear();
  }

  /** The power is back; whatever still arrives for an old connection is answered by a reset. */
  public void restorePower() {
    hasNoPower = false;
  }

  /** One way's latency to another machine, in microseconds, or null where it is not drawn yet. */
  Long latencyTo(Machine other) {
    return baseLatencyMicros.get(other.name);
  }

  void latencyTo(Machine other, long micros) {
    baseLatencyMicros.put(other.name, micros);
  }

  long nextConnectNumber() {
    return connectsOpened++;
  }

  void addEndpoint(Endpoint endpoint) {
    endpoints.add(endpoint);
  }

  void removeEndpoint(Endpoint endpoint) {
    endpoints.remove(endpoint);
  }

  /** As a box on the way does that forgets its connections: each end sees a reset. */
  void resetConnections(Predicate<Machine> peers) {
    for (Endpoint endpoint : List.copyOf(endpoints)) {
      if (peers.test(endpoint.peerMachine())) {
        endpoint.resetByMiddlebox();
      }
    }
  }

  /** Datagrams that its programs have sent so far. */
  public long sentDatagrams() {
    return sentDatagrams;
  }

  /** Bytes in them. */
  public long sentDatagramBytes() {
    return sentDatagramBytes;
  }

  void countSent(int bytes) {
    sentDatagrams++;
    sentDatagramBytes += bytes;
  }

  boolean bindDatagramSocket(int port) {
    return sockets.containsKey(port);
  }

  void bindDatagramSocket(int port, DatagramSocket socket) {
    if (sockets.putIfAbsent(port, socket) != null) {
      throw new IllegalStateException(name + " takes datagrams at " + port + " already");
    }
  }

  void unbindDatagramSocket(int port) {
    sockets.remove(port);
  }

  /** A datagram has come; without a socket for it it is lost, and so it is without power. */
  void deliverDatagram(Machine from, int fromPort, int port, byte[] bytes) {
    DatagramSocket socket = hasNoPower ? null : sockets.get(port);
    if (socket != null) {
      socket.deliver(from, fromPort, bytes);
    }
  }

  ListeningSocket listener(int port) {
    return listeners.get(port);
  }

  void bindListener(int port, ListeningSocket listener) {
    if (listeners.putIfAbsent(port, listener) != null) {
      throw new IllegalStateException(name + " listens on " + port + " already");
    }
  }

  void unbindListener(int port) {
    listeners.remove(port);
  }

  @Override
  public String toString() {
    return name;
  }
}
