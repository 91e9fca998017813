package brassbank.sim.check;

import java.util.Collections;
import java.util.List;
import java.util.Set;

/**
 * Facts about the run that no proxy can know and that rules need, so that a proxy is not blamed for
 * what the network or another actor did.
 */
public interface GroundTruth {
  /** The protocol's allowance for delays of sockets, which extends each time limit. */
  long SOCKET_SLACK_MICROS = 50_000;

  /**
   * Returns by how much each time limit is extended in this run, in microseconds: more than the
   * protocol's allowance on a machine that other programs use.
   */
  default long slack() {
    return SOCKET_SLACK_MICROS;
  }

  /** Returns since when neither the network nor the client has delayed the client's connection. */
  long clientCalmSince(String flow);

  /**
   * Returns since when neither the network nor the stream host has delayed the host's connection.
   */
  long hostCalmSince(String flow);

  /** Returns since when nothing has kept this proxy's process from running. */
  long proxyCalmSince(String proxy);

  /** Returns since when discovery has worked and could be reached by this proxy. */
  long discoverySoundSince(String proxy);

  /** Returns the names of the proxies that run as members of the fleet. */
  default Set<String> runningMembers() {
    return Collections.emptySet();
  }

  /**
   * Returns since when two members have run and could reach each other, directly or through a
   * third, by the loss and delay that membership has to tolerate; {@link Long#MAX_VALUE} while they
   * cannot.
   */
  default long mutuallyReachableSince(String one, String other) {
    return Long.MAX_VALUE;
  }

  /** Returns the number of datagrams that this proxy has sent so far, and of bytes in them. */
  default long[] datagrams(String proxy) {
    return new long[2];
  }

  /** Returns the zone of a proxy or a stream host. */
  default String zone(String name) {
    return "";
  }

  /**
   * Returns whether most hosts of a proxy's zone have served for {@code forMicros} and have
   * capacity.
   */
  default boolean zoneHasCapacity(String proxy, long forMicros) {
    return false;
  }

  /** Returns the number of descriptors that this proxy holds. */
  int descriptors(String proxy);

  /** Returns the number of descriptors that this proxy may hold. */
  int descriptorLimit(String proxy);

  /** Returns the load on all serving stream hosts, relative to their current capacity. */
  double fleetLoad();

  /**
   * Returns the names of the stream hosts that have served for {@code forMicros}, have capacity,
   * and are in the zone of a proxy: a proxy uses hosts of another zone only as a last resort.
   */
  List<String> usableHosts(long forMicros);
}
