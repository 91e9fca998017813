package brassbank.handover;

import java.util.HashMap;
import java.util.Map;

/**
 * Computes how many file descriptors this process may hold when one limit applies to all processes
 * of a proxy together.
 *
 * <p>A predecessor publishes the number of descriptors it may hold, and never raises that number
 * while a successor accepts clients. The successor may use what remains of the limit. The
 * descriptors that a process needs to start are held back at all times, because a starting process
 * cannot request them before it runs.
 *
 * <p>Not thread-safe. Performs no I/O and reads no clock. Each call costs O(predecessors).
 */
public final class DescriptorShare {
  /**
   * Descriptors that a starting runtime may hold before it has read the limits of the other
   * processes. Starts were observed to use 20 to 36.
   */
  static final int STARTUP_DESCRIPTORS = 48;

  private final boolean shared;
  private final Map<Long, Integer> predecessorLimits = new HashMap<>();
  private int totalLimit;
  private int ceiling;

  /**
   * Creates the share of a starting process.
   *
   * @param totalLimit the limit for all processes together
   * @param shared whether other processes of the same proxy may exist
   */
  public DescriptorShare(int totalLimit, boolean shared) {
    this.totalLimit = totalLimit;
    this.shared = shared;
    // Until the process accepts clients, the limits of the other processes may still be unknown.
    ceiling = shared ? STARTUP_DESCRIPTORS : Integer.MAX_VALUE;
  }

  /** Sets the limit for all processes together. */
  public void setTotalLimit(int limit) {
    totalLimit = limit;
  }

  /**
   * Sets how many descriptors a predecessor may hold from now on.
   *
   * @param number the predecessor's process number
   * @param limit its limit; 0 removes a predecessor that has stopped
   */
  public void setPredecessorLimit(long number, int limit) {
    if (limit > 0) {
      predecessorLimits.put(number, limit);
    } else {
      predecessorLimits.remove(number);
    }
  }

  /**
   * Updates what this process needs now.
   *
   * @param accepting whether the process accepts clients; while it does not, its limit only falls
   * @param descriptors how many descriptors it needs, ignored while it accepts clients
   */
  public void updateNeed(boolean accepting, int descriptors) {
    ceiling = accepting ? Integer.MAX_VALUE : Math.min(ceiling, descriptors);
  }

  /** Returns how many descriptors this process may hold. */
  public int limit() {
    if (!shared) {
      return totalLimit;
    }
    int others = predecessorLimits.values().stream().mapToInt(Integer::intValue).sum();
    // The limit that a predecessor publishes includes its own reserve, which is large enough for
    // a third process to start. Without a predecessor the reserve is held back here.
    int remaining = totalLimit - (others > 0 ? others : STARTUP_DESCRIPTORS);
    return Math.min(ceiling, Math.max(STARTUP_DESCRIPTORS, remaining));
  }
}
