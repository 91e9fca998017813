package ashspar.limits;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects load that has disappeared. A client that reconnects after a failure and was not recently
 * connected to this node was connected through another one; its former connection no longer puts
 * load on a server, although no report shows that yet. Without this detection, a node that took
 * over the clients of a stopping one delayed them for two seconds, because of reports of the load
 * that they themselves had caused.
 *
 * <p>If servers close connections, as in a drain, the load disappears together with the server and
 * frees no capacity on the others. This node sees its own share of those closes and assumes that
 * the other nodes see as many.
 *
 * <p>Times are microseconds. All operations take constant time. Not thread-safe.
 */
public final class ReconnectingClients {
  /** Clients reconnect within two seconds of a failure; their keys are kept somewhat longer. */
  private static final long KEY_RETENTION_MICROS = 4_000_000;

  /** The number of keys tracked; beyond it, the oldest is evicted. */
  private static final int MAX_TRACKED_KEYS = 4_096;

  /**
   * The reconnects of other nodes' clients attributed to each connection that a server closed here,
   * per other node.
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

  private double expectedReconnects;
  private long closedAt;

  /**
   * Records that a connection of this node has ended; {@code key} identifies its client, or is
   * null.
   */
  public void connectionEnded(String key, long now) {
    remember(key, now);
  }

  /**
   * Records that a server has closed a connection of this node, given the number of other nodes.
   */
  public void closedByServer(int others, long now) {
    expire(now);
    expectedReconnects += RECONNECTS_PER_CLOSE * others;
  }

  /**
   * Returns whether a reconnecting client came from another node and its former load has freed
   * capacity. Must be called once per reconnect.
   */
  public boolean freedCapacity(String key, long now) {
    Long last = key == null ? Long.valueOf(now) : lastSeenByKey.get(key);
    remember(key, now);
    if (last != null && now - last < KEY_RETENTION_MICROS) {
      return false;
    }
    expire(now);
    if (expectedReconnects >= 1) {
      expectedReconnects--;
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
      expectedReconnects = 0;
    }
    closedAt = now;
  }
}
