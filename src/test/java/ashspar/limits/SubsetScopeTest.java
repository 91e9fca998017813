package ashspar.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Twenty servers: the first four its own, the first ten of its zone. */
class SubsetScopeTest {
  private static final long SECOND = 1_000_000;
  private static final List<Integer> ALL = IntStream.range(0, 20).boxed().toList();

  private final SubsetScope reach = new SubsetScope();

  private SubsetScope.Extent look(long second, int takeFrom) {
    reach.adjust(second * SECOND, ALL, s -> s < 4, s -> s < 10, s -> s >= takeFrom);
    return reach.extent();
  }

  @Test
  void widensStepByStepAndEndsWithWhatWasMissing() {
    assertThat(look(1, 0)).isEqualTo(SubsetScope.Extent.OWN);
    assertThat(look(2, 3)).as("one of its own takes more").isEqualTo(SubsetScope.Extent.ZONE);
    assertThat(look(3, 3)).as("the zone has enough").isEqualTo(SubsetScope.Extent.ZONE);
    assertThat(look(4, 10)).as("its zone is lost").isEqualTo(SubsetScope.Extent.ALL);
    assertThat(look(20, 10)).isEqualTo(SubsetScope.Extent.ALL);
    assertThat(look(23, 0)).as("not at once").isEqualTo(SubsetScope.Extent.ALL);
    assertThat(look(24, 0)).isEqualTo(SubsetScope.Extent.ZONE);
    assertThat(look(27, 0)).isEqualTo(SubsetScope.Extent.ZONE);
    assertThat(look(28, 0)).isEqualTo(SubsetScope.Extent.OWN);
  }

  @Test
  void widensAtOnceForARequestThatFoundNoRoom() {
    reach.recordNoCapacity(SECOND, 0);
    assertThat(reach.extent()).isEqualTo(SubsetScope.Extent.ZONE);
    reach.recordNoCapacity(SECOND, 0);
    assertThat(reach.extent()).as("the zone was not tried").isEqualTo(SubsetScope.Extent.ZONE);
    reach.recordNoCapacity(SECOND, 1);
    assertThat(reach.extent()).isEqualTo(SubsetScope.Extent.ALL);
    assertThat(reach.covers(false)).isTrue();
    reach.recordNoCapacity(SECOND, SubsetScope.LAST_TIER);
    assertThat(reach.extent()).isEqualTo(SubsetScope.Extent.ALL);
  }

  @Test
  void triesItsOwnThenWhatAnswersNearThenOthersAndTheUnknownLast() {
    assertThat(SubsetScope.tierOf(true, true, false)).isEqualTo(0);
    assertThat(SubsetScope.tierOf(false, true, true)).isEqualTo(1);
    assertThat(SubsetScope.tierOf(true, false, true)).isEqualTo(2);
    assertThat(SubsetScope.tierOf(false, false, true)).isEqualTo(2);
    assertThat(SubsetScope.tierOf(false, true, false)).isEqualTo(SubsetScope.LAST_TIER);
  }
}
