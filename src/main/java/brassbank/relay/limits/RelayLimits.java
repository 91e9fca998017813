package brassbank.relay.limits;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The limits on the memory and time that relayed sessions may use.
 *
 * @param readQuotaBytes the most bytes read from one link per loop iteration
 * @param budgetBytes the most bytes queued for all peers together
 * @param practiceBudgetBytes the most bytes queued for all peers of one practice
 * @param practiceBudgets budgets of individual practices in bytes, in place of {@code
 *     practiceBudgetBytes}
 * @param client the limits of clients
 * @param target the limits of stream hosts
 * @param finalLineTimeoutMicros how long a slow client may take to read up to the final line
 */
public record RelayLimits(
    int readQuotaBytes,
    long budgetBytes,
    long practiceBudgetBytes,
    Map<String, Long> practiceBudgets,
    SideLimits client,
    SideLimits target,
    long finalLineTimeoutMicros) {
  private static final long NEVER = Long.MAX_VALUE / 4;

  /** The limits without a configuration file: queues are bounded, and no peer is disconnected. */
  public static final RelayLimits NONE = none();

  /**
   * @throws IllegalArgumentException if a limit is below 1
   */
  public RelayLimits {
    if (readQuotaBytes < 1
        || budgetBytes < 1
        || practiceBudgetBytes < 1
        || finalLineTimeoutMicros < 1) {
      throw new IllegalArgumentException("a limit must be above 0");
    }
    practiceBudgets = Collections.unmodifiableMap(new TreeMap<>(practiceBudgets));
  }

  private static RelayLimits none() {
    SideLimits side = new SideLimits(16 * 1024, 0, NEVER, 0, NEVER, NEVER);
    return new RelayLimits(32 * 1024, NEVER, NEVER, Collections.emptyMap(), side, side, 1_000_000);
  }

  /** Returns whether any limit can lead to a disconnect. */
  boolean canDisconnect() {
    return this != NONE;
  }

  /** Returns the most bytes that may be queued for the peers of this practice. */
  long budgetOf(String practice) {
    return practiceBudgets.getOrDefault(practice, practiceBudgetBytes);
  }

  /** Returns the limits of one side. */
  public SideLimits of(Side side) {
    return side == Side.CLIENT ? client : target;
  }
}
