package ashspar.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** What each limit promises, whatever the order of events. */
class LimitsTest {
  private static final long MS = 1_000;
  private static final long SECOND = 1_000_000;

  /** A step of a made day: which event, of what, and the milliseconds that go by before it. */
  private static int[] steps(int seed, int count, int events, int of, int most) {
    SplittableRandom random = new SplittableRandom(seed);
    int[] steps = new int[3 * count];
    for (int i = 0; i < steps.length; i += 3) {
      steps[i] = random.nextInt(events);
      steps[i + 1] = random.nextInt(of);
      steps[i + 2] = random.nextInt(most);
    }
    return steps;
  }

  @Property(seed = "1", tries = 200)
  void noSetupGoesBeyondTheLimitAndEachPlaceComesBackOnce(@ForAll @IntRange(max = 1 << 20) int s) {
    SetupLimit limit = new SetupLimit(s % 2 == 0);
    int out = 0;
    long now = 0;
    int[] steps = steps(s, 400, 8, 900, 60);
    for (int i = 0; i < steps.length; i += 3) {
      now += steps[i + 2] * MS;
      if (steps[i] < 3) {
        if (limit.hasFreeSlot(now)) {
          limit.acquire();
          out++;
          assertThat(limit.slotsTaken(now)).isLessThanOrEqualTo(limit.allowed());
        }
      } else if (out > 0) {
        out--;
        switch (steps[i]) {
          case 3 -> limit.abandoned(now, steps[i + 1] % 2 == 0);
          case 4 -> limit.refused(now, steps[i + 1] % 2 == 0);
          case 5 -> limit.ended();
          default -> limit.answered(now, steps[i + 1] * MS, 1);
        }
      }
      assertThat(limit.allowed()).isBetween(1, (int) SetupLimit.MAX_LIMIT);
      assertThat(limit.slotsTaken(now)).isGreaterThanOrEqualTo(out);
    }
    for (; out > 0; out--) {
      limit.abandoned(now, true);
    }
    now += 2 * SECOND;
    assertThat(limit.slotsTaken(now)).as("what was cut is over by then").isZero();
    assertThat(limit.hasFreeSlot(now)).as("a limit at its floor still tries").isTrue();
    assertThatThrownBy(limit::ended).isInstanceOf(IllegalStateException.class);
  }

  /** Set-ups that queue shrink the limit, and quick ones make it grow again. */
  @Example
  void theLimitFollowsWhatSetupsTake() {
    SetupLimit limit = new SetupLimit(false);
    long now = 0;
    int[] after = new int[3];
    for (int phase = 0; phase < 3; phase++) {
      for (int i = 0; i < 30; i++) {
        int many = 0;
        for (; limit.hasFreeSlot(now); many++) {
          limit.acquire();
        }
        now += 100 * MS;
        for (; many > 0; many--) {
          limit.answered(now, (phase == 1 ? 400 : 30) * MS, 1);
        }
      }
      after[phase] = limit.allowed();
    }
    assertThat(after[0]).isGreaterThan(12);
    assertThat(after[1]).isLessThan(6);
    assertThat(after[2]).isGreaterThan(12);
  }

  @Property(seed = "2", tries = 200)
  void attemptsPastTheFirstStayWithinTheirShareOfTheRequests(
      @ForAll @IntRange(max = 1 << 20) int s) {
    long now = s * MS;
    RetryBudget budget = new RetryBudget(now);
    ArrayDeque<Long> requests = new ArrayDeque<>();
    ArrayDeque<Long> repeats = new ArrayDeque<>();
    double bucket = 15;
    int[] steps = steps(s, 600, s % 7 + 3, 10, s % 3 == 0 ? 400 : 40);
    for (int i = 0; i < steps.length; i += 3) {
      now += steps[i + 2] * MS;
      bucket = Math.min(30, bucket + 0.5 * steps[i + 2] / 1e3);
      if (steps[i] == 0) {
        budget.recordServed(now);
        bucket = Math.min(30, bucket + 0.5);
      } else if (steps[i] == 1) {
        requests.add(now);
        budget.recordRequest(now);
      } else {
        int left = budget.available(now);
        assertThat(budget.allows(now)).isEqualTo(left >= 1);
        if (left >= 1) {
          budget.spend(now);
          repeats.add(now);
          bucket--;
          assertThat(bucket).as("paid from what served flows filled").isGreaterThan(-1e-6);
        }
      }
      long from = now - RetryBudget.WINDOW_MICROS;
      requests.removeIf(at -> at <= from);
      repeats.removeIf(at -> at <= from);
      if (!repeats.isEmpty() && repeats.peekLast() == now) {
        assertThat(repeats.size())
            .isLessThanOrEqualTo((int) Math.max(3, RetryBudget.MAX_REPEAT_SHARE * requests.size()));
      }
    }
    assertThat(budget.available(now + 20 * SECOND)).as("an outage's end is noticed").isPositive();
  }

