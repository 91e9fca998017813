package brassbank.subsets;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SubsetTest {
  private static final int PROXIES_PER_HOST = 8;

  private static List<Peer> peers(String name, int count, int zones) {
    return IntStream.range(0, count).mapToObj(i -> new Peer(name + i, "z" + i % zones)).toList();
  }

  /** Returns the proxies that select each host if all proxies have the same view. */
  private static Map<String, Set<String>> proxiesByHost(List<Peer> proxies, List<Peer> hosts) {
    Map<String, Set<String>> byHost = new HashMap<>();
    hosts.forEach(host -> byHost.put(host.name(), new HashSet<>()));
    for (Peer self : proxies) {
      for (String host : new Subset(self, proxies, PROXIES_PER_HOST).select(hosts)) {
        byHost.get(host).add(self.name());
      }
    }
    return byHost;
  }

  private static long pairCount(Map<String, Set<String>> byHost) {
    return byHost.values().stream().mapToLong(Set::size).sum();
  }

  @Test
  void eachHostIsSelectedByTheSetNumberOfProxiesAndThreeInFourAreOfItsZone() {
    for (int count : new int[] {14, 56}) {
      List<Peer> proxies = peers("n", count, 2);
      List<Peer> hosts = peers("s-", 60, 2);
      Map<String, Set<String>> byHost = proxiesByHost(proxies, hosts);
      for (Peer host : hosts) {
        Set<String> selecting = byHost.get(host.name());
        assertThat(selecting).hasSize(PROXIES_PER_HOST);
        assertThat(proxies.stream().filter(p -> selecting.contains(p.name())))
            .filteredOn(p -> p.zone().equals(host.zone()))
            .hasSize(6);
      }
    }
  }

  @Test
  void removingAProxyReplacesOnlyItsOwnPairs() {
    List<Peer> proxies = peers("n", 56, 2);
    List<Peer> hosts = peers("s-", 60, 2);
    Map<String, Set<String>> before = proxiesByHost(proxies, hosts);
    double changed = 0;
    for (Peer removed : proxies) {
      List<Peer> remaining = new ArrayList<>(proxies);
      remaining.remove(removed);
      Map<String, Set<String>> after = proxiesByHost(remaining, hosts);
      for (Peer host : hosts) {
        Set<String> kept = new HashSet<>(before.get(host.name()));
        kept.remove(removed.name());
        assertThat(after.get(host.name())).as("the other proxies keep the host").containsAll(kept);
        Set<String> replaced = new HashSet<>(before.get(host.name()));
        replaced.removeAll(after.get(host.name()));
        changed += 2.0 * replaced.size();
      }
    }
    assertThat(changed / proxies.size() / pairCount(before)).isEqualTo(2.0 / 56);
  }

  @Test
  void proxiesPerHostAreBoundedByTheNumberOfDifferentViews() {
    List<Peer> proxies = peers("n", 56, 2);
    List<Peer> hosts = peers("s-", 60, 2);
    List<List<Peer>> views =
        List.of(proxies, proxies.subList(0, 30), proxies.subList(20, 56), proxies.subList(0, 56));
    Map<String, Integer> selections = new HashMap<>();
    for (int i = 0; i < proxies.size(); i++) {
      Peer self = proxies.get(i);
      List<Peer> view = views.get(i % views.size());
      if (view.contains(self)) {
        new Subset(self, view, PROXIES_PER_HOST)
            .select(hosts)
            .forEach(host -> selections.merge(host, 1, Integer::sum));
      }
    }
    assertThat(selections.values()).allMatch(count -> count <= 3 * PROXIES_PER_HOST);
  }

  @Test
  void selectsAtLeastEightHostsOnAverageWhenHostsAreFew() {
    List<Peer> proxies = peers("n", 56, 2);
    List<Peer> hosts = peers("s-", 12, 2);
    assertThat(Subset.proxiesPerHost(PROXIES_PER_HOST, 56, 12)).isEqualTo(38);
    assertThat(proxies)
        .allMatch(self -> !new Subset(self, proxies, PROXIES_PER_HOST).select(hosts).isEmpty());
    assertThat(Subset.proxiesPerHost(PROXIES_PER_HOST, 3, 60)).isEqualTo(3);
  }

  /** The cached rankings of hosts do not affect the selection. */
  @Test
  void selectionDoesNotDependOnEarlierHostLists() {
    List<Peer> proxies = peers("n", 14, 2);
    List<Peer> hosts = peers("s-", 60, 2);
    Subset subset = new Subset(proxies.get(3), proxies, PROXIES_PER_HOST);
    subset.select(hosts.subList(0, 20));
    subset.select(List.of(new Peer("s-7", "elsewhere")));
    assertThat(subset.select(hosts))
        .isEqualTo(new Subset(proxies.get(3), proxies, PROXIES_PER_HOST).select(hosts));
  }
}
