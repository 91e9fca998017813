package ashspar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashspar.Balancer.DeduplicationScope;
import ashspar.Balancer.ListKind;
import ashspar.Balancer.MeasurementKind;
import ashspar.Balancer.Repeatability;
import ashspar.Balancer.State;
import ashspar.Balancer.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The policy on short scripts: the mechanism, and one test for each failure found. */
class PolicyTest {
  private static final long MS = PolicyDriver.MS;
  private static final long SECOND = PolicyDriver.SECOND;

  private static PolicyDriver script() {
    return new PolicyDriver(new PolicyDriver.Setup().settings());
  }

  private static PolicyDriver settled(int servers) {
    return PolicyDriver.settled(new PolicyDriver.Setup(), servers);
  }

  @Test
  void equalWeightsTakeTurns() {
    PolicyDriver script = settled(5);
    for (int i = 1; i <= 10; i++) {
      script.place(i, 0.1);
    }
    Map<String, Long> counts =
        script.sends.stream()
            .collect(Collectors.groupingBy(s -> s.server(), Collectors.counting()));
    assertEquals(5, counts.size());
    assertTrue(counts.values().stream().allMatch(n -> n == 2), counts.toString());
  }

  @Test
  void nodesBeginAtDifferentServers() {
    Set<String> first = new HashSet<>();
    for (int rank = 0; rank < 8; rank++) {
      PolicyDriver.Setup setup = new PolicyDriver.Setup();
      setup.rank = rank;
      setup.nodes = 8;
      PolicyDriver script = PolicyDriver.settled(setup, 8);
      script.place(1, 0.1);
      first.add(script.last(1).server());
    }
    assertEquals(8, first.size(), "eight nodes, eight servers: no two begin alike");
  }

  @Test
  void aPlacementWaitsForTheProbesOfTheNextInTurn() {
    PolicyDriver script = settled(6);
    script.request(1);
    assertTrue(script.sends.isEmpty());
    assertEquals(3, script.probes.size());
    script.answerProbes(Status.OK, 0.5);
    assertEquals(1, script.sends.size());
  }

  @Test
  void anUnansweredProbeHoldsAPlacementForSomeMillisecondsOnly() {
    PolicyDriver script = settled(6);
    script.request(1);
    script.pass(100 * MS);
    assertEquals(1, script.sends.size());
  }

  @Test
  void lighterServersGetMoreTurns() {
    PolicyDriver script = settled(2);
    script.loads = s -> s.equals("s0") ? 0.2 : 0.6;
    script.takes = 5 * MS;
    int light = 0;
    for (int i = 1; i <= 40; i++) {
      script.request(i);
      script.pass(700 * MS);
      light += script.last(i).server().equals("s0") ? 1 : 0;
    }
    assertTrue(light > 24, "the light server got " + light + " of 40");
    assertTrue(light < 40, "the other is not starved");
  }

  @Test
  void aProbeTimeOutQuiescesUntilOneIsAnswered() {
    PolicyDriver script = settled(2);
    script.takes = 5 * MS;
    script.probed("s0", Status.TIMEOUT, 0, 0);
    for (int i = 1; i <= 4; i++) {
      script.request(i);
      script.pass(60 * MS);
      assertEquals("s1", script.last(i).server());
    }
    script.pass(SECOND);
    assertTrue(script.probes.contains("s0"), "it is probed again");
    script.probed("s0", Status.OK, 0.1, 0);
    Set<String> used = new HashSet<>();
    for (int i = 5; i <= 10; i++) {
      script.request(i);
      script.pass(60 * MS);
      used.add(script.last(i).server());
    }
    assertTrue(used.contains("s0"), "its answer restores a positive weight");
  }

  @Test
  void allQuiescedStillPlaces() {
    PolicyDriver script = settled(3);
    for (int i = 0; i < 3; i++) {
      script.probed("s" + i, Status.TIMEOUT, 0, 0);
    }
    script.request(1);
    script.pass(SECOND);
    assertEquals(1, script.sends.size());
  }

