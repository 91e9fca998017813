package ashspar.limits;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Estimates the connections that other nodes have placed since the last load report: each node is
 * assumed to place as many as this one, spread over all servers. The assumption that they use the
 * same server as this node is correct on average but wrong for each server: with fourteen nodes,
 * one connection of one node counted as fourteen on its server, which therefore looked full to that
 * node and unchanged to the other thirteen.
 *
 * <p>Counts are connections of this node minus those that have ended; times are microseconds.
 * Adding takes constant time, a query of the past takes time linear in the changes since then. Not
 * thread-safe.
 */
public final class PeerPlacements {
  /**
   * The number of changes kept. Load reports are at most a few seconds old, so older changes are
   * not needed.
   */
  private static final int MAX_CHANGES = 512;

  private final ArrayDeque<long[]> changes = new ArrayDeque<>();
  private long total;

  /** Creates an estimate without placements. */
  public PeerPlacements() {
    changes.add(new long[] {Long.MIN_VALUE, 0});
  }

  /** Returns the connections placed so far minus those that have ended. */
  public long total() {
    return total;
  }

  /**
   * Records a placement by this node, or with -1 the end of a connection; the other nodes are
   * assumed to do the same.
   */
  public void add(long now, int connections) {
    total += connections;
    long[] last = changes.peekLast();
    if (last[0] == now) {
      last[1] = total;
      return;
    }
    if (changes.size() == MAX_CHANGES) {
      changes.removeFirst();
    }
    changes.addLast(new long[] {now, total});
  }

  /** Returns the {@link #total} at a past time, or at the oldest change kept if that is later. */
  public long totalAt(long time) {
    Iterator<long[]> back = changes.descendingIterator();
    long[] change = back.next();
    while (change[0] > time && back.hasNext()) {
      change = back.next();
    }
    return change[1];
  }
}
