package brassbank.sim.check;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.sim.event.Event;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class HostRequestRateTest {
  /** Three proxies. The rule must not ask for ground truth, so that every call of it fails. */
  private static Checks checks() {
    Checks.RuleParameters figures =
        new Checks.RuleParameters(50_000, 400_000, 4, 3, 12, 2, 0, false, 0.5, Map.of());
    GroundTruth unavailableTruth =
        (GroundTruth)
            Proxy.newProxyInstance(
                GroundTruth.class.getClassLoader(),
                new Class<?>[] {GroundTruth.class},
                (proxy, method, arguments) -> {
                  throw new IllegalStateException(method.getName());
                });
    return new Checks(
        List.of(new HostRequestRate(HostRequestRate.Operation.SETUPS, figures)), unavailableTruth);
  }

  private static int breachesAfter(int setups, int flows) {
    Checks checks = checks();
    for (int i = 0; i < flows; i++) {
      checks.onEvent(1_000_000, new Event.FlowSent("c" + i + ".0", "c" + i, "n0", 1_000));
    }
    for (int i = 0; i < setups; i++) {
      checks.onEvent(
          1_000_000 + i, new Event.AttemptArrived("d" + i + ".0", "s-1", "n0", 1_000_000, false));
    }
    return checks.breaches().size();
  }

  @Test
  void setUpsAtOneHostAreBoundedByProxiesAndFlows() {
    assertThat(breachesAfter(12, 0)).isZero();
    assertThat(breachesAfter(13, 0)).isPositive();
    assertThat(breachesAfter(17, 5)).isZero();
    assertThat(breachesAfter(18, 5)).isPositive();
  }
}
