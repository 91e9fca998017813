package brassbank.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LifecycleTest {
  private static final long NOW = 5_000_000;
  private static final long KILL = NOW + 3_700_000;

  private final Lifecycle lifecycle = new Lifecycle();

  private void serving() {
    lifecycle.handle(Event.SERVING, NOW);
  }

  /** An independent copy of the transition table. */
  @ParameterizedTest
  @CsvSource({
    "STARTING, ACTIVE, DRAINING, STARTING, STARTING, STOPPING",
    "ACTIVE, ACTIVE, DRAINING, ACTIVE, ACTIVE, STOPPING",
    "DRAINING, DRAINING, DRAINING, ACTIVE, STANDBY, STOPPING",
    "STANDBY, STANDBY, STANDBY, ACTIVE, STANDBY, STOPPING",
    "STOPPING, STOPPING, STOPPING, STOPPING, STOPPING, STOPPING"
  })
  void eachEventLeadsToItsNextStateFromEachState(
      State from, State serving, State standby, State active, State gone, State stop) {
    State[] expected = {serving, standby, active, gone, stop};
    for (Event event : Event.values()) {
      assertThat(Lifecycle.transition(from, event))
          .as(from + " " + event)
          .isEqualTo(expected[event.ordinal()]);
    }
  }

  @Test
  void drainMovesAllClientsInTimeAndThenRefusesNewOnes() {
    serving();
    assertThat(lifecycle.handle(Event.STANDBY, NOW)).isTrue();
    int left = 300;
    long now = NOW;
    while (left > 0) {
      assertThat(lifecycle.refusesClients(now)).as("at " + (now - NOW)).isFalse();
      DrainSchedule.Step step = lifecycle.step(now, left, left);
      left -= step.count();
      now = step.nextMicros();
    }
    assertThat(now - NOW).isLessThanOrEqualTo(3_100_000);
    lifecycle.step(now, 0, 0);
    assertThat(lifecycle.state()).isEqualTo(State.STANDBY);
    assertThat(lifecycle.refusesClients(now)).isTrue();
  }

  @Test
  void drainWithoutClientsEndsOnceTheBalancerHasHadTimeToNotice() {
    serving();
    lifecycle.handle(Event.STANDBY, NOW);
    lifecycle.step(NOW + 300_000, 0, 0);
    assertThat(lifecycle.state()).isEqualTo(State.DRAINING);
    lifecycle.step(NOW + 400_000, 0, 1);
    assertThat(lifecycle.state()).as("an attempt is outstanding").isEqualTo(State.DRAINING);
    lifecycle.step(NOW + 450_000, 0, 0);
    assertThat(lifecycle.state()).isEqualTo(State.STANDBY);
  }

  @Test
  void secondStandbyRequestChangesNothing() {
    serving();
    lifecycle.handle(Event.STANDBY, NOW);
    DrainSchedule first = lifecycle.drainSchedule();
    assertThat(lifecycle.handle(Event.STANDBY, NOW + 500_000)).isFalse();
    assertThat(lifecycle.drainSchedule()).isSameAs(first);
  }

  /** Steps that were scheduled for an abandoned drain must not hurry a later one. */
  @Test
  void reactivatedProxyKeepsItsClientsAndDrainsAfreshLater() {
    serving();
    lifecycle.handle(Event.STANDBY, NOW);
    int first = lifecycle.drainNumber();
    lifecycle.handle(Event.ACTIVE, NOW + 200_000);
    assertThat(lifecycle.step(NOW + 4_000_000, 10, 10)).isNull();
    assertThat(lifecycle.refusesClients(NOW + 4_000_000)).isFalse();
    lifecycle.handle(Event.STANDBY, NOW + 400_000);
    assertThat(lifecycle.drainNumber()).isNotEqualTo(first);
    assertThat(lifecycle.drainSchedule().microsUntilEnd(NOW + 400_000))
        .isEqualTo(DrainSchedule.STANDBY_LIMIT_MICROS);
  }

  @Test
  void stopDuringADrainKeepsTheDrainsEnd() {
    serving();
    lifecycle.handle(Event.STANDBY, NOW);
    assertThat(lifecycle.stop(NOW + 2_000_000, KILL + 2_000_000)).isTrue();
    assertThat(lifecycle.drainSchedule().microsUntilEnd(NOW + 2_000_000)).isEqualTo(1_000_000);
    lifecycle.step(NOW + 3_000_000, 0, 0);
    assertThat(lifecycle.state()).isEqualTo(State.STOPPING);
    assertThat(lifecycle.stop(NOW + 3_100_000, KILL + 9_000_000)).as("second signal").isFalse();
  }
}
