package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The command line of the real program, run as a process. */
class MainTest {
  private record Result(int status, String out, String err) {}

  private Path createFolder;

  @BeforeEach
  void createFolder() throws IOException {
    createFolder = Files.createTempDirectory("brassbank");
  }

  @AfterEach
  void deleteFolder() throws IOException {
    try (var files = Files.list(createFolder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(createFolder);
  }

  private Result run(String config, String input, List<String> options, String... args)
      throws Exception {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-XX:TieredStopAtLevel=1");
    command.addAll(options);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "brassbank.Main"));
    command.addAll(List.of(args));
    Path in = Files.writeString(createFolder.resolve("in"), input);
    Path out = createFolder.resolve("out");
    Path err = createFolder.resolve("err");
    ProcessBuilder builder = new ProcessBuilder(command).redirectInput(in.toFile());
    builder.redirectOutput(out.toFile()).redirectError(err.toFile());
    builder.environment().put("LB_CONFIG", config);
    Process process = builder.start();
    if (!process.waitFor(Peer.LIMIT_MILLIS, TimeUnit.MILLISECONDS)) {
      process.destroyForcibly();
      throw new AssertionError("did not end in time: " + command);
    }
    return new Result(process.exitValue(), Files.readString(out), Files.readString(err));
  }

  private Result run(String... args) throws Exception {
    return run("", "", List.of(), args);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "serve", "drill", "generate-completion"})
  void printsHelpWithExitStatusesForEachCommand(String command) throws Exception {
    Result result = run((command + " --help").trim().split(" "));
    assertThat(result.status).isZero();
    assertThat(result.err).isEmpty();
    assertThat(result.out)
        .startsWith(("Usage: brassbank " + command).trim())
        .contains("Exit status:", "0   done", "1   it failed", "2   arguments");
    assertThat(run((command + " --version").trim().split(" ")).out).matches("brassbank \\d.*\\R");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "        | brassbank: a command is missing (see brassbank --help)",
        "sevre   | brassbank: no such command: 'sevre'; did you mean serve? (see brassbank --help)",
        "-x      | brassbank: Unknown option: '-x' (see brassbank --help)",
        "serve --log xml | brassbank serve: Invalid value for option '--log': expected one of"
            + " [TEXT, JSON] (case-insensitive) but was 'xml' (see brassbank serve --help)",
        "serve @x| brassbank serve: Unmatched argument at index 1: '@x' (see brassbank serve --help)"
      })
  void reportsAUsageErrorInOneLine(String args, String line) throws Exception {
    Result result = args == null ? run() : run(args.split(" "));
    assertThat(result).isEqualTo(new Result(2, "", line + System.lineSeparator()));
  }

  /** Bypassing picocli must not change a command; the argument {@code --} prevents the bypass. */
  @Test
  void serveAndDrillBehaveTheSameWithAndWithoutPicocli() throws Exception {
    for (String batch : List.of("BATCH wall=1 serial=1\nFLUSH\n", "nonsense\n")) {
      Result direct = run("", batch, List.of(), "drill");
      assertThat(direct.status).isEqualTo(batch.startsWith("BATCH") ? 0 : 1);
      assertThat(run("", batch, List.of(), "drill", "--")).isEqualTo(direct);
    }
    Result direct = run("/nowhere.json", "", List.of(), "serve");
    assertThat(direct.status).isEqualTo(2);
    assertThat(run("/nowhere.json", "", List.of(), "serve", "--")).isEqualTo(direct);
  }

  /** Loading picocli takes a third of the start-up time, see docs/command-line.md. */
  @Test
  void loadsNothingOfPicocliWhenStartedByThePlatform() throws Exception {
    try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      String text = Files.readString(Path.of("example/config.json"), StandardCharsets.UTF_8);
      Path config = createFolder.resolve("config.json");
      Files.writeString(config, text.replace(":7000", ":" + occupied.getLocalPort()));
      List<String> logClassLoading = List.of("-Xlog:class+load");
      Result direct = run(config.toString(), "", logClassLoading, "serve");
      Result viaPicocli = run(config.toString(), "", logClassLoading, "serve", "--");
      assertThat(direct.err)
          .isEqualTo(viaPicocli.err)
          .startsWith("brassbank: cannot serve on /127.0.0.1:" + occupied.getLocalPort())
          .hasLineCount(1);
      assertThat(List.of(direct.status, viaPicocli.status)).containsOnly(1);
      assertThat(viaPicocli.out).contains("picocli.CommandLine ");
      assertThat(direct.out)
          .contains("brassbank.proxy.Proxy ")
          .doesNotContain(" picocli.", " org.tomlj.", " org.antlr.", "brassbank.config.file.");
    }
  }

  @Test
  void printsACompletionScriptThatTheShellAccepts() throws Exception {
    Result result = run("generate-completion");
    assertThat(result.out).contains("serve", "drill");
    Path script = Files.writeString(createFolder.resolve("completion"), result.out);
    assertThat(new ProcessBuilder("bash", "-n", script.toString()).start().waitFor()).isZero();
  }
}
