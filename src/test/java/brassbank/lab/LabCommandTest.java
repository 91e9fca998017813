package brassbank.lab;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.cli.Program;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Scripts and options that cannot be played are rejected before any process starts. */
class LabCommandTest {
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int lab(String options) {
    PrintStream previous = System.err;
    System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
    try {
      return Program.run(List.of(new LabCommand()), ("lab " + options).split(" "));
    } finally {
      System.setErr(previous);
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "--night NOON | 'NOON'",
        "--proxies 65 | --proxies must be from 1 to 64",
        "--seconds 10 | --seconds must be 40 or more",
        "src/test/resources/lab/one-is-killed.toml --night ZONE | no --night with it",
        "src/test/resources/lab/one-is-killed.toml --hosts 3 | a script says itself",
        "src/test/resources/pinned/wall-clock-put-forward.toml | clock-step cannot be played"
      })
  void rejectsInvalidOptionsWithTheirReason(String options, String message) {
    assertThat(lab(options)).isEqualTo(2);
    assertThat(err.toString(StandardCharsets.UTF_8)).contains(message);
  }

  @Test
  void reportsFileAndPositionOfAnInvalidLink() throws Exception {
    Path script = Files.createTempFile("brassbank", ".toml");
    Files.writeString(script, "[[fault]]\nkind = \"link-cut\"\ntarget = \"n0 to s-1\"\n");
    assertThat(lab(script.toString())).isEqualTo(2);
    assertThat(err.toString(StandardCharsets.UTF_8))
        .contains(script + ":3:1: no links: 'n0 to s-1'");
    Files.delete(script);
  }
}
