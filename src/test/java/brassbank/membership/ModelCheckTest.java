package brassbank.membership;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.membership.ModelCheck.PlantedBug;
import brassbank.membership.ModelCheck.SearchResult;
import java.util.Comparator;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** A shallow search; docs/membership.md describes the deep one and what it cannot find. */
class ModelCheckTest {
  private static Message map(Message message, UnaryOperator<Update> change) {
    return new Message(
        message.kind(),
        message.sequence(),
        change.apply(message.sender()),
        message.digest(),
        message.target(),
        message.updates().stream().map(change).toList());
  }

  private static Update withState(Update update, Incarnation incarnation, State state) {
    return new Update(
        update.name(),
        update.address(),
        update.zone(),
        incarnation,
        state,
        update.activity(),
        update.ageSeconds(),
        update.reportedBy());
  }

  private static SearchResult search(PlantedBug bug, int depth) {
    return new ModelCheck(bug, depth, 2).search();
  }

  /** Message loss alone leads to these violations; without faults the search can go deeper. */
  private static SearchResult withoutFaults(PlantedBug bug, int depth) {
    return new ModelCheck(bug, depth, 0).search();
  }

  @Test
  void invariantsHoldInEveryReachableState() {
    SearchResult result = search(PlantedBug.NONE, 5);
    assertThat(result.violation()).as("%s", result.trace()).isNull();
    assertThat(result.states()).isGreaterThan(3_000);
  }

  @Test
  void detectsRefutationWithoutNewIncarnation() {
    // Incarnations are compared by start time only, so that a refutation supersedes nothing.
    PlantedBug bug =
        new PlantedBug(
            ModelCheck.FAST,
            Comparator.comparingLong(Incarnation::startTime),
            Function.identity(),
            Function.identity());
    assertThat(search(bug, 7).violation()).contains("does not refute");
  }

  @Test
  void detectsAcceptedStaleIncarnation() {
    PlantedBug bug =
        new PlantedBug(
            ModelCheck.FAST,
            (received, known) -> received.equals(known) ? 0 : 1,
            Function.identity(),
            Function.identity());
    assertThat(search(bug, 7).violation()).contains("old incarnation");
  }

  @Test
  void detectsLeaveTreatedAsDeath() {
    PlantedBug bug =
        new PlantedBug(
            ModelCheck.FAST,
            Incarnation::compareTo,
            Function.identity(),
            message ->
                map(
                    message,
                    update ->
                        update.state() == State.LEFT
                            ? withState(update, update.incarnation(), State.DEAD)
                            : update));
    assertThat(search(bug, 7).violation()).contains("treats the leave");
  }

  @Test
  void detectsSuspicionWithoutTimeout() {
    Settings endlessSuspicion = ModelCheck.FAST.withMinSuspicion(1_000 * Settings.TICK_MICROS);
    PlantedBug bug =
        new PlantedBug(
            endlessSuspicion, Incarnation::compareTo, Function.identity(), Function.identity());
    assertThat(withoutFaults(bug, 9).violation()).contains("for more than");
  }

  @Test
  void detectsTombstoneExpiredTooEarly() {
    Settings shortRetention = ModelCheck.FAST.withTombstoneRetention(Settings.TICK_MICROS);
    PlantedBug bug =
        new PlantedBug(
            shortRetention, Incarnation::compareTo, Function.identity(), Function.identity());
    assertThat(withoutFaults(bug, 9).violation()).contains("before the retention time");
  }
}
