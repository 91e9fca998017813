package brassbank.config.file;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Declares every key of the file with its default, unit and bounds. docs/configuration.md is
 * generated from these declarations.
 */
final class Keys {
  private static final long KIB = 1L << 10;
  private static final long MIB = 1L << 20;
  private static final long GIB = 1L << 30;
  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000 * MILLI;
  private static final long HOUR = 3_600 * SECOND;

  private static final List<Key<?>> KEYS = new ArrayList<>();
  private static final Map<String, String> TABLE_DESCRIPTIONS = new LinkedHashMap<>();

  private Keys() {}

  // The reference lists tables and keys in the order of these declarations.

  static {
    table(
        "relay",
        "How established sessions are relayed, and the limits on slow peers. The proxy queues bytes"
            + " for a peer that does not read; a peer that begins a line and does not finish it"
            + " keeps its session in the middle of that line. docs/relay.md says how to choose.");
  }

  static final Key<Long> TURN =
      key(
          "relay.turn",
          ValueType.size(KIB, 16 * MIB),
          64 * KIB,
          "The most bytes that are read from one peer before other peers are read.");

  static final Key<Long> BUDGET =
      key(
          "relay.budget",
          ValueType.size(64 * KIB, 64 * GIB),
          16 * MIB,
          "The most bytes that may be queued for all slow peers together. Above it the sessions"
              + " with the most severe backlogs are ended at once, until the rest is within it.");

  static final Key<Long> PRACTICE_BUDGET =
      key(
          "relay.practice-budget",
          ValueType.size(16 * KIB, 64 * GIB),
          4 * MIB,
          "The same for the slow peers of each practice, so that one practice cannot use up the"
              + " whole budget.");

  static {
    table("relay.practice.*", "Limits of one practice, by its name in the settings.");
  }

  static final Key<Long> SINGLE_PRACTICE_BUDGET =
      key(
          "relay.practice.*.budget",
          ValueType.size(16 * KIB, 64 * GIB),
          null,
          "Replaces `relay.practice-budget` for this practice.");

  static {
    table("relay.client", "The limits of a client.");
  }

  static final Side CLIENT = new Side("relay.client", "client", "host");

  static final Key<Long> FAREWELL =
      key(
          "relay.client.farewell",
          ValueType.time(100 * MILLI, 60 * SECOND),
          2 * SECOND,
          "How long a slow client to which `MOVE` is sent may take to read up to it. After that its"
              + " connection is reset, which frees its memory and its descriptor.");

  static {
    table("relay.target", "The limits of a stream host in one session.");
  }

  static final Side TARGET = new Side("relay.target", "host", "client");

  static {
    table(
        "membership",
        "The fleet of which this proxy is a member; off without this table. docs/membership.md says"
            + " how to enable it and what it reports.");
  }

  static final Key<String> FLEET =
      key(
          "membership.fleet",
          ValueType.name(),
          null,
          "The fleet's name; datagrams of other fleets are dropped.");

  static final Key<Addresses> LISTEN =
      key(
          "membership.listen",
          ValueType.address(),
          null,
          "The UDP address on which datagrams are received; by default the address and port for"
              + " clients.");

  static final Key<Addresses> ADVERTISE =
      key(
          "membership.advertise",
          ValueType.address(),
          null,
          "The address at which other members reach this proxy, if it is not `listen`.");

  static final Key<Addresses> SEEDS =
      key(
          "membership.seeds",
          ValueType.addresses(),
          new Addresses(List.of()),
          "Addresses of some members of the fleet; the proxy's own may be among them. SIGHUP reads"
              + " this key again, and no other key of this table.");

  static final Key<Long> SUSPICION =
      key(
          "membership.suspicion",
          ValueType.time(500 * MILLI, 60 * SECOND),
          SECOND,
          "The shortest time after which a silent member is declared failed, in a fleet of up to"
              + " ten; it grows with the logarithm of the size. A smaller value detects failed"
              + " members sooner and mistakes more pauses for failures.");