  @Test
  void noServerKnownIsHeldThenRefusedInTime() {
    PolicyDriver script = script();
    script.request(1);
    script.pass(1790 * MS);
    assertTrue(script.refused.isEmpty());
    script.pass(10 * MS);
    assertEquals(List.of(1L), script.refused);
    assertTrue(script.sends.isEmpty());
  }

  @Test
  void aServerListedWhileARequestIsHeldTakesIt() {
    PolicyDriver script = script();
    script.request(1);
    script.pass(500 * MS);
    script.list(1);
    script.pass(SECOND);
    assertEquals(1, script.sends.size());
  }

  @Test
  void nothingNewGoesToADrainingOrRemovedServer() {
    PolicyDriver script = settled(3);
    script.balancer.updateServers(
        script.now,
        ListKind.DELTA,
        List.of(PolicyDriver.server(0, State.DRAINING, 0), PolicyDriver.server(1, State.GONE, 0)));
    for (int i = 1; i <= 6; i++) {
      script.open(i);
      assertEquals("s2", script.last(i).server());
    }
    script.balancer.updateServers(script.now, ListKind.FULL, List.of());
    script.request(7);
    script.pass(SECOND);
    assertFalse(script.attempts.containsKey(7L), "a full list without it removes a server");
  }

  @Test
  void aRemovedServerThatReturnsIsUsedAgain() {
    PolicyDriver script = script();
    script.list(1);
    script.balancer.updateServers(script.now, ListKind.FULL, List.of());
    script.balancer.updateServers(
        script.now, ListKind.DELTA, List.of(PolicyDriver.server(0, State.READY, 0)));
    script.place(1, 0.1);
    assertEquals("s0", script.last(1).server());
  }

  @Test
  void aProvenRefusalIsTriedElsewhere() {
    PolicyDriver script = settled(3);
    script.place(1, 0.1);
    String first = script.last(1).server();
    script.outcome(1, Status.FULL, false);
    assertNotEquals(first, script.last(1).server());
  }

  @Test
  void aSingleShotThatMayHaveRunIsNeitherSentAgainNorRefused() {
    PolicyDriver.Setup setup = new PolicyDriver.Setup();
    setup.effect = Repeatability.SINGLE_SHOT;
    PolicyDriver script = PolicyDriver.settled(setup, 3);
    script.place(1, 0.1);
    script.outcome(1, Status.RESET, false);
    script.pass(3 * SECOND);
    assertEquals(1, script.attempts.get(1L));
    assertEquals(List.of(1L), script.failed);
    assertTrue(script.refused.isEmpty());
  }

  @Test
  void aGuardedRequestIsRepeatedWithinItsZoneOnly() {
    PolicyDriver.Setup setup = new PolicyDriver.Setup();
    setup.effect = Repeatability.GUARDED;
    setup.group = DeduplicationScope.ZONE;
    for (int i = 1; i <= 6; i++) {
      PolicyDriver script = new PolicyDriver(Policy::new, setup.settings(), i);
      script.list(6);
      script.settle();
      script.place(i, 0.1);
      String first = script.last(i).server();
      script.outcome(i, Status.RESET, false);
      script.pass(SECOND);
      String second = script.last(i).server();
      assertEquals(first.charAt(1) % 2, second.charAt(1) % 2, first + " then " + second);
    }
  }

  @Test
  void aLightConnectionNeedsAWholeTokenOfAColdServerToo() {
    // 60 nodes, one cold server each has just heard of: light connections must not rush to it.
    int sent = 0;
    for (int rank = 0; rank < 60; rank++) {
      PolicyDriver.Setup setup = new PolicyDriver.Setup();
      setup.rank = rank;
      setup.nodes = 60;
      setup.probes = false;
      PolicyDriver script = new PolicyDriver(Policy::new, setup.settings(), rank);
      script.list(10);
      script.request(1, 1800 * MS, 1000);
      script.balancer.updateServers(
          script.now, ListKind.DELTA, List.of(PolicyDriver.server(77, State.READY, script.now)));
      for (int i = 2; i <= 4; i++) {
        script.request(i, 1800 * MS, 100);
        script.pass(300 * MS);
      }
      sent += (int) script.sends.stream().filter(s -> s.server().equals("s77")).count();
    }
    assertTrue(sent <= 12, "180 light connections, " + sent + " of them to the cold server");
  }

