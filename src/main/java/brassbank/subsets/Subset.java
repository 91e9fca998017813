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
 * The hosts that one proxy asks, as long as the same proxies are there. Each host is asked by so
 * many proxies and no more: by those whose names have, with the host's, the least hash (highest
 * random weight: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998).
 * Three in four are of the host's own zone, as far as there are so many; the others know it for the
 * time when their zone is lost.
 *
 * <p>So whoever sees the same proxies and hosts chooses alike, without a word; one proxy more or
 * less changes its own pairs and as many of others; and while k views differ, at most k times as
 * many proxies ask a host. A host that is new costs one hash for each proxy, one that is known
 * nothing. For one thread at a time.
 */
public final class Subset {
  /** One in so many of those that ask a host may be of other zones. */
  private static final int FAR = 4;

  /** Hosts that a proxy has by and large, at least: with fewer some would have none by chance. */
  private static final int LEAST_HOSTS = 8;

  /**
   * Where the proxy stands for a host.
   *
   * @param near whether it is of the host's zone
   * @param before proxies of the same zone, or of all others, that come before it
   * @param nears proxies of the host's zone
   */
  private record Place(boolean near, int before, int nears) {}

  private final Peer self;
  private final List<Peer> proxies;
  private final int least;
  private final Map<Peer, Place> places = new HashMap<>();

  /**
   * @param self one of the proxies
   * @param proxies those that take clients, in any order
   * @param least how many proxies ask a host at least, as far as there are so many; 1 or more
   */
  public Subset(Peer self, List<Peer> proxies, int least) {
    if (least < 1 || !proxies.contains(self)) {
      throw new IllegalArgumentException(self + " among " + proxies + ", " + least + " a host");
    }
    this.self = self;
    this.proxies = List.copyOf(proxies);
    this.least = least;
  }

  /**
   * How many proxies ask a host: no fewer than the file says, and so many that a proxy has eight
   * hosts by and large.
   */
  public static int proxiesPerHost(int least, int proxies, int hosts) {
    int enough = (LEAST_HOSTS * proxies + hosts - 1) / Math.max(1, hosts);
    return Math.min(proxies, Math.max(least, enough));
  }

  /** The names of those hosts that this proxy asks. */
  public Set<String> select(Collection<Peer> hosts) {
    int each = proxiesPerHost(least, proxies.size(), hosts.size());
    places.keySet().retainAll(hosts);
    Set<String> own = new LinkedHashSet<>();
    for (Peer host : hosts) {
      Place place = places.computeIfAbsent(host, this::place);
      int far = proxies.size() - place.nears();
      int ofNear = Math.min(place.nears(), each - Math.min(far, each / FAR));
      if (place.before() < (place.near() ? ofNear : Math.min(far, each - ofNear))) {
        own.add(host.name());
      }
    }
    return own;
  }

  private Place place(Peer host) {
    boolean near = self.zone().equals(host.zone());
    long mine = weight(self, host);
    int nears = 0;
    int before = 0;
    for (Peer other : proxies) {
      boolean otherNear = other.zone().equals(host.zone());
      nears += otherNear ? 1 : 0;
      if (otherNear == near && !other.equals(self)) {
        long weight = weight(other, host);
        boolean first = weight == mine && other.name().compareTo(self.name()) < 0;
        before += weight < mine || first ? 1 : 0;
      }
    }
    return new Place(near, before, nears);
  }

  private static long weight(Peer proxy, Peer host) {
    return MurmurHash3.hash128x64(StringUtils.getBytesUtf8(proxy.name() + ' ' + host.name()))[0];
  }
}