  private record Waiting(int id, String tenant, double worth, long since) {}

  /**
   * Against a plain model: the heads of all kinds, in the order of worth, of what the tenants have
   * been let out for their share, and of their deadlines; and each eighth by its waiting time.
   */
  @Property(seed = "3", tries = 150, shrinking = ShrinkingMode.OFF)
  void whoWaitsLeavesInOrderAndIsNeverStarved(@ForAll @IntRange(max = 1 << 20) int s) {
    TenantShares shares = new TenantShares();
    shares.configure(1, 0.1);
    for (int t = 0; t < 4; t++) {
      shares.configureTenant("t" + t, t + 1, t == 3 ? 4 : 0);
    }
    Collections.nCopies(6, "t3").forEach(shares::connectionOpened);
    WaitingRoom<Waiting> room = new WaitingRoom<>(40, shares);
    Map<Integer, WaitingRoom<Waiting>.Ticket> tickets = new HashMap<>();
    List<Waiting> waiting = new ArrayList<>();
    Map<Integer, Integer> passed = new HashMap<>();
    long now = 0;
    int exits = 0;
    int[] steps = steps(s, 500, 9, 8, 30);
    for (int i = 0; i < steps.length; i += 3) {
      now += steps[i + 2] * MS;
      if (steps[i] < 4) {
        String tenant = "t" + steps[i + 1] % 4;
        Waiting next = new Waiting(i, tenant, steps[i + 1] < 4 ? 1 : 0.3, now);
        Waiting out = room.chooseToReject(next, tenant, next.worth());
        assertThat(out == null).isEqualTo(waiting.size() < 40);
        if (out != null) {
          for (Waiting other : waiting) {
            assertThat(value(shares, out)).isLessThanOrEqualTo(value(shares, other));
          }
          assertThat(value(shares, out)).isLessThanOrEqualTo(value(shares, next));
        }
        if (out != null && out != next) {
          room.leave(tickets.remove(out.id()));
          waiting.remove(out);
        }
        if (out != next) {
          tickets.put(i, room.enter(next, tenant, next.worth(), now + SECOND, now));
          waiting.add(next);
        }
      } else if (steps[i] < 8) {
        Waiting[] taken = new Waiting[1];
        boolean aged =
            exits % WaitingRoom.OLDEST_FIRST_INTERVAL == WaitingRoom.OLDEST_FIRST_INTERVAL - 1;
        boolean any = room.offer(w -> (taken[0] = w) != null, 8, now);
        assertThat(any).isEqualTo(!waiting.isEmpty());
        if (any) {
          exits++;
          Waiting gone = taken[0];
          waiting.remove(gone);
          tickets.remove(gone.id());
          for (Waiting other : waiting) {
            boolean over = shares.isOverShare(other.tenant());
            boolean sameKind =
                other.tenant().equals(gone.tenant()) && other.worth() == gone.worth();
            assertThat(sameKind && other.id() < gone.id()).as("overtaken by its like").isFalse();
            if (!aged) {
              assertThat(value(shares, gone)).isGreaterThanOrEqualTo(value(shares, other));
            } else if (!over) {
              assertThat(gone.since()).isLessThanOrEqualTo(other.since());
            }
            if (!over) {
              assertThat(passed.merge(other.id(), 1, Integer::sum))
                  .isLessThanOrEqualTo(WaitingRoom.OLDEST_FIRST_INTERVAL * 41);
            }
          }
        }
      } else if (!waiting.isEmpty()) {
        Waiting gone = waiting.remove(steps[i + 1] % waiting.size());
        WaitingRoom<Waiting>.Ticket ticket = tickets.remove(gone.id());
        room.leave(ticket);
        assertThatThrownBy(() -> room.leave(ticket)).isInstanceOf(IllegalStateException.class);
      }
      assertThat(room.size()).isEqualTo(waiting.size());
    }
  }