  @Test
  void aColdServerIsDueWithoutWaitingForATurnInALargeFleet() {
    PolicyDriver.Setup setup = new PolicyDriver.Setup();
    setup.probes = false;
    PolicyDriver script = new PolicyDriver(setup.settings());
    script.list(100);
    for (int i = 1; i <= 200; i++) {
      script.request(i);
      script.pass(20 * MS);
    }
    script.balancer.updateServers(
        script.now, ListKind.DELTA, List.of(PolicyDriver.server(500, State.READY, script.now)));
    for (int i = 201; i <= 400; i++) {
      script.request(i);
      script.pass(20 * MS);
    }
    long cold = script.sends.stream().filter(s -> s.server().equals("s500")).count();
    assertTrue(cold >= 1 && cold <= 8, "200 placements, " + cold + " of them to the cold server");
  }

  @Test
  void errorsOfManyFlowsAreRepeatedWithinTheBudgetAndPauseNothing() {
    PolicyDriver script = settled(10);
    script.loads = s -> 0.1;
    script.takes = 5 * MS;
    script.ends = Status.ERROR;
    for (int i = 1; i <= 200; i++) {
      script.request(i);
      script.pass(50 * MS);
    }
    assertTrue(script.sends.size() <= 260, "200 requests, " + script.sends.size() + " attempts");
    assertTrue(script.sends.size() >= 150, "they are tried: " + script.sends.size());
    script.ends = Status.OK;
    script.pass(SECOND);
    script.request(201);
    script.pass(100 * MS);
    assertTrue(script.attempts.containsKey(201L), "a second after the cause nothing is kept back");
  }

  /**
   * A client with another's id got ERR wherever it was tried, and all others waited for seconds.
   */
  @Test
  void oneFlowsErrorsDoNotPauseTheNode() {
    PolicyDriver script = settled(10);
    script.place(1, 0.1);
    for (int i = 0; i < 3; i++) {
      script.outcome(1, Status.ERROR, false);
    }
    script.place(2, 0.1);
    assertTrue(script.attempts.containsKey(2L));
  }

  /** A draining server answers ERR before the list tells: each placement probed it once more. */
  @Test
  void aServerWhoseProbeFailsRestsFromProbesAndPlacements() {
    PolicyDriver script = settled(2);
    script.request(1);
    script.probes.clear();
    script.probed("s0", Status.ERROR, 0, 0);
    script.probed("s1", Status.OK, 0.1, 0);
    assertEquals("s1", script.last(1).server());
    script.pass(700 * MS);
    script.request(2);
    assertEquals(List.of("s1"), script.probes);
    script.answerProbes(Status.OK, 0.1);
    assertEquals("s1", script.last(2).server());
    script.pass(5 * SECOND);
    script.request(3);
    assertTrue(script.probes.contains("s0"));
  }

  /** A server that shed its connections was sent to again each 2 s, and broke those too. */
  @Test
  void aServerThatGoesOnBreakingConnectionsCoolsDownForLonger() {
    PolicyDriver script = settled(3);
    script.loads = s -> 0.1;
    script.takes = 5 * MS;
    List<Long> broken = new ArrayList<>();
    for (int i = 1; i <= 400; i++) {
      script.request(i);
      script.pass(50 * MS);
      boolean breaks = script.last(i).server().equals("s0");
      script.outcome(i, breaks ? Status.RESET : Status.OK, true);
      if (breaks) {
        broken.add(script.last(i).at());
      }
    }
    assertTrue(broken.size() >= 4 && broken.size() <= 8, "20 s of it at " + broken);
    for (int i = 0; i < 3; i++) {
      long rest = broken.get(i + 1) - broken.get(i);
      assertTrue(rest >= (500 << i) * MS, "rest " + i + " of " + rest);
    }
  }

