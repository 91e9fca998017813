package brassbank.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LoadReportTest {
  @Test
  void returnsTheValuesInTheOrderOfTheSettings() {
    assertThat(LoadReport.parse("x1=2,new=7,x0=0.5", List.of("x0", "x1", "throughput")))
        .containsExactly(0.5, 2.0, Double.NaN);
  }

  /** A malformed value must not reach the weights of the decision module. */
  @ParameterizedTest
  @ValueSource(strings = {"x0", "=1", "x0=", "x0=NaN", "x0=Infinity", "x0=-1", "x0=1;x1=2"})
  void rejectsMalformedReports(String text) {
    assertThatThrownBy(() -> LoadReport.parse(text, List.of("x0")))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
