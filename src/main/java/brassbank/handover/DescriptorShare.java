package brassbank.handover;

import java.util.HashMap;
import java.util.Map;

/**
 * How many descriptors this process may hold, where the limit is one for all processes of a proxy.
 * A predecessor says how many it may hold and never raises that while a successor takes the
 * clients; the successor has the rest. What a process needs to start is kept back at all times,
 * since it cannot ask before it runs.
 *
 * <p>No clock, no thread, no I/O; called from one thread. O(predecessors) each.
 */
public final class DescriptorShare {
  /** What a starting runtime holds until it has read what the others hold; 20 to 36 were seen. */
  static final int START = 48;

  private final boolean shared;
  private final Map<Long, Integer> predecessors = new HashMap<>();
  private int sockets;
  private int ceiling;

  /**
   * The share of a process that starts.
   *
   * @param sockets the limit for all processes together
   * @param shared whether there may be others
   */
  public DescriptorShare(int sockets, boolean shared) {
    this.sockets = sockets;
    this.shared = shared;
    // Until it takes clients: it does not know yet what others hold.
    ceiling = shared ? START : Integer.MAX_VALUE;
  }

  /** The limit for all together has changed. */
  public void sockets(int limit) {
    sockets = limit;
  }

  /** So many may a predecessor hold from now on; 0 once it is gone. */
  public void predecessor(long number, int descriptors) {
    if (descriptors > 0) {
      predecessors.put(number, descriptors);
    } else {
      predecessors.remove(number);
    }
  }

  /**
   * What this process needs now.
   *
   * @param open whether it takes clients; one that does not only ever needs less
   */
  public void needs(boolean open, int descriptors) {
    ceiling = open ? Integer.MAX_VALUE : Math.min(ceiling, descriptors);
  }

  /** How many descriptors this process may hold. */
  public int limit() {
    if (!shared) {
      return sockets;
    }
    int others = predecessors.values().stream().mapToInt(Integer::intValue).sum();
    // What a predecessor says includes what it keeps in reserve: that is enough for a third start.
    int rest = sockets - (others > 0 ? others : START);
    return Math.min(ceiling, Math.max(START, rest));
  }
}
