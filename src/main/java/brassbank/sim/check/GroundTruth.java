package brassbank.sim.check;

import java.util.Collections;
import java.util.List;
import java.util.Set;

/** What no proxy can know and the rules must, to blame no one for what the network did. */
public interface GroundTruth {
  /** PROTOCOL, The rules on sockets: each time limit is extended by this. */
  long SOCKET_SLACK_MICROS = 50_000;

  /**
   * What each time limit is extended by here; more than the protocol's on a machine that others
   * use.
   */
  default long slack() {
    return SOCKET_SLACK_MICROS;
  }

  /** Since when neither the network nor the client has held up the client's connection. */
  long clientCalmSince(String flow);

  /** Since when neither the network nor the stream host has held up its connection. */
  long hostCalmSince(String flow);

  /** Since when nothing has kept this proxy's process from running. */
  long proxyCalmSince(String proxy);

  /** Since when discovery has worked, and could be reached by this proxy. */
  long discoverySoundSince(String proxy);

  /** Names of the proxies that run as members of the fleet. */
  default Set<String> runningMembers() {
    return Collections.emptySet();
  }

  /**
   * Since when two members have run, and could hear each other, straight or by a third, whatever
   * the rules take for a way; Long.MAX_VALUE while it is not so.
   */
  default long mutuallyReachableSince(String one, String other) {
    return Long.MAX_VALUE;
  }

  /** Datagrams that this proxy has sent so far, and bytes in them. */
  default long[] datagrams(String proxy) {
    return new long[2];
  }

  /** The zone that a proxy or a stream host is in. */
  default String zone(String name) {
    return "";
  }

  /** Whether most hosts of a proxy's zone have served for so long, and have room. */
  default boolean zoneHasCapacity(String proxy, long forMicros) {
    return false;
  }

  /** Descriptors that this proxy holds now. */
  int descriptors(String proxy);

  /** Descriptors that this proxy may hold. */
  int descriptorLimit(String proxy);

  /** Load asked of all stream hosts that serve, over what they can do now. */
  double fleetLoad();

  /**
   * Names of the stream hosts that have served for so long, have room, and stand in a zone that a
   * proxy serves: of another zone a proxy takes hosts only as a last resort.
   */
  List<String> usableHosts(long forMicros);
}
