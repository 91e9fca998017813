package ashspar.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that all nodes together stay within the budget of a cold server. */
class ColdShareTest {
  private static final double WINDOW = 1.5;
  private static final double SAFETY = 0.45;
  private static final double MULTIPLE = 4;
  private static final double WARM_UP = 24;
  private static final double LEAST = 0.12;

  /** The connections per second that keep the warm server full. */
  private static final double TURNOVER = 3;

  private static final ColdShare.RampUp WARMING =
      new ColdShare.RampUp(SAFETY * MULTIPLE * TURNOVER, LEAST, WARM_UP);

  private static double capacity(double age) {
    return TURNOVER * (LEAST + (1 - LEAST) * Math.min(1, age / WARM_UP));
  }

  /**
   * All nodes begin to send at the same time, after a quiet period in which private token buckets
   * would have filled up.
   */
  @Property(seed = "7", tries = 60)
  void nodesThatSendAtTheSameTimeStayWithinTheBudgetAndUseTheirShares(
      @ForAll @IntRange(min = 1, max = 20) int nodes, @ForAll @IntRange(max = 12) int quiet) {
    SplittableRandom random = new SplittableRandom(nodes * 100 + quiet);
    List<ColdShare> shares = new ArrayList<>();
    for (int rank = 0; rank < nodes; rank++) {
      shares.add(new ColdShare(rank + quiet, nodes));
    }
    List<Double> sent = new ArrayList<>();
    for (double age = 0; age < WARM_UP; age += 0.01) {
      boolean isBurst = age >= quiet;
      for (ColdShare share : shares) {
        if ((isBurst || random.nextInt(200) == 0) && share.hasSlot(WARMING, age, WINDOW)) {
          share.takeSlot(WARMING, age, 1);
          sent.add(age);
        }
      }
    }
    for (double from : sent) {
      long within = sent.stream().filter(at -> at >= from && at < from + WINDOW).count();
      assertThat((double) within)
          .as("sent within a window from %s s on", from)
          .isLessThanOrEqualTo(1 + MULTIPLE * capacity(from + WINDOW) * WINDOW);
    }
    double all = WARMING.slotsDue(WARM_UP) - WARMING.slotsDue(quiet);
    assertThat((double) sent.stream().filter(at -> at >= quiet).count())
        .as("no slots are lost to rounding")
        .isGreaterThan(0.9 * all - nodes);
  }

  /**
   * The operators' rule: beyond a budget of N calls, 2 root(N) + 2 calls are attributed to chance.
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 30, 100})
  void anyNumberOfNodesStaysWithinTheBudgetAndItsTolerance(int nodes) {
    for (int cost = 1; cost <= 2; cost++) {
      List<ColdShare> shares = new ArrayList<>();
      for (int rank = 0; rank < nodes; rank++) {
        shares.add(new ColdShare(rank + 5, nodes));
      }
      List<Double> sent = new ArrayList<>();
      for (double age = 0; age < WARM_UP; age += 0.01) {
        // The nodes pause and then all request every slot at once, as in a burst.
        boolean isBurst = age < 3 || age % 5 > 2;
        for (ColdShare share : shares) {
          if (isBurst && share.hasSlot(WARMING, age, WINDOW)) {
            share.takeSlot(WARMING, age, cost);
            sent.add(age);
          }
        }
      }
      assertThat(sent).isNotEmpty();
      for (double from : sent) {
        double budget = MULTIPLE * capacity(from + WINDOW) * WINDOW;
        long within = sent.stream().filter(at -> at >= from && at < from + WINDOW).count();
        assertThat((double) within)
            .as("%s nodes, cost %s, from %s s on", nodes, cost, from)
            .isLessThanOrEqualTo(0.9 * budget + 1)
            .isLessThanOrEqualTo(budget + 2 * Math.sqrt(budget) + 2);
      }
    }
  }

  @Property(seed = "8", tries = 50)
  void slotComesDueAtItsAge(@ForAll @IntRange(min = 1, max = 60) int place) {
    assertThat(WARMING.slotsDue(WARMING.ageWhenDue(place))).isCloseTo(place, within(1e-6));
  }

  @Property(seed = "9", tries = 20)
  void heavyConnectionIsPaidForWithFutureSlots(@ForAll @IntRange(min = 1, max = 6) int cost) {
    ColdShare share = new ColdShare(0, 2);
    int taken = 0;
    for (double age = 0; age < WARM_UP; age += 0.01) {
      if (share.hasSlot(WARMING, age, WINDOW)) {
        share.takeSlot(WARMING, age, cost);
        taken++;
      }
    }
    assertThat(taken * (double) cost).isCloseTo(WARMING.slotsDue(WARM_UP) / 2, within(cost + 2.0));
  }

  /** Planted fault: each of fourteen nodes claims the whole budget. */
  @Property(seed = "10", tries = 5)
  void budgetThatIsNotSharedExceedsTheLimit(@ForAll @IntRange(max = 4) int quiet) {
    List<ColdShare> shares = new ArrayList<>();
    for (int rank = 0; rank < 14; rank++) {
      shares.add(new ColdShare(rank, 1));
    }
    double from = 2 + quiet;
    int sent = 0;
    for (double age = from; age < from + WINDOW; age += 0.01) {
      for (ColdShare share : shares) {
        if (share.hasSlot(WARMING, age, WINDOW)) {
          share.takeSlot(WARMING, age, 1);
          sent++;
        }
      }
    }
    double most = 1 + MULTIPLE * capacity(from + WINDOW) * WINDOW;
    assertThat(sent / most).as("relative to the budget").isGreaterThan(1.5);
  }

  /**
   * Shares change at random times but never exceed the budget in total; every node uses all it can
   * get.
   */
  @Property(seed = "11", tries = 100)
  void changingSharesNeverUseMoreThanAllSlotsAndOnePerNode(
      @ForAll @IntRange(min = 2, max = 14) int nodes, @ForAll @IntRange(max = 1_000) int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ColdShare[] shares = new ColdShare[nodes];
    for (int i = 0; i < nodes; i++) {
      shares[i] = new ColdShare(i, nodes);
    }
    int taken = 0;
    for (double age = 0; age < WARM_UP; age += 0.02) {
      if (random.nextInt(20) == 0) {
        double[] demands = random.doubles(nodes, 0.05, 1).toArray();
        double sum = java.util.Arrays.stream(demands).sum();
        for (int i = 0; i < nodes; i++) {
          shares[i].changeSpacing(WARMING, age, sum / demands[i]);
        }
      }
      for (ColdShare share : shares) {
        if (share.hasSlot(WARMING, age, WINDOW)) {
          share.takeSlot(WARMING, age, 1);
          taken++;
        }
      }
      assertThat(taken).isLessThanOrEqualTo((int) WARMING.slotsDue(age) + nodes);
    }
    assertThat(taken)
        .as("no slots are lost to changes")
        .isGreaterThan((int) (0.9 * WARMING.slotsDue(WARM_UP)) - nodes);
  }
}