  /** A server lost requests and answered probes: each cost its client the whole deadline. */
  @Test
  void anUnansweredAttemptIsCutLongBeforeTheDeadlineAndItsServerRests() {
    PolicyDriver script = settled(3);
    int lost = 0;
    for (int i = 1; i <= 20; i++) {
      script.request(i, 10 * SECOND, 0);
      script.answerProbes(Status.OK, 0.1);
      PolicyDriver.Sent sent = script.last(i);
      assertTrue(sent.abandonAt() - sent.at() < 3 * SECOND / 2, "waits for " + sent);
      if (sent.server().equals("s0")) {
        lost++;
        script.pass(600 * MS);
        script.outcome(i, Status.TIMEOUT, false);
        assertNotEquals("s0", script.last(i).server());
      }
      script.accepted(i);
    }
    assertEquals(2, lost, "from the second one on it rests");
    // Where all are slow the time grows, so that no attempt is cut that would have been answered.
    for (int i = 21; i < 60; i++) {
      script.place(i, 0.1);
      script.balancer.connectionAccepted(script.now, i, 0, script.last(i).server(), SECOND);
      script.outcome(i, Status.OK, true);
    }
    script.request(60, 60 * SECOND, 0);
    script.answerProbes(Status.OK, 0.1);
    assertTrue(script.last(60).abandonAt() - script.last(60).at() > 4 * SECOND);
  }

  /**
   * Each flow first tried a server that sent all away, until no attempt past the first was left.
   */
  @Test
  void aServerThatSendsSetupsAwayRestsLikeOneThatRefusesThem() {
    PolicyDriver script = settled(2);
    int sentAway = 0;
    for (int i = 1; i <= 8; i++) {
      script.place(i, 0.1);
      if (script.last(i).server().equals("s0")) {
        sentAway++;
        script.outcome(i, Status.CANCELLED, false);
      }
      assertEquals("s1", script.last(i).server());
      script.accepted(i);
    }
    assertEquals(1, sentAway);
  }

  /**
   * What had waited was sent with some ms left, and two of those put a host that was well at rest.
   */
  @Test
  void anAttemptThatTheDeadlineLeftNoTimeTellsNothingOfItsServer() {
    PolicyDriver script = settled(2);
    for (int i = 1; i <= 4; i++) {
      script.request(i, 20 * MS, 0);
      script.answerProbes(Status.OK, 0.1);
      script.pass(20 * MS);
      script.outcome(i, Status.TIMEOUT, false);
    }
    assertEquals(4, script.refused.size());
    assertEquals(0, script.balancer.limits().ejectedServers());
    assertEquals(8, script.balancer.limits().setupsAllowed());
  }

  @Test
  void aHeldRequestIsAnsweredEvenWhileAProbeIsOut() {
    PolicyDriver script = settled(3);
    script.request(1);
    script.answerProbes(Status.FULL, 0);
    for (int i = 0; i < 40; i++) {
      script.pass(50 * MS);
    }
    boolean answered = script.refused.contains(1L) || script.attempts.containsKey(1L);
    assertTrue(answered, "neither sent nor refused by its deadline");
  }

  @Test
  void aFullProbeTellsOfOverloadAndRelievesTheServer() {
    PolicyDriver script = settled(1);
    script.fill(40);
    script.probed("s0", Status.FULL, 0, 0);
    assertTrue(!script.moved.isEmpty() && script.moved.size() < 36, "" + script.moved.size());
  }

  @Test
  void oneSlowNoteIsAStallAndTwoAreStrain() {
    PolicyDriver script = settled(1);
    script.fill(40);
    script.balancer.connectionMeasured(script.now, 1, 0, "s0", MeasurementKind.DELAY, 500);
    assertTrue(script.moved.isEmpty());
    script.pass(SECOND);
    script.balancer.connectionMeasured(script.now, 2, 0, "s0", MeasurementKind.DELAY, 500);
    assertFalse(script.moved.isEmpty());
  }

