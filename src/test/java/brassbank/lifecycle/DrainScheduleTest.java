package brassbank.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DrainScheduleTest {
  private static final long START = 5_000_000;
  private static final long KILL = START + 3_700_000;
  private static final long END = KILL - DrainSchedule.END_MARGIN;

  private final DrainSchedule plan = DrainSchedule.beforeKill(START, KILL);

  /** When each of so many clients goes, if none leaves and the caller is held up at {@code at}. */
  private List<Long> times(int clients, long at, long heldUp) {
    List<Long> times = new ArrayList<>();
    long now = START;
    while (times.size() < clients) {
      DrainSchedule.Step step = plan.step(now, clients - times.size());
      for (int i = 0; i < step.count(); i++) {
        times.add(now);
      }
      assertThat(step.next()).isGreaterThan(now);
      now = now <= at && step.next() > at ? step.next() + heldUp : step.next();
    }
    return times;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 5, 133, 134, 300, 500, 10_000})
  void sendsAllAwayLateEvenlyAndInTime(int clients) {
    List<Long> times = times(clients, 0, 0);
    long window = Math.max(DrainSchedule.LEAST_WINDOW, clients * DrainSchedule.PER_CLIENT);
    long begin = Math.max(START, END - window);
    assertThat(times.get(0)).isEqualTo(begin);
    assertThat(times.get(clients - 1)).isLessThanOrEqualTo(END);
    for (int i = 0; i < clients; i++) {
      long even = begin + (END - begin) * i / clients;
      assertThat(times.get(i)).as("client " + i).isBetween(even - 1_000, even + 1_000);
    }
  }

  @Test
  void catchesUpAfterTheMachineStoodStill() {
    List<Long> times = times(300, END - 700_000, 400_000);
    assertThat(times.get(299)).isLessThanOrEqualTo(END);
    // What was missed goes at once, and the rest as if nothing had been.
    long back = END - 300_000;
    assertThat(times.stream().filter(t -> t < back + 5_000).count()).isBetween(195L, 205L);
    assertThat(times.get(250)).isBetween(END - 155_000, END - 145_000);
  }

  /** Each timer comes a little late: the clients that were left over went in one burst. */
  @Test
  void keepsItsPaceThoughEachStepComesLate() {
    long now = END - 900_000;
    int left = 300;
    while (now < END - 450_000) {
      DrainSchedule.Step step = plan.step(now, left);
      left -= step.count();
      now = step.next() + 2_500;
    }
    assertThat(left).isBetween(148, 153);
  }

  @Test
  void sendsWhoeverIsLeftAtTheEndAwayAtOnce() {
    assertThat(plan.step(END, 40).count()).isEqualTo(40);
    assertThat(DrainSchedule.beforeKill(START, START + 300_000).step(START, 40).count())
        .isEqualTo(40);
  }

  @Test
  void asksARefusedClientToComeOnceTheFrontSendsItElsewhere() {
    assertThat(plan.comeBackAfter(START)).isEqualTo(DrainSchedule.STILL_COMING);
    assertThat(plan.comeBackAfter(START + 350_000)).isEqualTo(DrainSchedule.LEAST_RETRY);
  }
}