  static final Key<Long> FORGET =
      key(
          "membership.forget",
          ValueType.time(60 * SECOND, 24 * HOUR),
          HOUR,
          "For how long members that failed or left are remembered and probed in case they are"
              + " back.");

  static {
    table(
        "shares",
        "Division of the fleet's budgets among the live members; off without this table, needs"
            + " [membership]. docs/shares.md describes the costs and benefits.");
  }

  static final Key<Double> BASE_FRACTION =
      key(
          "shares.base",
          ValueType.fraction(0.05),
          null,
          "The fraction of each budget that is divided by the numbers of the platform's file,"
              + " independent of the live members; the rest is divided among the live members. With"
              + " 1.0 everything is divided by the file. It must be the same in all files of a"
              + " fleet.");

  static {
    table(
        "subsets",
        "Each proxy uses a subset of the hosts; off without this table, needs [membership]."
            + " docs/subsets.md describes the costs and benefits.");
  }

  static final Key<Long> MIN_ASKERS =
      key(
          "subsets.askers",
          ValueType.count(1, 1_000),
          null,
          "The minimum number of proxies that use a host; more do where a proxy would otherwise"
              + " have fewer than eight hosts. It must be the same in all files of a fleet.");

  /** The keys that both sides of a session have. */
  static final class Side {
    final Key<Long> waiting;
    final Key<Long> kernelBuffer;
    final Key<Long> age;
    final Key<Long> rate;
    final Key<Long> window;
    final Key<Long> line;

    private Side(String table, String peer, String other) {
      waiting =
          key(
              table + ".waiting",
              ValueType.size(4 * KIB, 16 * MIB),
              64 * KIB,
              "The most bytes that may be queued for one "
                  + peer
                  + ". While that many are, its "
                  + other
                  + " is not read.");
      kernelBuffer =
          key(
              table + ".kernel-buffer",
              ValueType.size(4 * KIB, 16 * MIB),
              32 * KIB,
              "The size of the kernel's send buffer for one "
                  + peer
                  + " (`SO_SNDBUF`), in addition to that. It does not count to"
                  + " a budget, and a slow peer is detected only once it is full.");
      age =
          key(
              table + ".age",
              ValueType.time(500 * MILLI, HOUR),
              60 * SECOND,
              "The longest time for which a byte may be queued for a " + peer + ".");
      rate =
          key(
              table + ".rate",
              ValueType.rate(0, 100 * MIB),
              2 * KIB,
              "The minimum rate at which a "
                  + peer
                  + " must read while bytes are queued for it without a break; `0 B/s`"
                  + " for no minimum.");
      window =
          key(
              table + ".window",
              ValueType.time(500 * MILLI, HOUR),
              20 * SECOND,
              "The time over which `rate` is measured. A "
                  + peer
                  + " that pauses for less is not"
                  + " disconnected for its rate.");
      line =
          key(
              table + ".line",
              ValueType.time(500 * MILLI, HOUR),
              30 * SECOND,
              "The longest time that a " + peer + " may take to finish a line that it has begun.");
    }
  }

  /** Returns all keys, in the order of the reference. */
  static List<Key<?>> all() {
    return Collections.unmodifiableList(KEYS);
  }

  /** Returns the descriptions of the tables by their names. */
  static Map<String, String> tables() {
    return Collections.unmodifiableMap(TABLE_DESCRIPTIONS);
  }

  private static void table(String name, String text) {
    TABLE_DESCRIPTIONS.put(name, text);
  }

  private static <T extends Comparable<T>> Key<T> key(
      String name, ValueType<T> type, T defaultValue, String description) {
    Key<T> key = new Key<>(Arrays.asList(name.split("\\.")), type, defaultValue, description);
    KEYS.add(key);
    return key;
  }
}