  private static double value(TenantShares shares, Waiting w) {
    return shares.isOverShare(w.tenant()) ? 0.1 * w.worth() : w.worth();
  }

  /** Among equals each tenant is let out in the measure of its share, whoever asks for more. */
  @Example
  void tenantsLeaveInTheMeasureOfTheirShares() {
    TenantShares shares = new TenantShares();
    shares.configureTenant("small", 1, 0);
    shares.configureTenant("large", 3, 0);
    WaitingRoom<String> room = new WaitingRoom<>(600, shares);
    for (int i = 0; i < 600; i++) {
      String tenant = i < 450 ? "small" : "large";
      room.enter(tenant, tenant, 1, 10 * SECOND, 0);
    }
    int large = 0;
    long now = 0;
    for (int i = 0; i < 160; i++) {
      now += 20 * MS;
      String[] out = new String[1];
      room.offer(tenant -> (out[0] = tenant) != null, 8, now);
      large += out[0].equals("large") ? 1 : 0;
    }
    // One in eight goes by its waiting time: those are the small one's, which came first.
    assertThat(large).isBetween(95, 120);
    assertThat(room.expectedWait("small", 1, now))
        .as("440 ahead, 50 a second")
        .isBetween(7 * SECOND, 13 * SECOND);
    assertThat(room.expectedWait("small", 2, now)).as("nobody is worth as much").isZero();
  }

  /** A tenant is what a client's line says: made-up names must buy neither turns nor looks. */
  @Example
  void tenantsThatTheSettingsDoNotNameShareOneQueue() {
    TenantShares shares = new TenantShares();
    shares.configureTenant("named", 1, 0);
    WaitingRoom<String> room = new WaitingRoom<>(2_000, shares);
    for (int i = 0; i < 2_000; i++) {
      String tenant = i % 2 == 0 ? "named" : "made-up-" + i;
      room.enter(tenant, tenant, 1, 10 * SECOND - i, 0);
    }
    List<String> asked = new ArrayList<>();
    assertThat(room.offer(tenant -> !asked.add(tenant), 100, 0)).isFalse();
    assertThat(asked)
        .as("the head of each queue")
        .containsExactlyInAnyOrder("named", "made-up-1999");
    int named = 0;
    for (int i = 0; i < 80; i++) {
      List<String> out = new ArrayList<>();
      room.offer(out::add, 100, 0);
      named += out.get(0).equals("named") ? 1 : 0;
    }
    assertThat(named).as("its half, and the tenth that go by their waiting time").isBetween(40, 50);
  }

