package brassbank.subsets;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.codec.binary.StringUtils;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The hosts that one proxy selects among a fixed set of proxies. Each host is selected by the same
 * number of proxies: those whose names, hashed with the host's, have the lowest values (rendezvous
 * hashing: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998). Three
 * in four of them are in the host's own zone if it has enough proxies; the others select the host
 * so that they have hosts if their own zone fails.
 *
 * <p>Proxies with the same view of proxies and hosts select consistently without communicating.
 * Adding or removing a proxy changes its own pairs and an equal number of others. While there are k
 * different views, at most k times the set number of proxies select a host. A new host costs one
 * hash per proxy, a known host none. Not thread-safe.
 */
public final class Subset {
  /** At most one in this many of a host's proxies is in another zone. */
  private static final int REMOTE_ZONE_DIVISOR = 4;

  /** Minimum mean number of hosts per proxy; with fewer, some proxies would select no host. */
  private static final int MIN_MEAN_HOSTS = 8;

  /**
   * The position of this proxy for one host.
   *
   * @param sameZone whether the proxy is in the host's zone
   * @param position the number of proxies ahead of it, among those of the host's zone or among all
   *     others
   * @param sameZoneProxies the number of proxies in the host's zone
   */
  private record Ranking(boolean sameZone, int position, int sameZoneProxies) {}

  private final Peer self;
  private final List<Peer> proxies;
  private final int minProxiesPerHost;
  private final Map<Peer, Ranking> rankings = new HashMap<>();

  /**
   * Creates a selection for a fixed set of proxies.
   *
   * @param self one of the proxies
   * @param proxies the proxies that accept clients, in any order
   * @param minProxiesPerHost the minimum number of proxies that select a host, if there are as
   *     many; 1 or more
   * @throws IllegalArgumentException if {@code self} is not among the proxies or the minimum is
   *     below 1
   */
  public Subset(Peer self, List<Peer> proxies, int minProxiesPerHost) {
    if (minProxiesPerHost < 1 || !proxies.contains(self)) {
      throw new IllegalArgumentException(
          "self must be among the proxies and the minimum at least 1: "
              + self
              + ", "
              + proxies
              + ", "
              + minProxiesPerHost);
    }
    this.self = self;
    this.proxies = List.copyOf(proxies);
    this.minProxiesPerHost = minProxiesPerHost;
  }

  /**
   * Returns how many proxies select each host: at least the configured minimum, and enough for a
   * mean of eight hosts per proxy.
   */
  public static int proxiesPerHost(int minProxiesPerHost, int proxies, int hosts) {
    int forMeanHosts = (MIN_MEAN_HOSTS * proxies + hosts - 1) / Math.max(1, hosts);
    return Math.min(proxies, Math.max(minProxiesPerHost, forMeanHosts));
  }

  /** Returns the names of the hosts that this proxy selects. */
  public Set<String> select(Collection<Peer> hosts) {
    int perHost = proxiesPerHost(minProxiesPerHost, proxies.size(), hosts.size());
    rankings.keySet().retainAll(hosts);
    Set<String> selected = new LinkedHashSet<>();
    for (Peer host : hosts) {
      Ranking ranking = rankings.computeIfAbsent(host, this::rank);
      int otherZoneProxies = proxies.size() - ranking.sameZoneProxies();
      int sameZoneLimit =
          Math.min(
              ranking.sameZoneProxies(),
              perHost - Math.min(otherZoneProxies, perHost / REMOTE_ZONE_DIVISOR));
      if (ranking.position()
          < (ranking.sameZone()
              ? sameZoneLimit
              : Math.min(otherZoneProxies, perHost - sameZoneLimit))) {
        selected.add(host.name());
      }
    }
    return selected;
  }

  private Ranking rank(Peer host) {
    boolean sameZone = self.zone().equals(host.zone());
    long ownHash = hash(self, host);
    int sameZoneProxies = 0;
    int position = 0;
    for (Peer other : proxies) {
      boolean otherSameZone = other.zone().equals(host.zone());
      sameZoneProxies += otherSameZone ? 1 : 0;
      if (otherSameZone == sameZone && !other.equals(self)) {
        long otherHash = hash(other, host);
        boolean winsTie = otherHash == ownHash && other.name().compareTo(self.name()) < 0;
        position += otherHash < ownHash || winsTie ? 1 : 0;
      }
    }
    return new Ranking(sameZone, position, sameZoneProxies);
  }

  private static long hash(Peer proxy, Peer host) {
    return MurmurHash3.hash128x64(StringUtils.getBytesUtf8(proxy.name() + ' ' + host.name()))[0];
  }
}
