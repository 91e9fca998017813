package brassbank.membership;

/**
 * The figures of the protocol; docs/membership.md has the reason of each. Times in microseconds.
 *
 * @param probeBeats a member probes one other every so many beats
 * @param direct the least wait for an answer before others are asked
 * @param suspicion the least time for a refutation, up to ten members; it grows with the logarithm
 * @param stretch the longest such time over the least, while nobody confirms
 * @param tellings times that one piece of news is passed on, for each decimal of the fleet's size
 * @param mostHealth bound of the own health's counter (Lifeguard's S); 0 switches it off
 * @param forget for how long the dead and those that left are remembered
 * @param quiet for how long nothing may change in a settled view
 */
public record Settings(
    int probeIntervalTicks,
    long minProbeTimeoutMicros,
    long minSuspicionMicros,
    int maxSuspicionMultiplier,
    int retransmitMultiplier,
    int maxLocalHealth,
    long tombstoneRetentionMicros,
    long settleMicros) {
  private static final long SECOND = 1_000_000;

  public static final Settings DEFAULTS =
      new Settings(2, SECOND / 10, SECOND, 3, 4, 8, 3_600 * SECOND, 2 * SECOND);

  /** One beat: everything that time brings is looked at this often. */
  public static final long TICK_MICROS = SECOND / 10;

  /** The same with another time to refute a suspicion. */
  public Settings withMinSuspicion(long micros) {
    return new Settings(
        probeIntervalTicks,
        minProbeTimeoutMicros,
        micros,
        maxSuspicionMultiplier,
        retransmitMultiplier,
        maxLocalHealth,
        tombstoneRetentionMicros,
        settleMicros);
  }

  /** The same with another memory of the dead. */
  public Settings withTombstoneRetention(long micros) {
    return new Settings(
        probeIntervalTicks,
        minProbeTimeoutMicros,
        minSuspicionMicros,
        maxSuspicionMultiplier,
        retransmitMultiplier,
        maxLocalHealth,
        micros,
        settleMicros);
  }
}
