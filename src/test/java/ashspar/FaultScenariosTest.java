package ashspar;

import static org.assertj.core.api.Assertions.assertThat;

import ashspar.Balancer.Request;
import ashspar.Balancer.SizeMeaning;
import ashspar.Balancer.Status;
import ashspar.Balancer.Tenant;
import ashspar.StubFleet.Attempt;
import ashspar.StubFleet.Host;
import ashspar.StubFleet.Node;
import ashspar.limits.LimitsSnapshot;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Faults and surges that the limits must handle, on a simulated fleet of stub hosts or a scripted
 * policy.
 */
class FaultScenariosTest {
  private static final long MS = StubFleet.MS;
  private static final long SECOND = StubFleet.SECOND;
  private static final long ANSWER_GOAL_MICROS = 300 * MS;
  private static final long DEADLINE_MICROS = StubFleet.DEADLINE_MICROS;

  private static PolicyDriver.Setup setup(int nodes) {
    PolicyDriver.Setup setup = new PolicyDriver.Setup();
    setup.nodes = nodes;
    setup.sizes = SizeMeaning.NOMINAL;
    setup.maxRetryAfter = 2 * SECOND;
    return setup;
  }

  private static double servedShare(StubFleet fleet, long from, long to, long within) {
    return fleet.servedShare(from, to, within, f -> true);
  }

  private static List<Attempt> sent(StubFleet fleet, Predicate<Attempt> which) {
    return fleet.attempts.stream().filter(which).toList();
  }

  private static double max(StubFleet fleet, ToDoubleFunction<LimitsSnapshot> figure) {
    double max = 0;
    for (Node node : fleet.nodes) {
      max = Math.max(max, figure.applyAsDouble(node.policy.limits()));
    }
    return max;
  }

  @Test
  void sixtyClientsReconnectingAtOnceAreServedQuicklyAndSpillOverToTheOtherZone() {
    PolicyDriver.Setup setup = setup(1);
    setup.crossZonePrice = 0.01;
    StubFleet fleet = new StubFleet(setup, 2, 3);
    for (int i = 0; i < 60; i++) {
      fleet.startRequest("t" + i % 4, 60 * SECOND, false, true);
    }
    fleet.run(4 * SECOND, 0, 0);
    assertThat(fleet.attempts).hasSize(60).allMatch(s -> s.elapsed()[0] < 600 * MS);
    assertThat(servedShare(fleet, 0, fleet.now, DEADLINE_MICROS)).isEqualTo(1);
    long far =
        fleet.attempts.stream().filter(s -> fleet.hosts.get(s.host()).zone.equals("z2")).count();
    assertThat(far).isBetween(10L, 50L);
  }

  @Test
  void sharedStoreFiveTimesSlowerEjectsNoHostAndHasNoLastingEffect() {
    StubFleet fleet = new StubFleet(setup(2), 5, 0);
    fleet.run(10 * SECOND, 20, 4 * SECOND);
    long from = fleet.now;
    fleet.storeSlowdown = 5;
    double slower = 0;
    for (int i = 0; i < 100; i++) {
      fleet.run(100 * MS, 20, 4 * SECOND);
      slower = Math.max(slower, max(fleet, s -> s.slowdown()));
      assertThat(max(fleet, s -> s.ejectedServers())).isZero();
    }
    long to = fleet.now;
    fleet.storeSlowdown = 1;
    fleet.run(4 * SECOND, 20, 4 * SECOND);
    assertThat(slower).as("the common slowdown is detected").isGreaterThanOrEqualTo(3);
    assertThat(servedShare(fleet, from, to, DEADLINE_MICROS)).isEqualTo(1);
    assertThat(servedShare(fleet, to + SECOND, fleet.now - SECOND, ANSWER_GOAL_MICROS))
        .isEqualTo(1);
  }

  @Test
  void hostThatAnswersProbesButLosesSetupsCostsFewAttemptsAndIsUsedAgain() {
    StubFleet fleet = new StubFleet(setup(1), 5, 0);
    fleet.run(8 * SECOND, 20, 4 * SECOND);
    long from = fleet.now;
    fleet.host(0).losesSetups = true;
    fleet.run(40 * SECOND, 20, 4 * SECOND);
    long to = fleet.now;
    fleet.host(0).losesSetups = false;
    fleet.run(10 * SECOND, 20, 4 * SECOND);
    assertThat(sent(fleet, s -> s.host().equals("s0") && s.at() >= from && s.at() < to))
        .as("attempts on the faulty host, of 800 requests")
        .hasSizeBetween(5, 20);
    assertThat(servedShare(fleet, from, to, DEADLINE_MICROS)).isEqualTo(1);
    assertThat(sent(fleet, s -> s.host().equals("s0") && s.at() >= to).size()).isGreaterThan(10);
    assertThat(fleet.attemptsPerRequest()).isLessThan(1.3);
  }

