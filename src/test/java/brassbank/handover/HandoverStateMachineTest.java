package brassbank.handover;

import static brassbank.handover.HandoverStateMachine.Phase.ACCEPTING;
import static brassbank.handover.HandoverStateMachine.Phase.READY;
import static brassbank.handover.HandoverStateMachine.Phase.SUCCEEDED;
import static brassbank.handover.HandoverStateMachine.Phase.WAITING;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class HandoverStateMachineTest {
  private static final HandoverStateMachine.View NO_OTHER_ACTIVE =
      new HandoverStateMachine.View(false, false);
  private static final HandoverStateMachine.View PREDECESSOR_ACCEPTING =
      new HandoverStateMachine.View(true, false);
  private static final HandoverStateMachine.View SUCCESSOR_READY =
      new HandoverStateMachine.View(false, true);

  private final HandoverStateMachine machine = new HandoverStateMachine();

  @Test
  void acceptsOnceItIsReadyAndNoPredecessorAccepts() {
    assertThat(machine.step(0, PREDECESSOR_ACCEPTING, false)).isEqualTo(WAITING);
    assertThat(machine.step(20, PREDECESSOR_ACCEPTING, true)).isEqualTo(READY);
    assertThat(machine.step(40, PREDECESSOR_ACCEPTING, true)).isEqualTo(READY);
    assertThat(machine.step(60, NO_OTHER_ACTIVE, true)).isEqualTo(ACCEPTING);
    assertThat(machine.step(80, SUCCESSOR_READY, true)).isEqualTo(SUCCEEDED);
    assertThat(machine.step(100, SUCCESSOR_READY, true)).isEqualTo(SUCCEEDED);
  }

  @Test
  void stopsWaitingForAHungPredecessorAfterTheTimeout() {
    machine.step(0, PREDECESSOR_ACCEPTING, true);
    assertThat(
            machine.step(
                HandoverStateMachine.PREDECESSOR_TIMEOUT_MICROS - 1, PREDECESSOR_ACCEPTING, true))
        .isEqualTo(READY);
    assertThat(
            machine.step(
                HandoverStateMachine.PREDECESSOR_TIMEOUT_MICROS, PREDECESSOR_ACCEPTING, true))
        .isEqualTo(ACCEPTING);
  }

  @Test
  void acceptsAgainOnceAllItsSuccessorsHaveStopped() {
    machine.step(0, NO_OTHER_ACTIVE, true);
    machine.step(20, NO_OTHER_ACTIVE, true);
    machine.step(40, SUCCESSOR_READY, true);
    assertThat(machine.step(60, NO_OTHER_ACTIVE, true)).isEqualTo(READY);
    assertThat(machine.step(80, NO_OTHER_ACTIVE, true)).isEqualTo(ACCEPTING);
  }

  /** Processes start, become ready and stop at any moment, and observe each other in any order. */
  @Test
  void atMostOneProcessAcceptsAndALiveReadyProcessAcceptsSoon() {
    for (int seed = 0; seed < 2_000; seed++) {
      Random random = new Random(seed);
      List<HandoverStateMachine> machines = new ArrayList<>();
      List<Boolean> alive = new ArrayList<>();
      List<Boolean> readyToServe = new ArrayList<>();
      int stepsWithoutAcceptor = 0;
      for (int step = 0; step < 300; step++) {
        if (machines.size() < 4 && random.nextInt(20) == 0) {
          machines.add(new HandoverStateMachine());
          alive.add(true);
          readyToServe.add(false);
        }
        for (int i = 0; i < machines.size(); i++) {
          int index = i;
          // The last live process is never stopped, because some process has to accept.
          if (random.nextInt(60) == 0 && alive.stream().filter(live -> live).count() > 1) {
            alive.set(i, false);
          }
          readyToServe.set(i, readyToServe.get(i) || random.nextInt(10) == 0);
          if (alive.get(i)) {
            boolean predecessorAccepting =
                phasesOfLive(machines, alive, 0, index).stream()
                    .anyMatch(HandoverStateMachine.Phase::isAccepting);
            boolean successorReady =
                phasesOfLive(machines, alive, index + 1, machines.size()).stream()
                    .anyMatch(HandoverStateMachine.Phase::isReady);
            machines
                .get(i)
                .step(
                    step * 20_000L,
                    new HandoverStateMachine.View(predecessorAccepting, successorReady),
                    readyToServe.get(i));
          }
          long accepting =
              phasesOfLive(machines, alive, 0, machines.size()).stream()
                  .filter(HandoverStateMachine.Phase::isAccepting)
                  .count();
          assertThat(accepting).as("seed " + seed + " step " + step).isLessThanOrEqualTo(1);
        }
        boolean anyReady =
            phasesOfLive(machines, alive, 0, machines.size()).stream()
                .anyMatch(HandoverStateMachine.Phase::isReady);
        boolean anyAccepting =
            phasesOfLive(machines, alive, 0, machines.size()).stream()
                .anyMatch(HandoverStateMachine.Phase::isAccepting);
        stepsWithoutAcceptor = anyReady && !anyAccepting ? stepsWithoutAcceptor + 1 : 0;
        assertThat(stepsWithoutAcceptor).as("seed " + seed + " step " + step).isLessThan(6);
      }
    }
  }

  private static List<HandoverStateMachine.Phase> phasesOfLive(
      List<HandoverStateMachine> machines, List<Boolean> alive, int from, int to) {
    List<HandoverStateMachine.Phase> phases = new ArrayList<>();
    for (int i = from; i < to; i++) {
      if (alive.get(i)) {
        phases.add(machines.get(i).phase());
      }
    }
    return phases;
  }
}
