package brassbank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;
import picocli.CommandLine.Command;

class ProgramTest {
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  @Command(name = "try", description = "Run the callable of the test.")
  private record TestCommand(Callable<Integer> body) implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
      return body.call();
    }
  }

  private int run(Callable<Integer> body, String... args) {
    CommandLine commandLine = Program.commandLine(List.of(new TestCommand(body)));
    return commandLine.setOut(new PrintWriter(out)).setErr(new PrintWriter(err)).execute(args);
  }

  @Test
  void returnsTheStatusOfTheCommandWithoutOutput() {
    assertThat(run(() -> ExitStatus.FAILED, "try")).isEqualTo(ExitStatus.FAILED);
    assertThat(out + "" + err).isEmpty();
  }

  @Test
  void reportsAUsageErrorInOneLine() {
    Callable<Integer> body =
        () -> {
          throw new UsageException("day.toml:3: no such\nfault: 'x\u0007'");
        };
    assertThat(run(body, "try")).isEqualTo(ExitStatus.USAGE);
    assertThat(err.toString())
        .isEqualTo("brassbank try: day.toml:3: no such fault: 'x?' (see brassbank try --help)\n");
  }

  @Test
  void reportsAMissingFile() {
    assertThat(run(() -> Files.readString(Path.of("none.toml")).length(), "try"))
        .isEqualTo(ExitStatus.FAILED);
    assertThat(err.toString()).isEqualTo("brassbank try: none.toml: no such file\n");
  }

  @Test
  void printsTheStackTraceOfARuntimeException() {
    assertThat(run(() -> Integer.parseInt("x"), "try")).isEqualTo(ExitStatus.FAILED);
    assertThat(err.toString())
        .startsWith("brassbank try: java.lang.NumberFormatException")
        .contains("\tat ");
  }
}
