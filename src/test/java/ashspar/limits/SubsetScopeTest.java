package ashspar.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Tests the scope of a node with twenty servers: the first four are its subset, the first ten its
 * zone.
 */
class SubsetScopeTest {
  private static final long SECOND = 1_000_000;
  private static final List<Integer> ALL = IntStream.range(0, 20).boxed().toList();

  private final SubsetScope scope = new SubsetScope();

  private SubsetScope.Extent adjust(long second, int firstAvailable) {
    scope.adjust(second * SECOND, ALL, s -> s < 4, s -> s < 10, s -> s >= firstAvailable);
    return scope.extent();
  }

  @Test
  void widensStepByStepAndNarrowsAfterTheShortageHasEnded() {
    assertThat(adjust(1, 0)).isEqualTo(SubsetScope.Extent.OWN);
    assertThat(adjust(2, 3))
        .as("only one server of the subset is available")
        .isEqualTo(SubsetScope.Extent.ZONE);
    assertThat(adjust(3, 3))
        .as("the zone has enough available servers")
        .isEqualTo(SubsetScope.Extent.ZONE);
    assertThat(adjust(4, 10))
        .as("no server of the zone is available")
        .isEqualTo(SubsetScope.Extent.ALL);
    assertThat(adjust(20, 10)).isEqualTo(SubsetScope.Extent.ALL);
    assertThat(adjust(23, 0))
        .as("the scope is not narrowed at once")
        .isEqualTo(SubsetScope.Extent.ALL);
    assertThat(adjust(24, 0)).isEqualTo(SubsetScope.Extent.ZONE);
    assertThat(adjust(27, 0)).isEqualTo(SubsetScope.Extent.ZONE);
    assertThat(adjust(28, 0)).isEqualTo(SubsetScope.Extent.OWN);
  }

  @Test
  void widensAtOnceForARequestThatFoundNoCapacity() {
    scope.recordNoCapacity(SECOND, 0);
    assertThat(scope.extent()).isEqualTo(SubsetScope.Extent.ZONE);
    scope.recordNoCapacity(SECOND, 0);
    assertThat(scope.extent())
        .as("the zone has not been tried yet")
        .isEqualTo(SubsetScope.Extent.ZONE);
    scope.recordNoCapacity(SECOND, 1);
    assertThat(scope.extent()).isEqualTo(SubsetScope.Extent.ALL);
    assertThat(scope.covers(false)).isTrue();
    scope.recordNoCapacity(SECOND, SubsetScope.LAST_TIER);
    assertThat(scope.extent()).isEqualTo(SubsetScope.Extent.ALL);
  }

  @Test
  void triesTheSubsetThenTheZoneThenOtherZonesAndUnresponsiveServersLast() {
    assertThat(SubsetScope.tierOf(true, true, false)).isEqualTo(0);
    assertThat(SubsetScope.tierOf(false, true, true)).isEqualTo(1);
    assertThat(SubsetScope.tierOf(true, false, true)).isEqualTo(2);
    assertThat(SubsetScope.tierOf(false, false, true)).isEqualTo(2);
    assertThat(SubsetScope.tierOf(false, true, false)).isEqualTo(SubsetScope.LAST_TIER);
  }
}
