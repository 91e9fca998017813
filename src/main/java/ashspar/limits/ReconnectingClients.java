package ashspar.limits;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Whose load has gone. A client that returns after a break and was not this node's a moment ago was
 * another node's: what its connection asked of a server is asked no longer, though no report shows
 * it yet. Without this a node that took over the clients of a stopping one held them back for two
 * seconds, by reports of the load that they themselves had been.
 *
 * <p>Where servers send their clients away, as in a drain, the load is gone with the server, and
 * leaves no room on the others. This node sees its own part of those endings and takes the other
 * nodes to see as much.
 *
 * <p>Times are microseconds. Calls cost constant time. For one thread at a time.
 */
public final class ReconnectingClients {
  /** Clients return within two seconds of a break; their keys are kept a little longer. */
  private static final long KEY_RETENTION_MICROS = 4_000_000;

  /** Keys kept at most: the oldest makes room. */
  private static final int MAX_TRACKED_KEYS = 4_096;

  /**
   * Returns of other nodes' clients that one client sent away here accounts for, per other node.
   */
  private static final double RECONNECTS_PER_CLOSE = 1.5;

  private final Map<String, Long> lastSeenByKey =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_TRACKED_KEYS;
        }
      };

  private double closedByServer;
  private long closedAt;

  /**
   * A connection of this node has ended, of the client with this key, or null where it has none.
   */
  public void connectionEnded(String key, long now) {
    remember(key, now);
  }

  /** A server has ended a connection of this node, while there are so many other nodes. */
  public void closedByServer(int others, long now) {
    expire(now);
    closedByServer += RECONNECTS_PER_CLOSE * others;
  }

  /** Whether a client that returns was another node's, and its load has left room; asked once. */
  public boolean freedCapacity(String key, long now) {
    Long last = key == null ? Long.valueOf(now) : lastSeenByKey.get(key);
    remember(key, now);
    if (last != null && now - last < KEY_RETENTION_MICROS) {
      return false;
    }
    expire(now);
    if (closedByServer >= 1) {
      closedByServer--;
      return false;
    }
    return true;
  }

  private void remember(String key, long now) {
    if (key != null) {
      lastSeenByKey.remove(key);
      lastSeenByKey.put(key, now);
    }
  }

  private void expire(long now) {
    if (now - closedAt >= KEY_RETENTION_MICROS) {
      closedByServer = 0;
    }
    closedAt = now;
  }
}
