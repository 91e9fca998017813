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

/** What all nodes together send a cold server, against the rule that it must not fall over. */
class ColdShareTest {
  private static final double WINDOW = 1.5;
  private static final double SAFETY = 0.45;
  private static final double MULTIPLE = 4;
  private static final double WARM_UP = 24;
  private static final double LEAST = 0.12;

  /** Connections a second that keep the warm server full. */
  private static final double TURNOVER = 3;

  private static final ColdShare.RampUp WARMING =
      new ColdShare.RampUp(SAFETY * MULTIPLE * TURNOVER, LEAST, WARM_UP);

  private static double capacity(double age) {
    return TURNOVER * (LEAST + (1 - LEAST) * Math.min(1, age / WARM_UP));
  }

  /** The storm comes after a while in which all have saved up what a private bucket would hold. */
  @Property(seed = "7", tries = 60)
  void nodesThatAllWantToSendAtOnceStayWithinTheRuleAndUseTheirShares(
      @ForAll @IntRange(min = 1, max = 20) int nodes, @ForAll @IntRange(max = 12) int quiet) {
    SplittableRandom random = new SplittableRandom(nodes * 100 + quiet);
    List<ColdShare> shares = new ArrayList<>();
    for (int rank = 0; rank < nodes; rank++) {
      shares.add(new ColdShare(rank + quiet, nodes));
    }
    List<Double> sent = new ArrayList<>();
    for (double age = 0; age < WARM_UP; age += 0.01) {
      boolean storm = age >= quiet;
      for (ColdShare share : shares) {
        if ((storm || random.nextInt(200) == 0) && share.hasSlot(WARMING, age, WINDOW)) {
          share.takeSlot(WARMING, age, 1);
          sent.add(age);
        }
      }
    }
    for (double from : sent) {
      long within = sent.stream().filter(at -> at >= from && at < from + WINDOW).count();
      assertThat((double) within)
          .as("sent from %s s on", from)
          .isLessThanOrEqualTo(1 + MULTIPLE * capacity(from + WINDOW) * WINDOW);
    }
    double all = WARMING.slotsDue(WARM_UP) - WARMING.slotsDue(quiet);
    assertThat((double) sent.stream().filter(at -> at >= quiet).count())
        .as("no share is lost to a remainder")
        .isGreaterThan(0.9 * all - nodes);
  }

  /** The operators' rule: beyond a budget of N calls, 2 root(N) + 2 are put down to chance. */
  @ParameterizedTest
  @ValueSource(ints = {3, 30, 100})
  void whateverTheirNumberAllNodesTogetherStayWithinBudgetAndChance(int nodes) {
    for (int cost = 1; cost <= 2; cost++) {
      List<ColdShare> shares = new ArrayList<>();
      for (int rank = 0; rank < nodes; rank++) {
        shares.add(new ColdShare(rank + 5, nodes));
      }
      List<Double> sent = new ArrayList<>();
      for (double age = 0; age < WARM_UP; age += 0.01) {
        // They rest for a while and then all want every place at once, as under a burst.
        boolean storm = age < 3 || age % 5 > 2;
        for (ColdShare share : shares) {
          if (storm && share.hasSlot(WARMING, age, WINDOW)) {
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
  void aPlaceComesUpAtTheAgeThatItIsReachedBy(@ForAll @IntRange(min = 1, max = 60) int place) {
    assertThat(WARMING.slotsDue(WARMING.ageWhenDue(place))).isCloseTo(place, within(1e-6));
  }

  @Property(seed = "9", tries = 20)
  void aHeavyConnectionIsPaidWithPlacesToCome(@ForAll @IntRange(min = 1, max = 6) int cost) {
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

  /** The planted fault: each of fourteen nodes takes the whole budget for its own. */
  @Property(seed = "10", tries = 5)
  void aBudgetThatIsNotSharedIsCaught(@ForAll @IntRange(max = 4) int quiet) {
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
    assertThat(sent / most).as("against what the rule allows").isGreaterThan(1.5);
  }

  /**
   * Parts that change at any time, never more than the budget in sum; all want all that is there.
   */
  @Property(seed = "11", tries = 100)
  void howeverPartsChangeAllTogetherTakeNoMoreThanThePlacesAndOneEach(
      @ForAll @IntRange(min = 2, max = 14) int nodes, @ForAll @IntRange(max = 1_000) int weather) {
    SplittableRandom random = new SplittableRandom(weather);
    ColdShare[] shares = new ColdShare[nodes];
    for (int i = 0; i < nodes; i++) {
      shares[i] = new ColdShare(i, nodes);
    }
    int taken = 0;
    for (double age = 0; age < WARM_UP; age += 0.02) {
      if (random.nextInt(20) == 0) {
        double[] wants = random.doubles(nodes, 0.05, 1).toArray();
        double sum = java.util.Arrays.stream(wants).sum();
        for (int i = 0; i < nodes; i++) {
          shares[i].changeSpacing(WARMING, age, sum / wants[i]);
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
        .as("no place is lost to changes")
        .isGreaterThan((int) (0.9 * WARMING.slotsDue(WARM_UP)) - nodes);
  }
}
