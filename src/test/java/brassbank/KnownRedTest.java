package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The CI script with a made-up list of tests that are known to fail, and a made-up Maven. */
class KnownRedTest {
  private static final String FIELDS = " | mvn -B verify | none | saw it | issue 1\n";

  /** Writes its arguments down, and answers as Maven does for tests of these names. */
  private static final String MAVEN_SCRIPT =
      """
      #!/bin/sh
      echo "mvn $*"
      case "$*" in
        *" verify") exit "${VERIFY_STATUS:-0}" ;;
        *#fails*) echo "[ERROR] Tests run: 1, Failures: 1"; exit 1 ;;
        *MissingTest#*) echo "[ERROR] No tests matching pattern"; exit 1 ;;
        *#isMissing*) echo "[INFO] Tests run: 0, Failures: 0"; exit 0 ;;
        *#doesNotRun*) echo "[ERROR] no compiler"; exit 1 ;;
      esac
      echo "[INFO] Tests run: 1, Failures: 0"
      """;

  private record Run(int status, List<String> lines) {}

  @TempDir private Path folder;

  @BeforeEach
  void copyScripts() throws IOException {
    Files.createDirectories(folder.resolve(".ci"));
    for (String script : List.of("run", "known-red.sh")) {
      Path copy = folder.resolve(".ci").resolve(script);
      Files.copy(Path.of(".ci", script), copy, StandardCopyOption.REPLACE_EXISTING);
    }
    Path maven = Files.createDirectories(folder.resolve("bin")).resolve("mvn");
    Files.writeString(maven, MAVEN_SCRIPT);
    Files.setPosixFilePermissions(maven, PosixFilePermissions.fromString("rwx------"));
  }

  private Run run(String list, int verifyStatus) throws IOException, InterruptedException {
    Files.writeString(folder.resolve("KNOWN-RED.txt"), list);
    Path output = folder.resolve("output.txt");
    ProcessBuilder builder = new ProcessBuilder("bash", folder.resolve(".ci/run").toString());
    String path = folder.resolve("bin") + ":" + builder.environment().get("PATH");
    builder.environment().put("PATH", path);
    builder.environment().put("VERIFY_STATUS", String.valueOf(verifyStatus));
    Process process = builder.redirectErrorStream(true).redirectOutput(output.toFile()).start();
    assertThat(process.waitFor(Peer.LIMIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    return new Run(process.exitValue(), Files.readAllLines(output));
  }

  @Test
  void runsEveryTestWhenNoneIsListed() throws Exception {
    assertThat(run("", 0)).isEqualTo(new Run(0, List.of("mvn -B verify")));
    assertThat(run("", 1).status()).isEqualTo(1);
  }

  @Test
  void passesOverExactlyTheListedTestsAndPrintsThemWithTheirCause() throws Exception {
    Run run = run("# comment\n\na.bTest#fails" + FIELDS + "a.cIT#fails" + FIELDS, 0);
    assertThat(run.lines())
        .containsExactly(
            "mvn -B -Dtest=*Test,!a.bTest#fails -Dit.test=*IT,!a.cIT#fails verify",
            "KNOWN-RED: a.bTest#fails fails as listed: saw it (issue 1)",
            "KNOWN-RED: a.cIT#fails fails as listed: saw it (issue 1)");
    assertThat(run.status()).isZero();
  }

  @Test
  void failsWhenATestThatIsNotListedFails() throws Exception {
    assertThat(run("a.bTest#fails" + FIELDS, 1).status()).isEqualTo(1);
  }

  @Test
  void reportsAListedTestThatPasses() throws Exception {
    Run run = run("a.bTest#holds" + FIELDS, 0);
    assertThat(run.lines()).last().asString().startsWith("KNOWN-RED: a.bTest#holds passes now");
    assertThat(run.status()).isZero();
  }

  @Test
  void failsForAListedTestThatDoesNotExistOrCannotBeRun() throws Exception {
    for (String test : List.of("a.bTest#isMissing", "a.MissingTest#holds")) {
      Run missing = run(test + FIELDS, 0);
      assertThat(missing.lines()).last().asString().contains(test + " does not exist");
      assertThat(missing.status()).isEqualTo(1);
    }
    assertThat(run("a.bTest#doesNotRun" + FIELDS, 0).status()).isEqualTo(1);
  }

  @Test
  void printsACaseOfTheReviewAndRunsNothingForIt() throws Exception {
    assertThat(run("review/1" + FIELDS, 0))
        .isEqualTo(
            new Run(
                0,
                List.of("KNOWN-RED: review/1, not run here: saw it (issue 1)", "mvn -B verify")));
  }

  @Test
  void failsForAMalformedEntry() throws Exception {
    assertThat(run("a.bTest#fails | mvn -B verify\n", 0).status()).isEqualTo(1);
    assertThat(run("a.bTest" + FIELDS, 0).status()).isEqualTo(1);
  }
}
