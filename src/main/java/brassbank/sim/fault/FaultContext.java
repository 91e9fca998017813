package brassbank.sim.fault;

import brassbank.sim.actor.BadClient;
import brassbank.sim.actor.ProxyInstance;
import brassbank.sim.actor.StreamHost;
import brassbank.sim.actor.World;
import brassbank.sim.net.Disturbance;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** What faults may act upon: the world, the proxies, and what a fault has left to take back. */
public final class FaultContext {
  /** Brings clients: the run does, since it knows their numbers. */
  public interface ClientGenerator {
    /** Extra usual clients for a while, so many a second. */
    void addClients(double rate, long millis);

    /** Bad clients for a while, so many a second. */
    void addBadClients(BadClient.Kind kind, double rate, long millis);
  }

  private final World world;
  private final Map<String, ProxyInstance> proxies;
  private final ClientGenerator clientGenerator;
  private final Map<Fault, Deque<Disturbance>> disturbances = new HashMap<>();

  public FaultContext(World world, Map<String, ProxyInstance> proxies, ClientGenerator crowd) {
    this.world = world;
    this.proxies = proxies;
    this.clientGenerator = crowd;
  }

  World world() {
    return world;
  }

  ClientGenerator clientGenerator() {
    return clientGenerator;
  }

  StreamHost host(Fault fault) {
    return world.hosts().get(fault.target());
  }

  Collection<StreamHost> hosts() {
    return world.hosts().values();
  }

  ProxyInstance proxy(Fault fault) {
    return proxies.get(fault.target());
  }

  Collection<ProxyInstance> proxies() {
    return proxies.values();
  }

  void beginDisturbance(Fault fault, Disturbance disturbance) {
    disturbances.computeIfAbsent(fault, f -> new ArrayDeque<>()).add(disturbance);
    world.fabric().addDisturbance(disturbance);
  }

  void endDisturbance(Fault fault) {
    world.fabric().removeDisturbance(disturbances.get(fault).remove());
  }
}
