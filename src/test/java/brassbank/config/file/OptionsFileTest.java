package brassbank.config.file;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.membership.MembershipConfig;
import brassbank.relay.limits.RelayLimits;
import brassbank.relay.limits.SideLimits;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class OptionsFileTest {
  private static List<String> problems(String text) {
    OptionsFile.Result result = OptionsFile.parse("x.toml", text);
    assertThat(result.options()).isEmpty();
    return result.problems().stream().map(Problem::toString).toList();
  }

  @Test
  void readsQuantitiesWithUnitsAndUsesDefaultsForTheOtherKeys() {
    RelayLimits relay =
        OptionsFile.parse(
                "x.toml",
                """
                [relay]
                turn = "32 KiB"
                budget = "1GiB"
                practice."two words".budget = "20 MiB"
                [relay.client]
                window = "500 ms"
                rate = "0 B/s"
                farewell = "1 min"
                """)
            .options()
            .orElseThrow()
            .relay();
    assertThat(relay.readQuotaBytes()).isEqualTo(32 * 1024);
    assertThat(relay.budgetBytes()).isEqualTo(1 << 30);
    assertThat(relay.practiceBudgets()).isEqualTo(Map.of("two words", 20L << 20));
    assertThat(relay.finalLineTimeoutMicros()).isEqualTo(60_000_000);
    assertThat(relay.client())
        .isEqualTo(new SideLimits(64 * 1024, 32 * 1024, 60_000_000, 0, 500_000, 30_000_000));
    assertThat(relay.target().minBytesPerSecond()).isEqualTo(2048);
  }

  @Test
  void readsMembershipAndReportsItsProblems() {
    MembershipConfig membership =
        OptionsFile.parse(
                "x.toml",
                """
                [membership]
                fleet = "leith"
                listen = "0.0.0.0:7075"
                advertise = "[::1]:7075"
                seeds = ["10.0.0.1:7075", "10.0.0.2:7076"]
                suspicion = "3 s"
                """)
            .options()
            .orElseThrow()
            .membership();
    assertThat(membership.seeds()).hasSize(2);
    assertThat(membership.settings().minSuspicionMicros()).isEqualTo(3_000_000);
    assertThat(membership.withDefaultAddress(null).advertised().getPort()).isEqualTo(7075);
    assertThat(OptionsFile.parse("x.toml", "").options().orElseThrow().membership()).isNull();
    assertThat(
            problems(
                """
                [membership]
                listen = "host:7075"
                advertise = "10.0.0.1:0"
                seeds = "10.0.0.1:7075"
                forget = "1 s"
                """))
        .hasSize(4);
    assertThat(problems("[membership]\nseeds = []\n"))
        .containsExactly(
            "x.toml:2: membership.fleet is missing, without which there is no membership");
    assertThat(problems("[membership]\nfleet = \"x\"\nadvertise = \"0.0.0.0:1\"\n"))
        .containsExactly("x.toml:3: membership.advertise must be one machine's address");
  }

  @Test
  void reportsAllProblemsAtOnceWithTheirLines() {
    assertThat(
            problems(
                """
                turn = "64 KiB"
                [relay]
                turm = "64 KiB"
                budget = 65536
                [relay.client]
                waiting = "3 B"
                window = "1 day"
                age = true
                [relays.target]
                rate = "1 KiB/s"
                """))
        .containsExactly(
            "x.toml:1: there is no key turn",
            "x.toml:3: there is no key relay.turm; did you mean relay.turn?",
            "x.toml:4: relay.budget must be a size such as \"64 KiB\" (B, KiB, MiB, GiB)",
            "x.toml:6: relay.client.waiting must be from \"4 KiB\" to \"16 MiB\", not \"3 B\"",
            "x.toml:7: relay.client.window must be a time such as \"10 s\" (ms, s, min, h)",
            "x.toml:8: relay.client.age must be a time such as \"10 s\" (ms, s, min, h)",
            "x.toml:9: there is no key relays");
  }

  @Test
  void reportsValuesThatContradictEachOther() {
    assertThat(problems("[relay]\nbudget = \"1 MiB\"\n"))
        .containsExactly("x.toml:2: relay.practice-budget must not be above relay.budget");
    assertThat(problems("[relay]\npractice-budget = \"1 MiB\"\nclient.waiting = \"2 MiB\""))
        .containsExactly(
            "x.toml:3: relay.client.waiting and relay.turn together must not be above"
                + " relay.practice-budget");
    assertThat(problems("[relay]\nturn = \"1 MiB\"\npractice.a.budget = \"1 MiB\""))
        .containsExactly(
            "x.toml:2: relay.client.waiting and relay.turn together must not be above the budget"
                + " of a",
            "x.toml:2: relay.target.waiting and relay.turn together must not be above the budget"
                + " of a");
    assertThat(problems("[relay.target]\nrate = \"1 KiB/s\"\nwindow = \"31 s\"\n"))
        .containsExactly(
            "x.toml:3: relay.target.rate over relay.target.window must come to"
                + " relay.target.kernel-buffer or more");
  }

  @Test
  void reportsTheLinesOfSyntaxErrors() {
    assertThat(problems("[relay]\nturn = \nbudget = 1 MiB\nx = 3\nclient.age = \"1 s"))
        .extracting(problem -> problem.replaceAll("(x.toml:\\d: ).*", "$1"))
        .containsExactly("x.toml:2: ", "x.toml:3: ", "x.toml:4: ", "x.toml:5: ");
    assertThat(problems("[relay]\nturn = \"9 KiB\"\nturn = \"8 KiB\"\n"))
        .containsExactly("x.toml:3: turn previously defined at line 2, column 1");
    assertThat(problems("relay = 3")).containsExactly("x.toml:1: relay is a table, not a value");
  }

  @Test
  void reportsAFileThatCannotBeRead() {
    assertThat(OptionsFile.read(Path.of("none.toml")).problems())
        .containsExactly(new Problem("none.toml", 0, "no such file"));
    assertThat(OptionsFile.read(Path.of("target")).problems()).hasSize(1);
  }

  @Test
  void theExampleInDeployContainsTheDefaultsOfAllKeys() {
    Path example = Path.of("deploy/brassbank.toml");
    assertThat(OptionsFile.read(example).options())
        .isEqualTo(OptionsFile.parse("empty", "").options());
    assertThat(OptionsFile.read(example).problems()).isEmpty();
  }

  @Test
  void theReferencePageEqualsTheOneGeneratedFromTheDeclarations() throws Exception {
    assertThat(Files.readString(Path.of("docs/configuration.md"))).isEqualTo(Reference.markdown());
  }
}