  @Test
  void absurdReportsMakeNoAbsurdWeights() {
    double[] absurd = {Double.NaN, Double.POSITIVE_INFINITY, -1, 0, 1e300, Double.MIN_VALUE};
    PolicyDriver script = settled(6);
    script.takes = 5 * MS;
    for (int i = 1; i <= 60; i++) {
      script.request(i);
      for (int s = 0; s < 6; s++) {
        script.probed("s" + s, Status.OK, absurd[(s + i) % 6], absurd[(s + 2 * i) % 6]);
      }
      script.probes.clear();
      script.pass(SECOND);
    }
    Map<String, Integer> counts = new HashMap<>();
    script.sends.forEach(s -> counts.merge(s.server(), 1, Integer::sum));
    assertEquals(60, script.sends.size());
    assertTrue(counts.size() >= 3, counts.toString());
  }

  @Test
  void lateEventsForForgottenIdsAreIgnored() {
    PolicyDriver script = settled(2);
    script.place(1, 0.1);
    script.outcome(1, Status.OK, true);
    int before = script.all.size();
    script.outcome(1, Status.OK, true);
    script.balancer.requestWithdrawn(script.now, 1);
    script.balancer.connectionAccepted(script.now, 1, 0, "s0", 1);
    script.balancer.connectionMeasured(script.now, 99, 0, "s0", MeasurementKind.LOAD, 5);
    script.balancer.probeCompleted(script.now, "nobody", Status.OK, 1, List.of(0.5, 0.0));
    script.balancer.peerMessageReceived(script.now, 3, new byte[] {1, 2, 3});
    assertEquals(before, script.all.size());
  }

  @Test
  void crossingsThatCostTakeFewerTurnsAndStillSome() {
    PolicyDriver.Setup setup = new PolicyDriver.Setup();
    setup.probes = false;
    setup.crossZonePrice = 0.01;
    PolicyDriver script = PolicyDriver.settled(setup, 8);
    script.takes = 5 * MS;
    for (int i = 1; i <= 100; i++) {
      script.request(i);
      script.pass(20 * MS);
    }
    long near = script.sends.stream().filter(s -> (s.server().charAt(1) - '0') % 2 == 0).count();
    assertTrue(near > 60 && near < 85, near + " of 100 in the node's own zone");
  }

  @Test
  void anOverloadedFleetHoldsAndRefusesInsteadOfFillingUp() {
    // Found in incidents: servers taken to be usable up to 0.95 were all late, and none recovered.
    PolicyDriver script = settled(6);
    int sent = 0;
    for (int i = 1; i <= 60; i++) {
      script.request(i);
      for (int k = 0; k < 20; k++) {
        script.answerProbes(Status.OK, 0.9);
        script.pass(100 * MS);
      }
      sent += script.attempts.containsKey((long) i) ? 1 : 0;
    }
    assertTrue(sent <= 8, "60 requests at a load of 0.9, " + sent + " sent");
    assertEquals(60 - sent, script.refused.size());
  }

  /** What finds no place waits, and none who waits is overtaken by one who has come later. */
  @Test
  void aFullFleetHoldsInTheWaitingRoomAndLetsOutInTurn() {
    PolicyDriver script = settled(6);
    script.loads = s -> 0.95;
    for (int i = 0; i < 6; i++) {
      script.probed("s" + i, Status.OK, 0.95, 0);
    }
    for (int i = 1; i <= 30; i++) {
      script.request(i, 5 * SECOND, 0);
    }
    script.pass(300 * MS);
    assertTrue(script.sends.isEmpty());
    assertEquals(30, script.balancer.limits().waiting());
    script.loads = s -> 0.1 + script.sends.size() / 100.0;
    script.takes = 5 * MS;
    script.pass(3 * SECOND);
    assertEquals(30, script.sends.size(), "and no answer is late: " + script.refused);
    for (int i = 1; i <= 30; i++) {
      assertEquals(i, script.sends.get(i - 1).id());
    }
    assertEquals(0, script.balancer.limits().waiting());
  }

