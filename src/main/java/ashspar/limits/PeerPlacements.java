package ashspar.limits;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * What the other nodes are taken to have placed meanwhile: as much as this node, each of them, and
 * spread over all servers. To take them to have placed it where this node did is right on average
 * and wrong at each server: of fourteen nodes, one connection placed by one of them read as
 * fourteen at its server, which so looked full to that node, and not at all to the thirteen.
 *
 * <p>Counts are connections of this node, ended ones taken off; times are microseconds. A count
 * costs constant time, a look back as much as there are changes since then. For one thread at a
 * time.
 */
public final class PeerPlacements {
  /** Changes kept at most: no report is older than a few seconds, and the rest counts as old. */
  private static final int MAX_CHANGES = 512;

  private final ArrayDeque<long[]> changes = new ArrayDeque<>();
  private long total;

  /** Nothing has been placed yet. */
  public PeerPlacements() {
    changes.add(new long[] {Long.MIN_VALUE, 0});
  }

  /** Connections placed so far, less those that have ended. */
  public long total() {
    return total;
  }

  /** This node has placed a connection, or with -1 one has ended; the others do as much. */
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

  /** The {@link #total} as it was at a time; as of the oldest change kept, where that is later. */
  public long totalAt(long time) {
    Iterator<long[]> back = changes.descendingIterator();
    long[] change = back.next();
    while (change[0] > time && back.hasNext()) {
      change = back.next();
    }
    return change[1];
  }
}
