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
  private static final long END = KILL - DrainSchedule.KILL_MARGIN_MICROS;

  private final DrainSchedule schedule = DrainSchedule.beforeKill(START, KILL);

  /**
   * Returns when each client is moved, if none disconnects by itself and the step after {@code
   * delayedAt} comes late by {@code delay}.
   */
  private List<Long> times(int clients, long delayedAt, long delay) {
    List<Long> times = new ArrayList<>();
    long now = START;
    while (times.size() < clients) {
      DrainSchedule.Step step = schedule.step(now, clients - times.size());
      for (int i = 0; i < step.count(); i++) {
        times.add(now);
      }
      assertThat(step.nextMicros()).isGreaterThan(now);
      now =
          now <= delayedAt && step.nextMicros() > delayedAt
              ? step.nextMicros() + delay
              : step.nextMicros();
    }
    return times;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 5, 133, 134, 300, 500, 10_000})
  void movesAllClientsLateEvenlyAndInTime(int clients) {
    List<Long> times = times(clients, 0, 0);
    long window =
        Math.max(DrainSchedule.MIN_WINDOW_MICROS, clients * DrainSchedule.MICROS_PER_CLIENT);
    long begin = Math.max(START, END - window);
    assertThat(times.get(0)).isEqualTo(begin);
    assertThat(times.get(clients - 1)).isLessThanOrEqualTo(END);
    for (int i = 0; i < clients; i++) {
      long even = begin + (END - begin) * i / clients;
      assertThat(times.get(i)).as("client " + i).isBetween(even - 1_000, even + 1_000);
    }
  }

  @Test
  void catchesUpAfterAStallOfTheMachine() {
    List<Long> times = times(300, END - 700_000, 400_000);
    assertThat(times.get(299)).isLessThanOrEqualTo(END);
    // The missed moves follow at once, and the remaining ones at the planned times.
    long resumed = END - 300_000;
    assertThat(times.stream().filter(t -> t < resumed + 5_000).count()).isBetween(195L, 205L);
    assertThat(times.get(250)).isBetween(END - 155_000, END - 145_000);
  }

  /** When each step came a little late, the delays added up to a burst of moves at the end. */
  @Test
  void keepsItsPaceIfEachStepComesLate() {
    long now = END - 900_000;
    int left = 300;
    while (now < END - 450_000) {
      DrainSchedule.Step step = schedule.step(now, left);
      left -= step.count();
      now = step.nextMicros() + 2_500;
    }
    assertThat(left).isBetween(148, 153);
  }

  @Test
  void movesAllRemainingClientsAtOnceAtTheEnd() {
    assertThat(schedule.step(END, 40).count()).isEqualTo(40);
    assertThat(DrainSchedule.beforeKill(START, START + 300_000).step(START, 40).count())
        .isEqualTo(40);
  }

  @Test
  void asksARefusedClientToRetryOnceTheBalancerAvoidsThisProxy() {
    assertThat(schedule.retryDelayMicros(START)).isEqualTo(DrainSchedule.BALANCER_REACTION_MICROS);
    assertThat(schedule.retryDelayMicros(START + 350_000))
        .isEqualTo(DrainSchedule.MIN_RETRY_DELAY_MICROS);
  }
}