  @Test
  void aRestartUnderTheSameIdIsColdAgain() {
    PolicyDriver.Setup setup = new PolicyDriver.Setup();
    setup.probes = false;
    setup.nodes = 50;
    PolicyDriver script = new PolicyDriver(setup.settings());
    script.list(2);
    script.balancer.updateServers(
        script.now, ListKind.DELTA, List.of(PolicyDriver.server(0, State.READY, script.now)));
    for (int i = 1; i <= 20; i++) {
      script.request(i);
      script.pass(10 * MS);
    }
    long restarted = script.sends.stream().filter(s -> s.server().equals("s0")).count();
    assertTrue(restarted <= 3, restarted + " of 20 to a server that has just restarted");
  }

  @Test
  void aResumedConnectionIsHeldWithoutSendingAndEndsWithItsOutcome() {
    PolicyDriver script = script();
    script.list(2);
    Balancer.Request old = new Balancer.Request(5, "k", "view", null, 0, 0, false, false, false);
    script.balancer.connectionResumed(script.now, old, "s1");
    script.balancer.connectionResumed(
        script.now, new Balancer.Request(6, "k", "view", null, 0, 0, false, false, false), "s9");
    script.balancer.connectionMeasured(script.now, 5, 0, "s1", MeasurementKind.LOAD, 900);
    script.pass(5 * SECOND);
    script.balancer.attemptEnded(
        script.now, new Balancer.Outcome(5, 0, "s1", Status.OK, 1, true, List.of()));
    assertTrue(script.sends.isEmpty() && script.refused.isEmpty() && script.failed.isEmpty());
    script.balancer.connectionResumed(script.now, old, "s1");
  }

  @Test
  void aServersStateIsGoneWithItAndItsConnectionsStillEnd() {
    PolicyDriver script = settled(1);
    script.open(1);
    script.balancer.updateServers(script.now, ListKind.FULL, PolicyDriver.servers(0));
    script.outcome(1, Status.RESET, true);
    script.request(1);
    assertEquals(1, script.attempts.get(1L), "the id was forgotten and no server is left");
  }

  @Test
  void garbageFromPeersDoesNoHarm() {
    PolicyDriver script = settled(2);
    script.balancer.peerMessageReceived(script.now, -5, new byte[0]);
    script.balancer.peerMessageReceived(script.now, 900, new byte[] {-1, 0, 127});
    script.place(1, 0.1);
    assertEquals(1, script.sends.size());
  }

  @Test
  void whatHasEndedIsForgotten() {
    PolicyDriver.Setup setup = new PolicyDriver.Setup();
    setup.probes = false;
    PolicyDriver script = PolicyDriver.settled(setup, 4);
    for (int i = 1; i <= 300; i++) {
      script.request(i);
      switch (i % 4) {
        case 0 -> script.outcome(i, Status.OK, true);
        case 1 -> script.balancer.requestWithdrawn(script.now, i);
        case 2 -> {
          script.accepted(i);
          script.outcome(i, Status.CANCELLED, true);
        }
        default -> script.accepted(i);
      }
      script.pass(10 * MS);
    }
    script.pass(5 * SECOND);
    assertEquals(75, ((Policy) script.balancer).node.requests.size(), "only what is still open");
    assertEquals(0, script.balancer.limits().setupsInProgress());
  }

  @Test
  void aStormOfTimeOutsIsOneLineInFiveSeconds() {
    PolicyDriver script = settled(20);
    for (int i = 0; i < 20; i++) {
      script.probed("s" + i, Status.TIMEOUT, 0, 0);
    }
    List<String> lines = script.all.stream().filter(a -> a.contains(" log ")).toList();
    assertEquals(1, lines.size(), lines.toString());
    assertTrue(lines.get(0).contains("quiesced s0: no answer in time"), lines.toString());
  }

