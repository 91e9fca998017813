package brassbank.sim;

import brassbank.sim.actor.ProxyInstance;
import brassbank.sim.net.Fabric;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Since when which members have run and could hear each other; looked at with the rules. */
final class MutualReachability {
  /** What membership promises to bear: a tenth is lost, and all is late by so much, one way. */
  private static final double MAX_LOSS = 0.1;

  private static final long MAX_DELAY_MICROS = 300_000;

  private final Fabric fabric;
  private final Map<String, ProxyInstance> proxies;
  private final Map<String, Long> since = new HashMap<>();

  MutualReachability(Fabric fabric, Map<String, ProxyInstance> proxies) {
    this.fabric = fabric;
    this.proxies = proxies;
  }

  void update(long now) {
    List<ProxyInstance> all = new ArrayList<>(proxies.values());
    boolean[] runs = new boolean[all.size()];
    boolean[][] hear = new boolean[all.size()][all.size()];
    for (int i = 0; i < all.size(); i++) {
      runs[i] = all.get(i).isMember() && all.get(i).pausedUntil() <= now;
    }
    for (int i = 0; i < all.size(); i++) {
      for (int j = 0; j < i; j++) {
        hear[i][j] =
            runs[i]
                && runs[j]
                && fabric.canExchangeDatagrams(
                    all.get(i).machine(), all.get(j).machine(), MAX_LOSS, MAX_DELAY_MICROS);
        hear[j][i] = hear[i][j];
      }
    }
    for (int i = 0; i < all.size(); i++) {
      for (int j = 0; j < i; j++) {
        boolean joined = hear[i][j];
        for (int k = 0; k < all.size() && !joined && runs[i] && runs[j]; k++) {
          joined = hear[i][k] && hear[k][j];
        }
        String key = key(all.get(i).name(), all.get(j).name());
        if (joined) {
          since.putIfAbsent(key, now);
        } else {
          since.remove(key);
        }
      }
    }
  }

  long since(String one, String other) {
    return since.getOrDefault(key(one, other), Long.MAX_VALUE);
  }

  private static String key(String one, String other) {
    return one.compareTo(other) < 0 ? one + " " + other : other + " " + one;
  }
}
