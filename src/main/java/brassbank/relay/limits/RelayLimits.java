package brassbank.relay.limits;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * What passing sessions on may cost.
 *
 * @param readQuotaBytes the most bytes that are taken from one link before others have their turn
 * @param budgetBytes the most bytes that may wait for all peers together
 * @param practiceBudgetBytes the same for the peers of each practice
 * @param practiceBudgets budgets of single practices, in place of {@code practiceBudget}
 * @param farewellMicros how long a slow client may take to read up to its last line
 */
public record RelayLimits(
    int readQuotaBytes,
    long budgetBytes,
    long practiceBudgetBytes,
    Map<String, Long> practiceBudgets,
    SideLimits client,
    SideLimits target,
    long farewellMicros) {
  private static final long NEVER = Long.MAX_VALUE / 4;

  /** Without a file: a cap for each peer, and nobody is given up. */
  public static final RelayLimits NONE = none();

  /** Throws IllegalArgumentException where a figure cannot be meant. */
  public RelayLimits {
    if (readQuotaBytes < 1 || budgetBytes < 1 || practiceBudgetBytes < 1 || farewellMicros < 1) {
      throw new IllegalArgumentException("a limit must be above 0");
    }
    practiceBudgets = Collections.unmodifiableMap(new TreeMap<>(practiceBudgets));
  }

  private static RelayLimits none() {
    SideLimits side = new SideLimits(16 * 1024, 0, NEVER, 0, NEVER, NEVER);
    return new RelayLimits(32 * 1024, NEVER, NEVER, Collections.emptyMap(), side, side, 1_000_000);
  }

  /** Whether anybody can be given up at all. */
  boolean canDisconnect() {
    return this != NONE;
  }

  /** What may wait for the peers of this practice. */
  long budgetOf(String practice) {
    return practiceBudgets.getOrDefault(practice, practiceBudgetBytes);
  }

  /** The limits of one side. */
  public SideLimits of(Side side) {
    return side == Side.CLIENT ? client : target;
  }
}