  @Test
  void brokenContractsAreNamed() {
    PolicyDriver script = script();
    script.list(1);
    script.request(1);
    Throwable twice = assertThrows(IllegalArgumentException.class, () -> script.request(1));
    assertEquals("request 1 is already active", twice.getMessage());
    assertThrows(IllegalArgumentException.class, () -> script.balancer.requestReceived(0, null));
    assertThrows(
        IllegalArgumentException.class, () -> script.balancer.updateServers(0, null, List.of()));
    assertThrows(IllegalArgumentException.class, () -> new Policy(0, null, 1, script));
  }

  @Test
  void askingIsSpreadAndBacksOff() {
    PolicyDriver.Setup setup = new PolicyDriver.Setup();
    setup.asks = true;
    PolicyDriver script = new PolicyDriver(setup.settings());
    script.list(2);
    script.pass(2 * SECOND);
    assertEquals(List.of(true), script.watches);
    int calls = 1;
    for (int i = 0; i < 30; i++) {
      if (script.watches.size() > calls - 1) {
        script.balancer.updateServers(script.now, ListKind.FAILED, List.of());
        calls = script.watches.size() + 1;
      }
      script.pass(SECOND);
    }
    assertTrue(script.watches.size() >= 3 && script.watches.size() <= 8, "" + script.watches);
  }

  @Test
  void settingsNeverSeenBeforeStartAndPlace() {
    PolicyDriver.Setup[] setups = new PolicyDriver.Setup[6];
    for (int i = 0; i < setups.length; i++) {
      setups[i] = new PolicyDriver.Setup();
    }
    setups[0].probes = false;
    setups[1].fields = List.of();
    setups[2].probePrice = 0;
    setups[3].peers = true;
    setups[4].maxAttempts = 1;
    setups[5].coldShare = 0;
    for (PolicyDriver.Setup setup : setups) {
      PolicyDriver script = PolicyDriver.settled(setup, 1);
      script.request(1);
      script.pass(SECOND);
      assertEquals("s0", script.last(1).server());
    }
  }

  /** A host that slowed down kept its connections: no note told of it, and no placement looked. */
  @Test
  void aStaleReportIsRenewedOfAServerThatHoldsConnections() {
    PolicyDriver script = settled(2);
    script.open(1);
    script.answerProbes(Status.OK, 0.5);
    script.pass(SECOND);
    assertEquals(List.of(), script.probes, "the report is still good");
    script.pass(4 * SECOND);
    assertEquals(List.of(script.last(1).server()), script.probes);
  }

  /** An answer takes some ms, so that at the second tick it was just not stale: 3 s went by. */
  @Test
  void aStaleReportIsRenewedAtEverySecondTick() {
    PolicyDriver script = settled(1);
    script.open(1);
    int probes = 0;
    for (long passed = 0; passed < 12 * SECOND; passed += 5 * MS) {
      script.pass(5 * MS);
      probes += script.probes.size();
      script.answerProbes(Status.OK, 0.5);
    }
    assertTrue(probes >= 5, probes + " probes in 12 s");
  }

  /** A refusal said nothing of how long nobody is sent, and its client came at once. */
  @Test
  void aRefusalInAFullFleetComesInTimeAndTellsWhenToReturn() {
    for (long most : new long[] {0, 40 * MS, 2 * SECOND}) {
      PolicyDriver.Setup setup = new PolicyDriver.Setup();
      setup.maxRetryAfter = most;
      PolicyDriver script = PolicyDriver.settled(setup, 2);
      script.loads = s -> 0.95;
      for (int i = 1; i <= 5; i++) {
        script.request(i);
      }
      script.pass(1790 * MS);
      assertEquals(List.of(), script.refused);
      script.pass(10 * MS);
      assertEquals(5, script.refused.size());
      long told = script.retryAfter.get(4);
      assertTrue(told <= most && (told > 0 || most == 0), told + " of at most " + most);
      script.loads = s -> 0.1;
      script.pass(told);
      script.request(6);
      script.pass(100 * MS);
      assertTrue(script.attempts.containsKey(6L), "sent once it came back");
    }
  }
}