  @Test
  void tenantAtFiveTimesItsShareHarmsNoOther() {
    PolicyDriver.Setup setup = setup(2);
    List<Tenant> tenants = new ArrayList<>();
    for (int t = 0; t < 4; t++) {
      tenants.add(new Tenant("t" + t, 1, 0, 20));
    }
    setup.tenants = tenants;
    StubFleet fleet = new StubFleet(setup, 3, 0);
    fleet.run(6 * SECOND, 8, 6 * SECOND);
    long from = fleet.now;
    for (int i = 0; i < 200; i++) {
      fleet.run(100 * MS, 8, 6 * SECOND);
      fleet.startRequest("t0", 6 * SECOND, false, false);
      if (i % 2 == 0) {
        fleet.startRequest("t0", 6 * SECOND, false, false);
      }
    }
    long to = fleet.now - 2 * SECOND;
    assertThat(fleet.servedShare(from, to, DEADLINE_MICROS, f -> !f.tenant.equals("t0")))
        .isEqualTo(1);
    assertThat(fleet.servedShare(from, to, ANSWER_GOAL_MICROS, f -> !f.tenant.equals("t0")))
        .isGreaterThan(0.95);
    long own =
        fleet.hosts.values().stream()
            .flatMap(h -> h.sessions.stream())
            .filter(f -> f.tenant.equals("t0"))
            .count();
    assertThat(own).as("the tenant keeps its share of 20").isGreaterThanOrEqualTo(20);
  }

  @Test
  void clientsAreServedSoonAfterATenSecondOutageOfAllHostsAndAttemptsStayFew() {
    StubFleet fleet = new StubFleet(setup(2), 5, 0);
    fleet.run(8 * SECOND, 10, 5 * SECOND);
    fleet.hosts.values().forEach(fleet::crash);
    fleet.run(10 * SECOND, 10, 5 * SECOND);
    long back = fleet.now;
    assertThat(max(fleet, s -> s.waiting()))
        .as("waiting requests, of about 150 clients")
        .isLessThan(80);
    fleet.hosts.values().forEach(h -> h.up = true);
    fleet.run(12 * SECOND, 10, 5 * SECOND);
    assertThat(fleet.attemptsPerRequest()).isLessThan(1.3);
    assertThat(servedShare(fleet, back + SECOND, back + 6 * SECOND, DEADLINE_MICROS))
        .isGreaterThan(0.85);
    assertThat(servedShare(fleet, back + 6 * SECOND, back + 10 * SECOND, ANSWER_GOAL_MICROS))
        .isGreaterThan(0.95);
    fleet.run(20 * SECOND, 0, 0);
    assertThat(max(fleet, s -> s.setupsInProgress() + s.waiting() + s.ejectedServers())).isZero();
  }

  @Test
  void coldHostThatJoinsDuringASurgeIsNotOverloaded() {
    StubFleet fleet = new StubFleet(setup(3), 3, 0);
    fleet.run(6 * SECOND, 15, 4 * SECOND);
    Host cold = fleet.join(9);
    for (int i = 0; i < 40; i++) {
      fleet.startRequest("t0", 4 * SECOND, false, true);
    }
    fleet.run(8 * SECOND, 15, 4 * SECOND);
    fleet.run(2 * SECOND, 0, 0);
    List<Attempt> to = sent(fleet, s -> s.host().equals(cold.id));
    assertThat(to).hasSizeGreaterThan(10).allMatch(s -> s.elapsed()[0] < 600 * MS);
    // Rule 4: three times the cold capacity of a host, where 60 percent of the capacity of all
    // hosts is in use.
    double budget = 3 * 0.3 * (15 / 4.0 / 0.6) * 1.5;
    for (Attempt first : to) {
      long window =
          to.stream().filter(s -> s.at() >= first.at() && s.at() < first.at() + 1500 * MS).count();
      double warmer =
          Math.min(1, 0.3 + 0.7 * (first.at() + 1500 * MS - cold.startedAt) / (8.0 * SECOND));
      assertThat((double) window).isLessThanOrEqualTo(budget * warmer / 0.3 + 1);
    }
  }

  @Test
  void hostThatDrainsDuringASurgeGetsNoNewClientsAndItsOwnAreServedElsewhere() {
    StubFleet fleet = new StubFleet(setup(2), 5, 0);
    fleet.run(6 * SECOND, 15, 5 * SECOND);
    for (int i = 0; i < 40; i++) {
      fleet.startRequest("t0", 4 * SECOND, false, true);
    }
    long at = fleet.now;
    fleet.drain(fleet.host(1));
    fleet.run(8 * SECOND, 20, 4 * SECOND);
    assertThat(sent(fleet, s -> s.host().equals("s1") && s.at() > at + 201 * MS)).isEmpty();
    assertThat(servedShare(fleet, at, fleet.now - 2 * SECOND, DEADLINE_MICROS)).isEqualTo(1);
  }

