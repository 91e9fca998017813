package ashspar;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashspar.Balancer.DeduplicationScope;
import ashspar.Balancer.Repeatability;
import ashspar.Balancer.Tenant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the four rules in random scenarios, and proves that the checks detect balancers that break
 * them.
 */
class RulesTest {
  private static PolicyDriver.Setup setup(Repeatability repeatability, DeduplicationScope scope) {
    PolicyDriver.Setup setup = new PolicyDriver.Setup();
    setup.repeatability = repeatability;
    setup.deduplicationScope = scope;
    setup.tenants = List.of(new Tenant("t1", 0.5, 0, 4), new Tenant("t2", 0.5, 0, 40));
    return setup;
  }

  @ParameterizedTest
  @CsvSource({"FREE, ALL", "GUARDED, ALL", "GUARDED, ZONE", "GUARDED, CELL", "SINGLE_SHOT, ALL"})
  void rulesHoldInRandomScenarios(Repeatability repeatability, DeduplicationScope scope) {
    for (long seed = 1; seed <= 8; seed++) {
      RandomizedRuleCheck check =
          new RandomizedRuleCheck(
              Policy::new, setup(repeatability, scope).settings(), seed * 1_000_003);
      check.play(1500);
      check.checkEverythingReleased();
      assertTrue(check.sends > 120, "the check had " + check.sends + " sends");
    }
  }

  private static AssertionError playFaulty(
      Repeatability repeatability, DeduplicationScope scope, FaultyBalancer.Fault fault) {
    PolicyDriver.Factory factory =
        (now, settings, seed, actions) -> new FaultyBalancer(fault, settings, actions);
    RandomizedRuleCheck check =
        new RandomizedRuleCheck(factory, setup(repeatability, scope).settings(), 5);
    return assertThrows(AssertionError.class, () -> check.play(1500));
  }

  private static void assertRule(String rule, AssertionError seen) {
    assertTrue(seen.getMessage().startsWith(rule), seen.getMessage());
  }

  @Test
  void detectsALostRequest() {
    assertRule(
        "rule 1",
        playFaulty(Repeatability.FREE, DeduplicationScope.ALL, FaultyBalancer.Fault.LOSES));
  }

  @Test
  void detectsARepeatedEffect() {
    assertRule(
        "rule 2",
        playFaulty(
            Repeatability.SINGLE_SHOT, DeduplicationScope.ALL, FaultyBalancer.Fault.REPEATS));
    assertRule(
        "rule 2",
        playFaulty(Repeatability.GUARDED, DeduplicationScope.CELL, FaultyBalancer.Fault.REPEATS));
    assertRule(
        "rule 2",
        playFaulty(
            Repeatability.SINGLE_SHOT, DeduplicationScope.ALL, FaultyBalancer.Fault.REFUSES));
    assertRule(
        "rule 2",
        playFaulty(Repeatability.FREE, DeduplicationScope.ALL, FaultyBalancer.Fault.DOUBLES));
  }

  @Test
  void detectsASendToADrainingServer() {
    assertRule(
        "rule 3",
        playFaulty(
            Repeatability.FREE, DeduplicationScope.ALL, FaultyBalancer.Fault.IGNORES_DRAINS));
  }

  @Test
  void detectsAnOverloadedColdServer() {
    assertRule(
        "rule 4",
        playFaulty(Repeatability.FREE, DeduplicationScope.ALL, FaultyBalancer.Fault.FLOODS_NEWEST));
  }

  @Test
  void theSameEventsGiveTheSameActionsHoweverManyInstancesThereAre() {
    List<String> alone = actions(1);
    List<String> among = actions(5);
    assertTrue(alone.equals(among), "instances must not share state");
  }

  private static List<String> actions(int instances) {
    PolicyDriver first = null;
    for (int n = 0; n < instances; n++) {
      PolicyDriver script =
          new PolicyDriver(
              Policy::new, setup(Repeatability.FREE, DeduplicationScope.ALL).settings(), 99 + n);
      first = first == null ? script : first;
      script.listServers(8);
      for (int i = 1; i <= 100; i++) {
        script.request(i);
        script.advance(50_000);
        script.answerProbes(Balancer.Status.OK, (i * 37 % 100) / 100.0);
      }
    }
    return first.actions;
  }
}
