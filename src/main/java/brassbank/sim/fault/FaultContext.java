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

/**
 * Gives faults access to the parts of the simulation that they act on, and keeps the network
 * disturbances that active faults have yet to remove.
 */
public final class FaultContext {
  /** Adds clients; implemented by the run, which assigns client numbers. */
  public interface ClientGenerator {
    /** Adds well-behaved clients at {@code rate} per second for {@code millis}. */
    void addClients(double rate, long millis);

    /** Adds misbehaving clients at {@code rate} per second for {@code millis}. */
    void addBadClients(BadClient.Kind kind, double rate, long millis);
  }

  private final World world;
  private final Map<String, ProxyInstance> proxies;
  private final ClientGenerator clientGenerator;
  private final Map<Fault, Deque<Disturbance>> disturbances = new HashMap<>();

  public FaultContext(
      World world, Map<String, ProxyInstance> proxies, ClientGenerator clientGenerator) {
    this.world = world;
    this.proxies = proxies;
    this.clientGenerator = clientGenerator;
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
