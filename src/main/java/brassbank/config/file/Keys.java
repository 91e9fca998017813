package brassbank.config.file;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Every key that a file may have, with its default, its unit and its bounds: the only place that
 * says so. docs/configuration.md is made from it.
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

  // The order here is that of the reference.

  static {
    table(
        "relay",
        "How standing sessions are passed on, and what slow peers may cost. A peer that does not"
            + " read makes bytes wait in the proxy; one that begins a line and does not finish it"
            + " keeps its session between two lines. docs/relay.md says how to choose.");
  }

  static final Key<Long> TURN =
      key(
          "relay.turn",
          ValueType.size(KIB, 16 * MIB),
          64 * KIB,
          "The most bytes that are taken from one peer before others have their turn.");

  static final Key<Long> BUDGET =
      key(
          "relay.budget",
          ValueType.size(64 * KIB, 64 * GIB),
          16 * MIB,
          "The most bytes that may wait for all slow peers together. Above it the worst offenders"
              + " are ended at once, until the rest is within it.");

  static final Key<Long> PRACTICE_BUDGET =
      key(
          "relay.practice-budget",
          ValueType.size(16 * KIB, 64 * GIB),
          4 * MIB,
          "The same for the slow peers of each practice, so that one practice cannot use up what"
              + " all share.");

  static {
    table("relay.practice.*", "Figures of one practice, by its name in the settings.");
  }

  static final Key<Long> SINGLE_PRACTICE_BUDGET =
      key(
          "relay.practice.*.budget",
          ValueType.size(16 * KIB, 64 * GIB),
          null,
          "In place of `relay.practice-budget` for this practice.");

  static {
    table("relay.client", "What a client may do.");
  }

  static final Side CLIENT = new Side("relay.client", "client", "host");

  static final Key<Long> FAREWELL =
      key(
          "relay.client.farewell",
          ValueType.time(100 * MILLI, 60 * SECOND),
          2 * SECOND,
          "How long a slow client that is sent `MOVE` may take to read up to it. Then its"
              + " connection is reset, and its memory and its descriptor are free.");

  static {
    table("relay.target", "What a stream host may do with one session.");
  }

  static final Side TARGET = new Side("relay.target", "host", "client");

  static {
    table(
        "membership",
        "The fleet that this proxy is in, off where the table is not there. docs/membership.md says"
            + " how to switch it on and what it tells.");
  }

  static final Key<String> FLEET =
      key(
          "membership.fleet",
          ValueType.name(),
          null,
          "The fleet's name; what comes from another one is dropped.");

  static final Key<Addresses> LISTEN =
      key(
          "membership.listen",
          ValueType.address(),
          null,
          "Where datagrams are taken (UDP); the address and port that clients come to if it is not"
              + " given.");

  static final Key<Addresses> ADVERTISE =
      key(
          "membership.advertise",
          ValueType.address(),
          null,
          "Where the others meet this proxy, where that is not `listen`.");

  static final Key<Addresses> SEEDS =
      key(
          "membership.seeds",
          ValueType.addresses(),
          new Addresses(List.of()),
          "Where others may be, some of the fleet; the proxy's own among them does no harm. SIGHUP"
              + " reads it again, and nothing else of this table.");

  static final Key<Long> SUSPICION =
      key(
          "membership.suspicion",
          ValueType.time(500 * MILLI, 60 * SECOND),
          SECOND,
          "How long a silent member has at least to be heard of, in a fleet of up to ten; it grows"
              + " with the logarithm of the size. Less finds deaths sooner and takes stops for"
              + " them.");

  static final Key<Long> FORGET =
      key(
          "membership.forget",
          ValueType.time(60 * SECOND, 24 * HOUR),
          HOUR,
          "For how long the dead and those that left are remembered, and asked whether they are"
              + " back.");

  static {
    table(
        "shares",
        "Budgets of the fleet divided by who is there, off where the table is not there; it needs"
            + " [membership]. docs/shares.md says what it costs and brings.");
  }

  static final Key<Double> BASE_FRACTION =
      key(
          "shares.base",
          ValueType.fraction(0.05),
          null,
          "The part of each budget that goes by the numbers of the platform's file, whoever is"
              + " there; the rest is shared by who is. With 1.0 all goes by the file. It must be"
              + " the same in all files of a fleet.");

  static {
    table(
        "subsets",
        "Each proxy asks a part of the hosts, off where the table is not there; it needs"
            + " [membership]. docs/subsets.md says what it costs and brings.");
  }

  static final Key<Long> MIN_ASKERS =
      key(
          "subsets.askers",
          ValueType.count(1, 1_000),
          null,
          "How many proxies ask a host at least; more do where a proxy would have fewer than eight"
              + " hosts otherwise. It must be the same in all files of a fleet.");

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
              "The most bytes that wait for one "
                  + peer
                  + ". While so many do, its "
                  + other
                  + " is not read.");
      kernelBuffer =
          key(
              table + ".kernel-buffer",
              ValueType.size(4 * KIB, 16 * MIB),
              32 * KIB,
              "What the kernel may keep for one "
                  + peer
                  + " beside that (`SO_SNDBUF`). It counts to"
                  + " no budget, and a slow peer is seen only once it is full.");
      age =
          key(
              table + ".age",
              ValueType.time(500 * MILLI, HOUR),
              60 * SECOND,
              "The longest that a byte may wait for a " + peer + ".");
      rate =
          key(
              table + ".rate",
              ValueType.rate(0, 100 * MIB),
              2 * KIB,
              "The least that a "
                  + peer
                  + " must read while bytes wait for it all the time; `0 B/s`"
                  + " asks for nothing.");
      window =
          key(
              table + ".window",
              ValueType.time(500 * MILLI, HOUR),
              20 * SECOND,
              "The span over which `rate` is measured. A "
                  + peer
                  + " that stops for less is in no"
                  + " danger.");
      line =
          key(
              table + ".line",
              ValueType.time(500 * MILLI, HOUR),
              30 * SECOND,
              "The longest that a " + peer + " may take for a line that it has begun.");
    }
  }

  /** All of them, in the order of the reference. */
  static List<Key<?>> all() {
    return Collections.unmodifiableList(KEYS);
  }

  /** What each table is for. */
  static Map<String, String> tables() {
    return Collections.unmodifiableMap(TABLE_DESCRIPTIONS);
  }

  private static void table(String name, String text) {
    TABLE_DESCRIPTIONS.put(name, text);
  }

  private static <T extends Comparable<T>> Key<T> key(
      String name, ValueType<T> kind, T absent, String text) {
    Key<T> key = new Key<>(Arrays.asList(name.split("\\.")), kind, absent, text);
    KEYS.add(key);
    return key;
  }
}
