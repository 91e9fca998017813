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

/** The four rules on random days, and the proof that the checks see a module that breaks them. */
class RulesTest {
  private static PolicyDriver.Setup setup(Repeatability effect, DeduplicationScope group) {
    PolicyDriver.Setup setup = new PolicyDriver.Setup();
    setup.effect = effect;
    setup.group = group;
    setup.tenants = List.of(new Tenant("t1", 0.5, 0, 4), new Tenant("t2", 0.5, 0, 40));
    return setup;
  }

  @ParameterizedTest
  @CsvSource({"FREE, ALL", "GUARDED, ALL", "GUARDED, ZONE", "GUARDED, CELL", "SINGLE_SHOT, ALL"})
  void theRulesHoldOnRandomDays(Repeatability effect, DeduplicationScope group) {
    for (long seed = 1; seed <= 8; seed++) {
      RandomizedRuleCheck day =
          new RandomizedRuleCheck(Policy::new, setup(effect, group).settings(), seed * 1_000_003);
      day.play(1500);
      day.checkAllGivenBack();
      assertTrue(day.sends > 120, "the day had " + day.sends + " sends");
    }
  }

  private static AssertionError broken(
      Repeatability effect, DeduplicationScope group, FaultyBalancer.Fault fault) {
    PolicyDriver.Factory factory =
        (now, settings, seed, actions) -> new FaultyBalancer(fault, settings, actions);
    RandomizedRuleCheck day = new RandomizedRuleCheck(factory, setup(effect, group).settings(), 5);
    return assertThrows(AssertionError.class, () -> day.play(1500));
  }

  private static void assertRule(String rule, AssertionError seen) {
    assertTrue(seen.getMessage().startsWith(rule), seen.getMessage());
  }

  @Test
  void aLostRequestIsSeen() {
    assertRule(
        "rule 1", broken(Repeatability.FREE, DeduplicationScope.ALL, FaultyBalancer.Fault.LOSES));
  }

  @Test
  void aRepeatedEffectIsSeen() {
    assertRule(
        "rule 2",
        broken(Repeatability.SINGLE_SHOT, DeduplicationScope.ALL, FaultyBalancer.Fault.REPEATS));
    assertRule(
        "rule 2",
        broken(Repeatability.GUARDED, DeduplicationScope.CELL, FaultyBalancer.Fault.REPEATS));
    assertRule(
        "rule 2",
        broken(Repeatability.SINGLE_SHOT, DeduplicationScope.ALL, FaultyBalancer.Fault.REFUSES));
    assertRule(
        "rule 2", broken(Repeatability.FREE, DeduplicationScope.ALL, FaultyBalancer.Fault.DOUBLES));
  }

  @Test
  void aSendToADrainingServerIsSeen() {
    assertRule(
        "rule 3",
        broken(Repeatability.FREE, DeduplicationScope.ALL, FaultyBalancer.Fault.IGNORES_DRAINS));
  }

  @Test
  void aColdServerPushedOverIsSeen() {
    assertRule(
        "rule 4",
        broken(Repeatability.FREE, DeduplicationScope.ALL, FaultyBalancer.Fault.FLOODS_NEWEST));
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
      script.list(8);
      for (int i = 1; i <= 100; i++) {
        script.request(i);
        script.pass(50_000);
        script.answerProbes(Balancer.Status.OK, (i * 37 % 100) / 100.0);
      }
    }
    return first.all;
  }
}
