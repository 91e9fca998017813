package brassbank.lab;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.sim.fault.Script;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Several real processes of the program and faults between them, under all rules. */
class LabIT {
  private static final Lab.Watcher NOBODY = (lab, now) -> {};

  static Stream<Path> scripts() throws IOException {
    try (Stream<Path> files = Files.list(Path.of("src/test/resources/lab"))) {
      return files.sorted().toList().stream();
    }
  }

  /** Plays it, and once more where the lab was late; a second time says nothing of the rules. */
  private static Lab.Outcome played(Path script) throws Exception {
    for (int play = 1; ; play++) {
      try (Lab lab = new Lab(Script.read(script), Path.of("").toAbsolutePath(), null)) {
        Lab.Outcome outcome = lab.play(NOBODY);
        if (!outcome.tooLate() || play == 2) {
          assertThat(outcome.tooLate())
              .as("void, twice: %s was %d us late", outcome.lateWho(), outcome.late())
              .isFalse();
          return outcome;
        }
      }
    }
  }

  @ParameterizedTest
  @MethodSource("scripts")
  void holdsAllRules(Path script) throws Exception {
    Lab.Outcome outcome = played(script);
    assertThat(outcome.breaches()).as("log: %s", List.copyOf(outcome.breachLog())).isEmpty();
    assertThat(outcome.tallies().values()).allMatch(count -> count.served > 0);
  }
}
