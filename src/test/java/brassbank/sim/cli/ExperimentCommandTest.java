package brassbank.sim.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import brassbank.cli.Program;
import brassbank.sim.experiment.PairedDifference;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Runs the command on a small fleet scenario. */
class ExperimentCommandTest {
  private static final String SMALL =
      "experiment HERD --seeds 1-3 --proxies 3 --hosts 4 --rate 2 --seconds 40 --jobs 4 ";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  private int run(String arguments) {
    PrintStream usualOut = System.out;
    PrintStream usualErr = System.err;
    System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(out, true, StandardCharsets.UTF_8));
    try {
      return Program.run(List.of(new ExperimentCommand()), arguments.trim().split(" "));
    } finally {
      System.setOut(usualOut);
      System.setErr(usualErr);
    }
  }

  @Test
  void reportsDifferencesPairedBySeed() {
    assertThat(run(SMALL + "--vary off,membership --json")).isZero();
    JsonObject json =
        JsonParser.parseString(out.toString(StandardCharsets.UTF_8)).getAsJsonObject();
    JsonObject off = json.getAsJsonArray("variants").get(0).getAsJsonObject();
    JsonObject on = json.getAsJsonArray("variants").get(1).getAsJsonObject();
    double sum = 0;
    for (int i = 0; i < 3; i++) {
      sum +=
          on.getAsJsonObject("probes_host_s").getAsJsonArray("plays").get(i).getAsDouble()
              - off.getAsJsonObject("probes_host_s").getAsJsonArray("plays").get(i).getAsDouble();
    }
    assertThat(on.getAsJsonObject("probes_host_s").get("difference").getAsDouble())
        .isCloseTo(sum / 3, within(1e-9));
    assertThat(off.getAsJsonObject("served_pct").get("mean").getAsDouble()).isBetween(50.0, 100.0);
    assertThat(off.getAsJsonObject("probes_host_s").get("mean").getAsDouble()).isPositive();
    assertThat(off.getAsJsonObject("broken").get("mean").getAsDouble()).isZero();
  }

  @Test
  void writesEachRunAsCommaSeparatedValues() {
    assertThat(run(SMALL + "--vary off --csv")).isZero();
    List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
    assertThat(lines).hasSize(4);
    assertThat(lines.get(0)).startsWith("variant,seed,served_pct,");
    assertThat(lines.get(3)).startsWith("off 3x4,3,");
  }

  @Test
  void rejectsInvalidOptionsWithTheReason() {
    assertThat(run(SMALL + "--vary off,sharing")).isEqualTo(2);
    assertThat(run(SMALL + "--vary off,off")).isEqualTo(2);
    assertThat(out.toString(StandardCharsets.UTF_8))
        .contains("'sharing' is none of off, membership, shares", "twice the same variant");
  }

  /** Student (1908), table of additional hours of sleep: mean 1.58, t = 4.06 on nine degrees. */
  @Test
  void computesTheIntervalOfStudentsExample() {
    double[] first = {0.7, -1.6, -0.2, -1.2, -0.1, 3.4, 3.7, 0.8, 0.0, 2.0};
    double[] second = {1.9, 0.8, 1.1, 0.1, -0.1, 4.4, 5.5, 1.6, 4.6, 3.4};
    PairedDifference paired = PairedDifference.of(first, second);
    assertThat(paired.mean()).isCloseTo(1.58, within(1e-9));
    assertThat(paired.halfWidth()).isCloseTo(0.88, within(0.005));
    assertThat(paired.isSignificant()).isTrue();
  }
}
