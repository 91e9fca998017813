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
 * A machine with its own address, and the kernel state of its sockets. A machine without power
 * neither sends nor receives; its kernel state is lost when the power returns.
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
   * Cuts the power: the kernel's state is lost without notice to peers. The owners of the machine's
   * programs must kill them; the resets that this causes are not sent.
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

  /** Restores the power; segments for an old connection are answered by a reset. */
  public void restorePower() {
    hasNoPower = false;
  }

  /** Returns the base latency to another machine in microseconds, or null if not yet drawn. */
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

  /** Resets connections like a middlebox that has lost its state: both ends see a reset. */
  void resetConnections(Predicate<Machine> peers) {
    for (Endpoint endpoint : List.copyOf(endpoints)) {
      if (peers.test(endpoint.peerMachine())) {
        endpoint.resetByMiddlebox();
      }
    }
  }

  /** Returns the number of datagrams sent by the programs of this machine. */
  public long sentDatagrams() {
    return sentDatagrams;
  }

  /** Returns the number of payload bytes in the sent datagrams. */
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

  /**
   * Delivers a datagram; it is lost if the machine has no power or no socket is bound to the port.
   */
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
