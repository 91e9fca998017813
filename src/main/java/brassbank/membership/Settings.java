package brassbank.membership;

/**
 * The parameters of the protocol; docs/membership.md gives the reason for each.
 *
 * @param probeIntervalTicks ticks between two probes that a member sends
 * @param minProbeTimeoutMicros minimum wait for an ack before indirect probes are sent
 * @param minSuspicionMicros minimum time for a refutation in a fleet of up to ten members; it grows
 *     with the logarithm of the fleet's size
 * @param maxSuspicionMultiplier the time for a refutation while no other member confirms the
 *     suspicion, as a multiple of the minimum
 * @param retransmitMultiplier transmissions of one update, for each decimal digit of the fleet's
 *     size
 * @param maxLocalHealth upper bound of the local health multiplier (Lifeguard's S); 0 disables it
 * @param tombstoneRetentionMicros how long members that are dead or have left are remembered
 * @param settleMicros how long the view must be unchanged to count as settled
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
  private static final long SECOND_MICROS = 1_000_000;

  /** The default parameters. */
  public static final Settings DEFAULTS =
      new Settings(
          2, SECOND_MICROS / 10, SECOND_MICROS, 3, 4, 8, 3_600 * SECOND_MICROS, 2 * SECOND_MICROS);

  /** The interval at which all periodic work runs. */
  public static final long TICK_MICROS = SECOND_MICROS / 10;

  /** Returns a copy with another minimum time for a refutation. */
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

  /** Returns a copy with another retention time of tombstones. */
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
