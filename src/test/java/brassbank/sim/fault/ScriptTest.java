package brassbank.sim.fault;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScriptTest {
  @Test
  void writtenScriptParsesToTheSamePlan() throws Exception {
    for (long seed = 1; seed <= 20; seed++) {
      Plan plan =
          Plan.drawn(seed, 60, 3, 12, 13)
              .with(IndexSet.parse(seed % 2 == 0 ? "0-12,57" : ""))
              .withSeconds(45);
      String text = Script.write(plan, "two\nlines");
      assertThat(text).startsWith("# two\n# lines\n");
      Plan read = Script.parse("x.toml", text);
      assertThat(read.faults()).isEqualTo(plan.faults());
      assertThat(Script.write(read, "two\nlines")).isEqualTo(text);
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "seed = x                         | day.toml:1:8: ",
        "sed = 1                          | day.toml:1:1: no such key: 'sed'; known are [clients,",
        "seconds = 0                      | day.toml:1:1: 'seconds' must be a whole number from 1",
        "rate = \"13\"                    | day.toml:1:1: 'rate' must be a number from 0.01",
        "clients = \"5-2\"                | day.toml:1:1: 'clients' is neither \"all\" nor a list",
        "fault = 1                        | day.toml:1:1: 'fault' must be written as [[fault]]",
        "[[fault]]                        | day.toml:1:1: a fault needs a 'kind'",
        "[[fault]]~kind = \"host-crsh\"   | day.toml:2:1: no such kind of fault: 'host-crsh'",
        "[[fault]]~kind = \"host-crash\"  | day.toml:1:1: host-crash needs a 'target'",
        "[[fault]]~kind = \"host-crash\"~target = \"s-13\" | day.toml:3:1: no such target: 's-13'",
        "[[fault]]~kind = \"burst\"~target = \"s-1\" | day.toml:3:1: burst takes no target",
        "[[fault]]~kind = \"burst\"~at_ms = 60001 | day.toml:3:1: 'at_ms' must be a whole number"
      })
  void errorNamesPositionAndCause(String text, String message) {
    assertThatThrownBy(() -> Script.parse("day.toml", text.replace("~", "\n")))
        .isInstanceOf(ScriptException.class)
        .hasMessageStartingWith(message);
  }
}
