package brassbank.sim.actor;

import brassbank.sim.event.Event;
import brassbank.sim.event.Trace;
import brassbank.sim.net.Fabric;
import brassbank.sim.net.Machine;
import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The environment that all actors of one run share: time, randomness, the network, the trace, and
 * the other actors.
 */
public final class World {
  /** The Unix time at which a run in virtual time begins: 2026-01-01T00:00:00Z. */
  public static final long EPOCH_MILLIS = 1_767_225_600_000L;

  private final Agenda agenda;
  private final RandomStreams draws;
  private final Fabric fabric;
  private final Trace trace;
  private final Site site;
  private final AddressMapping addresses;
  private long epochMillis;
  private final FlowEndpoints flows = new FlowEndpoints();
  private final Map<String, StreamHost> hosts = new LinkedHashMap<>();
  private Discovery discovery;
  private UpstreamLoadBalancer loadBalancer;

  /**
   * @param epochMillis Unix time at the beginning of the run
   */
  public World(
      Agenda agenda,
      RandomStreams draws,
      Fabric fabric,
      Trace trace,
      Site site,
      AddressMapping addresses,
      long epochMillis) {
    this.agenda = agenda;
    this.draws = draws;
    this.fabric = fabric;
    this.trace = trace;
    this.site = site;
    this.addresses = addresses;
    this.epochMillis = epochMillis;
  }

  /**
   * Returns the Unix time in milliseconds at {@code micros} of the run, by the clock that every
   * machine reads.
   */
  public long unixMillis(long micros) {
    return epochMillis + micros / Agenda.MILLI;
  }

  /** Returns the Unix time at which the run began. */
  public long epochMillis() {
    return epochMillis;
  }

  /** Sets the Unix time at which the run began. */
  public void setEpochMillis(long unixMillis) {
    epochMillis = unixMillis;
  }

  AddressMapping addresses() {
    return addresses;
  }

  public Agenda agenda() {
    return agenda;
  }

  public long now() {
    return agenda.now();
  }

  public RandomStreams draws() {
    return draws;
  }

  public Fabric fabric() {
    return fabric;
  }

  public Site site() {
    return site;
  }

  public FlowEndpoints flows() {
    return flows;
  }

  public Discovery discovery() {
    return discovery;
  }

  public void discovery(Discovery service) {
    discovery = service;
  }

  public UpstreamLoadBalancer loadBalancer() {
    return loadBalancer;
  }

  public void loadBalancer(UpstreamLoadBalancer balancer) {
    loadBalancer = balancer;
  }

  /** Returns all stream hosts by their names, in a fixed order. */
  public Map<String, StreamHost> hosts() {
    return hosts;
  }

  /** Publishes an event to the trace's listeners. */
  public void publish(Event event) {
    trace.publish(event);
  }

  /**
   * Creates a machine with the address 10.{group}.{number / 256}.{number % 256}; no name is
   * resolved.
   */
  public Machine machine(String name, String zone, int group, int number) {
    try {
      InetAddress address =
          InetAddress.getByAddress(
              new byte[] {10, (byte) group, (byte) (number >> 8), (byte) number});
      return fabric.addMachine(name, zone, address);
    } catch (UnknownHostException e) {
      throw new IllegalStateException("four bytes are an address", e);
    }
  }
}
