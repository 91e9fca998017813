package ashspar.limits;

import java.util.ArrayList;
import java.util.List;

/**
 * Remembers that no server had room, so that those who wait are not taken round all servers again
 * at each event: a request that is worth no more finds none either, until something changes at a
 * server. Then only the few where it has are asked, and where they are many all is forgotten.
 *
 * <p>What time alone changes is not told of: whoever passes time on calls {@link #clear}, soon
 * enough. Asking costs time linear in the changes kept. For one thread at a time.
 */
public final class NoCapacityCache {
  /** Changes kept: to ask so many costs less than to look at a large fleet. */
  private static final int MAX_CHANGED_SERVERS = 16;

  private final List<ServerLimits> serverChanged = new ArrayList<>(MAX_CHANGED_SERVERS);
  private double fullForValue = -1;

  /** No server had room for a request of this value that any server may take. */
  public void recordNoCapacity(double requestValue) {
    fullForValue = requestValue;
    serverChanged.clear();
  }

  /** Something has changed at the server: it may have room again. */
  public void serverChanged(ServerLimits server) {
    if (fullForValue < 0 || serverChanged.contains(server)) {
      return;
    }
    if (serverChanged.size() == MAX_CHANGED_SERVERS) {
      clear();
    } else {
      serverChanged.add(server);
    }
  }

  /** Nothing is known any longer. */
  public void clear() {
    fullForValue = -1;
    serverChanged.clear();
  }

  /** Whether there surely is no room for a request of this value. */
  public boolean isKnownFull(long now, double requestValue) {
    if (requestValue > fullForValue) {
      return false;
    }
    for (ServerLimits server : serverChanged) {
      if (server.isOpen(now) && server.hasCapacity(now, requestValue)) {
        return false;
      }
    }
    if (requestValue == fullForValue) {
      serverChanged.clear();
    }
    return true;
  }
}
