package brassbank.sim;

import brassbank.sim.actor.ProxyInstance;
import brassbank.sim.net.Fabric;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records since when pairs of members have run and could reach each other, directly or through a
 * third. Updated together with the rules' ticks.
 */
final class MutualReachability {
  /** The loss that membership has to tolerate, as a share of the datagrams. */
  private static final double MAX_LOSS = 0.1;

  /** The one-way delay that membership has to tolerate. */
  private static final long MAX_DELAY_MICROS = 300_000;

  private final Fabric fabric;
  private final Map<String, ProxyInstance> proxies;
  private final Map<String, Long> since = new HashMap<>();

  MutualReachability(Fabric fabric, Map<String, ProxyInstance> proxies) {
    this.fabric = fabric;
    this.proxies = proxies;
  }

  /** Updates the record for the current time, in microseconds of the run. */
  void update(long now) {
    List<ProxyInstance> all = new ArrayList<>(proxies.values());
    boolean[] runs = new boolean[all.size()];
    boolean[][] reaches = new boolean[all.size()][all.size()];
    for (int i = 0; i < all.size(); i++) {
      runs[i] = all.get(i).isMember() && all.get(i).pausedUntil() <= now;
    }
    for (int i = 0; i < all.size(); i++) {
      for (int j = 0; j < i; j++) {
        reaches[i][j] =
            runs[i]
                && runs[j]
                && fabric.canExchangeDatagrams(
                    all.get(i).machine(), all.get(j).machine(), MAX_LOSS, MAX_DELAY_MICROS);
        reaches[j][i] = reaches[i][j];
      }
    }
    for (int i = 0; i < all.size(); i++) {
      for (int j = 0; j < i; j++) {
        boolean reachable = reaches[i][j];
        for (int k = 0; k < all.size() && !reachable && runs[i] && runs[j]; k++) {
          reachable = reaches[i][k] && reaches[k][j];
        }
        String key = key(all.get(i).name(), all.get(j).name());
        if (reachable) {
          since.putIfAbsent(key, now);
        } else {
          since.remove(key);
        }
      }
    }
  }

  /**
   * Returns since when two members could reach each other, {@link Long#MAX_VALUE} if they cannot.
   */
  long since(String one, String other) {
    return since.getOrDefault(key(one, other), Long.MAX_VALUE);
  }

  private static String key(String one, String other) {
    return one.compareTo(other) < 0 ? one + " " + other : other + " " + one;
  }
}
