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
  private final Map<Integer, Port> listeners = new LinkedHashMap<>();
  private final Map<Integer, Datagrams> sockets = new LinkedHashMap<>();
  private final Set<Endpoint> endpoints = new LinkedHashSet<>();
  private final Map<String, Long> ways = new HashMap<>();
  private boolean dark;
  private long opened;
  private long datagrams;
  private long datagramBytes;

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

  public boolean dark() {
    return dark;
  }

  /**
   * The power goes: no one is told, and the kernel's state is gone. The processes on it are to be
   * killed by their owners, whose resets then reach nobody.
   */
  public void darken() {
    dark = true;
    for (Endpoint endpoint : List.copyOf(endpoints)) {
      endpoint.vanish();
    }
    endpoints.clear();
    listeners.clear();
    sockets.clear();
  }

  /** The power is back; whatever still arrives for an old connection is answered by a reset. */
  public void lighten() {
    dark = false;
  }

  /** One way's latency to another machine, in microseconds, or null where it is not drawn yet. */
  Long wayTo(Machine other) {
    return ways.get(other.name);
  }

  void wayTo(Machine other, long micros) {
    ways.put(other.name, micros);
  }

  long nextOpened() {
    return opened++;
  }

  void holds(Endpoint endpoint) {
    endpoints.add(endpoint);
  }

  void forgets(Endpoint endpoint) {
    endpoints.remove(endpoint);
  }

  /** As a box on the way does that forgets its connections: each end sees a reset. */
  void resetAll(Predicate<Machine> peers) {
    for (Endpoint endpoint : List.copyOf(endpoints)) {
      if (peers.test(endpoint.peerMachine())) {
        endpoint.cutOff();
      }
    }
  }

  /** Datagrams that its programs have sent so far. */
  public long datagrams() {
    return datagrams;
  }

  /** Bytes in them. */
  public long datagramBytes() {
    return datagramBytes;
  }

  void sent(int bytes) {
    datagrams++;
    datagramBytes += bytes;
  }

  boolean hears(int port) {
    return sockets.containsKey(port);
  }

  void hears(int port, Datagrams socket) {
    if (sockets.putIfAbsent(port, socket) != null) {
      throw new IllegalStateException(name + " takes datagrams at " + port + " already");
    }
  }

  void hearsNoLonger(int port) {
    sockets.remove(port);
  }

  /** A datagram has come; without a socket for it it is lost, and so it is without power. */
  void arrives(Machine from, int fromPort, int port, byte[] bytes) {
    Datagrams socket = dark ? null : sockets.get(port);
    if (socket != null) {
      socket.arrives(from, fromPort, bytes);
    }
  }

  Port listener(int port) {
    return listeners.get(port);
  }

  void listens(int port, Port listener) {
    if (listeners.putIfAbsent(port, listener) != null) {
      throw new IllegalStateException(name + " listens on " + port + " already");
    }
  }

  void listensNoLonger(int port) {
    listeners.remove(port);
  }

  @Override
  public String toString() {
    return name;
  }
}