  @Test
  void nodesThatSeeTheSameReportsDoNotOscillateTogether() {
    StubFleet fleet = new StubFleet(setup(2), 6, 0);
    fleet.host(0).cores = 0.5;
    fleet.run(8 * SECOND, 40, 3 * SECOND);
    fleet.host(0).cores = 3;
    fleet.run(4 * SECOND, 40, 3 * SECOND);
    long from = fleet.now;
    fleet.run(40 * SECOND, 40, 3 * SECOND);
    for (String host : fleet.hosts.keySet()) {
      int[] counts = new int[20];
      sent(fleet, s -> s.host().equals(host) && s.at() >= from)
          .forEach(s -> counts[(int) Math.min(19, (s.at() - from) / (2 * SECOND))]++);
      double mean = IntStream.of(counts).average().orElse(0);
      assertThat(IntStream.of(counts).boxed())
          .as(host)
          .allMatch(n -> n > 0.5 * mean && n < 1.5 * mean);
    }
  }

  @Test
  void limitAtItsMinimumStillSendsTrialsAndDetectsRecovery() {
    StubFleet fleet = new StubFleet(setup(1), 1, 0);
    fleet.run(6 * SECOND, 2, SECOND);
    long from = fleet.now;
    fleet.host(0).losesSetups = true;
    fleet.run(15 * SECOND, 2, SECOND);
    long to = fleet.now;
    fleet.host(0).losesSetups = false;
    fleet.run(6 * SECOND, 2, SECOND);
    List<Attempt> tried = sent(fleet, s -> s.at() >= from);
    for (int i = 1; i < tried.size(); i++) {
      assertThat(tried.get(i).at() - tried.get(i - 1).at()).isLessThan(2500 * MS);
    }
    // The last attempt before the recovery holds the only slot until its client's deadline.
    assertThat(servedShare(fleet, to + 2 * SECOND, to + 4 * SECOND, DEADLINE_MICROS)).isEqualTo(1);
  }

  @Test
  void tenThousandRequestsWaitInOrderAtLittleCost() {
    PolicyDriver driver = PolicyDriver.settled(new PolicyDriver.Setup(), 20);
    for (int i = 0; i < 20; i++) {
      driver.probed("s" + i, Status.OK, 0.95, 0);
    }
    long started = System.nanoTime();
    for (int i = 0; i < 10_000; i++) {
      String type = i % 2 == 0 ? "list" : "view";
      driver.balancer.requestReceived(
          driver.now, new Request(i, null, type, "t" + i % 5, 20 * SECOND, 0, false, false, false));
    }
    driver.probeLoads = s -> 0.95;
    driver.advance(100 * MS);
    assertThat(driver.balancer.limits().waiting()).isEqualTo(10_000);
    driver.probeLoads = s -> 0.1 + driver.attempts.size() / 1e5;
    driver.attemptMicros = 5 * MS;
    driver.advance(8 * SECOND);
    int out = driver.attempts.size();
    assertThat(out).isGreaterThan(200);
    long highValue = driver.attempts.stream().filter(s -> s.id() % 2 == 1).count();
    assertThat(highValue)
        .as("one in eight departures is the oldest request")
        .isBetween(out * 7L / 8, out * 15L / 16 + 2);
    for (int t = 0; t < 10; t++) {
      int kind = t;
      List<Long> ids =
          driver.attempts.stream().map(s -> s.id()).filter(i -> i % 10 == kind).toList();
      assertThat(ids).isSorted();
    }
    driver.probeLoads = s -> 0.95;
    driver.advance(13 * SECOND);
    assertThat(driver.attempts.size() + driver.refused.size()).isEqualTo(10_000);
    assertThat(System.nanoTime() - started).as("nanoseconds").isLessThan(5_000_000_000L);
  }

  @Test
  void steadyChurnNeverMakesAnIdleHostLookFull() {
    PolicyDriver driver = PolicyDriver.settled(new PolicyDriver.Setup(), 8);
    driver.probeLoads = s -> 0.1;
    driver.attemptMicros = MS;
    for (int i = 0; i < 3_000; i++) {
      driver.request(i);
      driver.advance(4 * MS);
      assertThat(driver.attemptCounts).as("sent at once").containsKey((long) i);
      driver.outcome(i, Status.OK, true);
    }
    assertThat(driver.balancer.limits().setupsInProgress()).isZero();
  }
}