  /** Against a plain look at all servers, whatever changes at one of them. */
  @Property(seed = "6", tries = 100)
  void whereThereIsSurelyNoRoomThereIsNone(@ForAll @IntRange(max = 1 << 20) int s) {
    NodeLimits<String> limits = new NodeLimits<>(0);
    List<ServerLimits> servers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      servers.add(limits.newServer("s" + i));
      limits.setReady(servers.get(i), true);
      servers.get(i).recordReport(0, 0.8, 0);
    }
    int[] out = new int[20];
    int sure = 0;
    int[] steps = steps(s, 2_000, 40, 20, 9);
    for (int i = 0; i < steps.length; i += 3) {
      long now = i * MS;
      ServerLimits server = servers.get(steps[i + 1]);
      boolean room = server.isOpen(now) && server.hasCapacity(now, 1);
      if (steps[i] == 0) {
        server.connectionRemoved(now, 0.02 * steps[i + 2], null);
      } else if (steps[i] == 1) {
        server.recordReport(now, 0.62 + 0.02 * steps[i + 2], i);
      } else if (steps[i] == 2 && out[steps[i + 1]] > 0) {
        out[steps[i + 1]]--;
        limits.setupEnded(
            now, server, steps[i + 2] < 4 ? SetupOutcome.BROKE : SetupOutcome.REFUSED);
      } else if (steps[i] < 20 && room) {
        out[steps[i + 1]]++;
        limits.setupSent(now, server, false);
        limits.connectionAdded(now, server, 1, null, false);
      } else if (steps[i] >= 20) {
        double value = steps[i + 2] % 3 == 0 ? 1 : 0.1 * steps[i + 2];
        if (limits.noCapacityCache.isKnownFull(now, value)) {
          sure++;
          assertThat(servers).noneMatch(x -> x.isOpen(now) && x.hasCapacity(now, value));
        } else if (servers.stream().noneMatch(x -> x.isOpen(now) && x.hasCapacity(now, value))) {
          limits.noCapacityCache.recordNoCapacity(value);
        }
      }
    }
    assertThat(sure).isPositive();
  }

  @Property(seed = "4", tries = 200)
  void neverMoreThanTheirShareRestsAndEachIsTriedAgain(
      @ForAll @IntRange(min = 1, max = 12) int servers, @ForAll @IntRange(max = 1 << 20) int s) {
    OutlierDetector outliers = new OutlierDetector();
    outliers.setServerCount(servers);
    OutlierDetector.Record[] records = new OutlierDetector.Record[servers];
    Arrays.setAll(records, i -> outliers.newRecord());
    Arrays.stream(records).forEach(r -> r.setListed(true));
    int most = servers < 2 ? 0 : Math.max(1, (int) (OutlierDetector.MAX_EJECTED_SHARE * servers));
    long now = 0;
    int[] steps = steps(s, 500, 9, servers, 300);
    for (int i = 0; i < steps.length; i += 3) {
      now += steps[i + 2] * MS;
      OutlierDetector.Record record = records[steps[i + 1]];
      switch (steps[i]) {
        case 0 -> record.recordSuccess();
        case 1 -> record.recordProbeAnswer(now);
        case 2 -> record.cancelTrial();
        case 3 -> record.reset();
        case 4, 5 -> {
          if (record.mayReceive(now)) {
            record.recordSent(now);
            assertThat(record.isEjected() && record.mayReceive(now)).as("a single trial").isFalse();
          }
        }
        default -> {
          long rest = record.recordFailure(now, steps[i] % 3 + 1);
          assertThat(
                  rest == 0
                      || rest >= OutlierDetector.MIN_EJECTION_MICROS
                          && rest <= OutlierDetector.MAX_EJECTION_MICROS)
              .isTrue();
        }
      }
      assertThat(outliers.ejectedCount())
          .isEqualTo((int) Arrays.stream(records).filter(r -> r.isEjected()).count())
          .isLessThanOrEqualTo(most);
    }
    long later = now + OutlierDetector.MAX_EJECTION_MICROS + 5 * SECOND;
    assertThat(records).allMatch(r -> r.mayReceive(later));
  }

  @Property(seed = "5", tries = 100)
  void whatWasAddedIsSettledByReportsAndByEnds(
      @ForAll @Size(max = 600) List<@IntRange(max = 400) Integer> lives) {
    PlacedLoad placed = new PlacedLoad();
    long now = 0;
    ArrayDeque<Integer> open = new ArrayDeque<>();
    for (int life : lives) {
      now += life * 10;
      if (life % 3 == 0 && !open.isEmpty()) {
        placed.add(now, -open.remove());
      } else {
        placed.add(now, life);
        open.add(life);
      }
      double standing = open.stream().mapToInt(l -> l).sum();
      assertThat(placed.total()).as("no report yet").isEqualTo(standing);
    }
    placed.recordReport(now + 10 * MS, 0.5, 0);
    now += 6 * SECOND + 10 * MS;
    placed.recordReport(now, 0.5, 0);
    assertThat(placed.total())
        .as("even a report that does not change settles what is old")
        .isZero();
  }

  /**
   * By its first second a node knows little, and sends a few a server; by its third, all it can.
   */
  @Example
  void aNodeThatHasStartedBeginsAtAPaceThatGrows() {
    StartupPace pace = new StartupPace(0);
    int[] sent = new int[4];
    for (long now = 0; now < 4 * SECOND; now += 5 * MS) {
      for (int i = 0; i < 20 && pace.mayPlace(now, 4); i++) {
        pace.recordPlacement();
        sent[(int) (now / SECOND)]++;
      }
    }
    assertThat(sent[0]).isBetween(30, 60);
    assertThat(sent[1]).isBetween(sent[0] + 20, 100);
    assertThat(sent[2]).isGreaterThan(sent[1] + 20);
    assertThat(sent[3]).isEqualTo(4000);
  }

  /** What stands is what no report shows: connections that have ended are held against nobody. */
  @Example
  void steadyChurnIsNotHeldByTheStartsPace() {
    NodeLimits<String> limits = new NodeLimits<>(0);
    ServerLimits server = limits.newServer("s");
    limits.setReady(server, true);
    for (long now = 0; now < SECOND; now += MS) {
      assertThat(limits.canSetUp(now)).isTrue();
      limits.setupSent(now, server, false);
      limits.setupAnswered(now, server, MS);
      limits.connectionEnded(now, "key", true);
    }
    int sent = 0;
    for (; limits.canSetUp(SECOND); sent++) {
      limits.setupSent(SECOND, server, false);
    }
    assertThat(sent).as("those that stand are held").isBetween(1, 4);
  }

  /** A predecessor's connections are told before any report: moved, they left no room behind. */
  @Example
  void whatStoodBeforeAnythingWasMeasuredLeavesRoomWhenItEnds() {
    NodeLimits<String> limits = new NodeLimits<>(0);
    ServerLimits server = limits.newServer("s");
    server.started(false, 4);
    limits.setReady(server, true);
    double[] added = new double[10];
    for (int i = 0; i < added.length; i++) {
      added[i] = limits.connectionAdded(0, server, 1, "g" + i, true);
      assertThat(added[i]).as("nothing is known yet").isNaN();
    }
    limits.measure(SECOND, 0.7, added.length, 1);
    server.recordReport(SECOND, 0.7, 0);
    for (int i = 0; i < added.length; i++) {
      limits.connectionRemoved(2 * SECOND, server, added[i], "g" + i);
    }
    assertThat(server.load(2 * SECOND)).isLessThan(0.3);
  }

  /** One connection of one of fourteen nodes read as fourteen at its server, and none elsewhere. */
  @Example
  void whatManyOtherNodesPlaceMeanwhileIsSpreadOverAllServers() {
    for (int nodes : new int[] {4, 14}) {
      NodeLimits<String> limits = new NodeLimits<>(0);
      List<ServerLimits> servers = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        ServerLimits server = limits.newServer("s" + i);
        server.started(false, 4);
        limits.setReady(server, true);
        server.recordReport(0, 0.4, 0);
        servers.add(server);
      }
      limits.measure(0, 0.4, 160 / nodes, nodes);
      double one = limits.connectionAdded(MS, servers.get(0), 1, null, false) / Math.min(4, nodes);
      double added = servers.stream().mapToDouble(ServerLimits::unreportedLoad).sum();
      assertThat(added / one).as("all that the nodes add").isCloseTo(nodes, within(1e-6));
      assertThat(servers.get(0).unreportedLoad() / one).as("of it here").isLessThan(5.5);
      assertThat(servers.get(1).unreportedLoad() > 0).isEqualTo(nodes > 4);
      for (ServerLimits server : servers) {
        server.recordReport(4 * SECOND, 0.41, 0);
        assertThat(server.unreportedLoad())
            .as("a later report shows it")
            .isCloseTo(0, within(1e-9));
      }
    }
  }

  /** One success in four made such a server well again each time: it was never let rest. */
  @Example
  void aServerThatFailsMostAttemptsRestsThoughSomeSucceed() {
    OutlierDetector outliers = new OutlierDetector();
    OutlierDetector.Record record = outliers.newRecord();
    record.setListed(true);
    outliers.setServerCount(8);
    int tries = 0;
    for (long now = SECOND; !record.isEjected() && tries < 40; now += 100 * MS) {
      if (tries++ % 3 == 2) {
        record.recordSuccess();
      } else {
        record.recordFailure(now, 3);
      }
    }
    assertThat(tries).as("attempts until it rests").isLessThan(10);
  }

  /** Reports count load against what a cold server can do by now, and so does what is added. */
  @Example
  void whatIsAddedToAColdServerCountsAgainstWhatItHasByNow() {
    NodeLimits<String> limits = new NodeLimits<>(0);
    ServerLimits warm = limits.newServer("warm");
    ServerLimits cold = limits.newServer("cold");
    for (ServerLimits server : List.of(warm, cold)) {
      server.started(server == cold, 4);
      limits.setReady(server, true);
    }
    cold.setWarmth(0.2);
    limits.measure(0, 0.4, 40, 1);
    double usual = limits.connectionAdded(MS, warm, 1, "group", false);
    assertThat(limits.connectionAdded(MS, cold, 1, "group", false))
        .isCloseTo(5 * usual, within(1e-9));
  }

  /** Nodes that each hold a group where chance put it agree on where its next connections go. */
  @Example
  void manyNodesLikeTheSameServerForAGroupWhateverEachHolds() {
    for (int nodes : new int[] {1, 14}) {
      Set<Integer> liked = new HashSet<>();
      for (int node = 0; node < 14; node++) {
        NodeLimits<String> limits = new NodeLimits<>(0);
        List<ServerLimits> servers = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
          servers.add(limits.newServer("s" + i));
          limits.setReady(servers.get(i), true);
        }
        limits.measure(0, 0.4, 10, nodes);
        limits.connectionAdded(0, servers.get(node % 7), 1, "group", true);
        liked.add(
            IntStream.range(0, 7)
                .boxed()
                .max(Comparator.comparingDouble(i -> limits.affinity(servers.get(i), "group")))
                .orElseThrow());
      }
      assertThat(liked.size()).isBetween(nodes == 1 ? 7 : 1, nodes == 1 ? 7 : 4);
    }
  }

  /** Units of sessions' loads may be others than those of sizes; reports know of neither. */
  @Example
  void aServersTurnoverIsNotLargerThanReportsShow() {
    NodeLimits<String> limits = new NodeLimits<>(0);
    ServerLimits server = limits.newServer("s");
    server.started(false, 40);
    limits.setReady(server, true);
    for (int i = 0; i < 200; i++) {
      limits.loadEstimate.recordLoad("preview", 1e-6);
    }
    limits.measure(0, 0.5, 20, 1);
    assertThat(limits.turnoverPerSecond(server))
        .isCloseTo(40 / limits.lifetimes.meanSeconds(), within(0.1));
  }

  @Example
  void whatWasPlacedBeforeATimeIsKnownFromTheBeginningOn() {
    PeerPlacements elsewhere = new PeerPlacements();
    assertThat(elsewhere.totalAt(0)).isZero();
    for (int i = 1; i <= 600; i++) {
      elsewhere.add(i * MS, 1);
      assertThat(elsewhere.totalAt(0)).isEqualTo(Math.max(0, i - 511));
      assertThat(elsewhere.totalAt(i * MS - 1)).isEqualTo(i - 1);
    }
    assertThat(elsewhere.totalAt(SECOND)).isEqualTo(elsewhere.total()).isEqualTo(600);
  }

  @Example
  void livesAreMeasuredByTheTimeThatConnectionsStood() {
    ConnectionLifetimes lives = new ConnectionLifetimes();
    double usual = lives.meanSeconds();
    for (int second = 0; second <= 300; second++) {
      lives.measure(second * SECOND, 20);
      lives.recordEnded(1);
      if (second % 2 == 0) {
        // One that its server sent away: it had not ended by itself.
        lives.recordEnded(1);
        lives.recordEnded(-1);
      }
    }
    assertThat(usual).isEqualTo(30);
    assertThat(lives.meanSeconds()).as("20 stand, one ends each second").isBetween(19.0, 21.0);
  }
}
