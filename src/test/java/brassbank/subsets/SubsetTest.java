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
  private static final int ASKERS = 8;

  private static List<Peer> peers(String name, int count, int zones) {
    return IntStream.range(0, count).mapToObj(i -> new Peer(name + i, "z" + i % zones)).toList();
  }

  /** Who asks each host, where all see the same. */
  private static Map<String, Set<String>> askers(List<Peer> proxies, List<Peer> hosts) {
    Map<String, Set<String>> askers = new HashMap<>();
    hosts.forEach(host -> askers.put(host.name(), new HashSet<>()));
    for (Peer self : proxies) {
      for (String host : new Subset(self, proxies, ASKERS).select(hosts)) {
        askers.get(host).add(self.name());
      }
    }
    return askers;
  }

  private static long pairs(Map<String, Set<String>> askers) {
    return askers.values().stream().mapToLong(Set::size).sum();
  }

  @Test
  void eachHostIsAskedBySoManyAndThreeInFourOfItsZone() {
    for (int count : new int[] {14, 56}) {
      List<Peer> proxies = peers("n", count, 2);
      List<Peer> hosts = peers("s-", 60, 2);
      Map<String, Set<String>> askers = askers(proxies, hosts);
      for (Peer host : hosts) {
        Set<String> by = askers.get(host.name());
        assertThat(by).hasSize(ASKERS);
        assertThat(proxies.stream().filter(p -> by.contains(p.name())))
            .filteredOn(p -> p.zone().equals(host.zone()))
            .hasSize(6);
      }
    }
  }

  @Test
  void oneProxyMoreOrLessChangesItsOwnPairsAndAsManyOthers() {
    List<Peer> proxies = peers("n", 56, 2);
    List<Peer> hosts = peers("s-", 60, 2);
    Map<String, Set<String>> before = askers(proxies, hosts);
    double changed = 0;
    for (Peer gone : proxies) {
      List<Peer> rest = new ArrayList<>(proxies);
      rest.remove(gone);
      Map<String, Set<String>> after = askers(rest, hosts);
      for (Peer host : hosts) {
        Set<String> was = new HashSet<>(before.get(host.name()));
        was.remove(gone.name());
        assertThat(after.get(host.name())).as("nobody else is sent away").containsAll(was);
        Set<String> either = new HashSet<>(before.get(host.name()));
        either.removeAll(after.get(host.name()));
        changed += 2.0 * either.size();
      }
    }
    assertThat(changed / proxies.size() / pairs(before)).isEqualTo(2.0 / 56);
  }

  @Test
  void whileViewsDifferOnlyTheirNumberCounts() {
    List<Peer> proxies = peers("n", 56, 2);
    List<Peer> hosts = peers("s-", 60, 2);
    List<List<Peer>> views =
        List.of(proxies, proxies.subList(0, 30), proxies.subList(20, 56), proxies.subList(0, 56));
    Map<String, Integer> asked = new HashMap<>();
    for (int i = 0; i < proxies.size(); i++) {
      Peer self = proxies.get(i);
      List<Peer> view = views.get(i % views.size());
      if (view.contains(self)) {
        new Subset(self, view, ASKERS).select(hosts).forEach(h -> asked.merge(h, 1, Integer::sum));
      }
    }
    assertThat(asked.values()).allMatch(count -> count <= 3 * ASKERS);
  }

  @Test
  void hasEightHostsByAndLargeWhereThereAreFew() {
    List<Peer> proxies = peers("n", 56, 2);
    List<Peer> hosts = peers("s-", 12, 2);
    assertThat(Subset.proxiesPerHost(ASKERS, 56, 12)).isEqualTo(38);
    assertThat(proxies)
        .allMatch(self -> !new Subset(self, proxies, ASKERS).select(hosts).isEmpty());
    assertThat(Subset.proxiesPerHost(ASKERS, 3, 60)).isEqualTo(3);
  }

  /** What is remembered of hosts makes no difference to what is chosen. */
  @Test
  void choosesTheSameWhateverWasListedBefore() {
    List<Peer> proxies = peers("n", 14, 2);
    List<Peer> hosts = peers("s-", 60, 2);
    Subset used = new Subset(proxies.get(3), proxies, ASKERS);
    used.select(hosts.subList(0, 20));
    used.select(List.of(new Peer("s-7", "elsewhere")));
    assertThat(used.select(hosts))
        .isEqualTo(new Subset(proxies.get(3), proxies, ASKERS).select(hosts));
  }
}
