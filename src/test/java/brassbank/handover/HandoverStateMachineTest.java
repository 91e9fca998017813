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
  private static final HandoverStateMachine.View ALONE =
      new HandoverStateMachine.View(false, false);
  private static final HandoverStateMachine.View BEHIND =
      new HandoverStateMachine.View(true, false);
  private static final HandoverStateMachine.View BEFORE =
      new HandoverStateMachine.View(false, true);

  private final HandoverStateMachine succession = new HandoverStateMachine();

  @Test
  void acceptsOnceItIsAbleAndNoPredecessorDoes() {
    assertThat(succession.step(0, BEHIND, false)).isEqualTo(WAITING);
    assertThat(succession.step(20, BEHIND, true)).isEqualTo(READY);
    assertThat(succession.step(40, BEHIND, true)).isEqualTo(READY);
    assertThat(succession.step(60, ALONE, true)).isEqualTo(ACCEPTING);
    assertThat(succession.step(80, BEFORE, true)).isEqualTo(SUCCEEDED);
    assertThat(succession.step(100, BEFORE, true)).isEqualTo(SUCCEEDED);
  }

  @Test
  void waitsForAPredecessorThatHangsNoLongerThanItsYesAllows() {
    succession.step(0, BEHIND, true);
    assertThat(succession.step(HandoverStateMachine.PATIENCE - 1, BEHIND, true)).isEqualTo(READY);
    assertThat(succession.step(HandoverStateMachine.PATIENCE, BEHIND, true)).isEqualTo(ACCEPTING);
  }

  @Test
  void takesTheDoorBackWhenItsSuccessorsHaveDied() {
    succession.step(0, ALONE, true);
    succession.step(20, ALONE, true);
    succession.step(40, BEFORE, true);
    assertThat(succession.step(60, ALONE, true)).isEqualTo(READY);
    assertThat(succession.step(80, ALONE, true)).isEqualTo(ACCEPTING);
  }

  /** Processes start, become able and die at any moment, and look at each other in any order. */
  @Test
  void neverTwoAcceptAndWhoeverLivesDoesSoSoon() {
    for (int seed = 0; seed < 2_000; seed++) {
      Random random = new Random(seed);
      List<HandoverStateMachine> all = new ArrayList<>();
      List<Boolean> alive = new ArrayList<>();
      List<Boolean> able = new ArrayList<>();
      int none = 0;
      for (int step = 0; step < 300; step++) {
        if (all.size() < 4 && random.nextInt(20) == 0) {
          all.add(new HandoverStateMachine());
          alive.add(true);
          able.add(false);
        }
        for (int i = 0; i < all.size(); i++) {
          int me = i;
          // The last one to live is left alone: with nobody there, nobody accepts.
          if (random.nextInt(60) == 0 && alive.stream().filter(a -> a).count() > 1) {
            alive.set(i, false);
          }
          able.set(i, able.get(i) || random.nextInt(10) == 0);
          if (alive.get(i)) {
            boolean predecessor =
                held(all, alive, 0, me).stream().anyMatch(HandoverStateMachine.Phase::isAccepting);
            boolean successor =
                held(all, alive, me + 1, all.size()).stream()
                    .anyMatch(HandoverStateMachine.Phase::isReady);
            all.get(i)
                .step(
                    step * 20_000L,
                    new HandoverStateMachine.View(predecessor, successor),
                    able.get(i));
          }
          long accepting =
              held(all, alive, 0, all.size()).stream()
                  .filter(HandoverStateMachine.Phase::isAccepting)
                  .count();
          assertThat(accepting).as("seed " + seed + " step " + step).isLessThanOrEqualTo(1);
        }
        boolean someoneAble =
            held(all, alive, 0, all.size()).stream().anyMatch(HandoverStateMachine.Phase::isReady);
        boolean someoneAccepts =
            held(all, alive, 0, all.size()).stream()
                .anyMatch(HandoverStateMachine.Phase::isAccepting);
        none = someoneAble && !someoneAccepts ? none + 1 : 0;
        assertThat(none).as("seed " + seed + " step " + step).isLessThan(6);
      }
    }
  }

  private static List<HandoverStateMachine.Phase> held(
      List<HandoverStateMachine> all, List<Boolean> alive, int from, int to) {
    List<HandoverStateMachine.Phase> held = new ArrayList<>();
    for (int i = from; i < to; i++) {
      if (alive.get(i)) {
        held.add(all.get(i).phase());
      }
    }
    return held;
  }
}
