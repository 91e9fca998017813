package ashspar.limits;

import java.util.ArrayList;
import java.util.List;

/**
 * Remembers that no server had capacity for a request, so that queued requests are not matched
 * against all servers at every event. A request of the same or a lower value finds no capacity
 * either until a server changes. Then only the changed servers are checked; after too many changes
 * the cache is cleared.
 *
 * <p>Capacity that becomes available by the passing of time is not noticed; the caller must call
 * {@link #clear} periodically. A query takes time linear in the number of changed servers. Not
 * thread-safe.
 */
public final class NoCapacityCache {
  /**
   * The number of changed servers tracked; checking this many is cheaper than searching a large
   * fleet.
   */
  private static final int MAX_CHANGED_SERVERS = 16;

  private final List<ServerLimits> changedServers = new ArrayList<>(MAX_CHANGED_SERVERS);
  private double fullForValue = -1;

  /** Records that no server had capacity for a request of this value that any server may take. */
  public void recordNoCapacity(double requestValue) {
    fullForValue = requestValue;
    changedServers.clear();
  }

  /** Records that a server has changed and may have capacity again. */
  public void serverChanged(ServerLimits server) {
    if (fullForValue < 0 || changedServers.contains(server)) {
      return;
    }
    if (changedServers.size() == MAX_CHANGED_SERVERS) {
      clear();
    } else {
      changedServers.add(server);
    }
  }

  /** Clears the cache. */
  public void clear() {
    fullForValue = -1;
    changedServers.clear();
  }

  /**
   * Returns whether no server has capacity for a request of this value; false if that is not known.
   */
  public boolean isKnownFull(long now, double requestValue) {
    if (requestValue > fullForValue) {
      return false;
    }
    for (ServerLimits server : changedServers) {
      if (server.isOpen(now) && server.hasCapacity(now, requestValue)) {
        return false;
      }
    }
    if (requestValue == fullForValue) {
      changedServers.clear();
    }
    return true;
  }
}
