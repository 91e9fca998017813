package brassbank.lab;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One process of a proxy, started with {@code deploy/serve.sh} as the platform does. */
final class ProxyProcess {
  private static final String RESIDENT_FIELD = "VmRSS:";
  private static final String PEAK_RESIDENT_FIELD = "VmHWM:";

  /**
   * The shell waits for a line, which the lab writes once the watchdog tracks the process, and then
   * becomes the program; it ends if the lab ends before that.
   */
  private static final String GATED_SCRIPT =
      "read -r go && exec sh deploy/serve.sh \"$@\" </dev/null";

  /** Starts at once: standard input is the inherited socket. */
  private static final String INHERITING_SCRIPT = "exec sh deploy/serve.sh \"$@\"";

  private final int number;
  private final Process process;
  private final Path log;
  private boolean exitExpected;

  private ProxyProcess(int number, Process process, Path log) {
    this.number = number;
    this.process = process;
    this.log = log;
  }

  /**
   * Starts a process; may block.
   *
   * @param number the number of this process among those of its proxy, from 1
   * @param root the project's folder, the working directory of the process
   * @param log the file to which the process logs
   * @param variables additions to its environment
   * @param arguments the arguments of {@code brassbank serve}
   * @param listener the socket to inherit, or null
   * @param watchdog tracks the process from its start
   */
  static ProxyProcess start(
      int number,
      Path root,
      Path log,
      Map<String, String> variables,
      List<String> arguments,
      InheritedListener listener,
      Watchdog watchdog)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.addAll(List.of("sh", "-c", listener == null ? GATED_SCRIPT : INHERITING_SCRIPT, "sh"));
    command.addAll(arguments);
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.environment().keySet().removeIf(name -> name.startsWith("LB_"));
    builder.environment().remove("BRASSBANK_LOG");
    builder.environment().putAll(variables);
    if (listener != null) {
      builder.environment().put("LB_LISTEN_FD", "0");
      builder.redirectInput(listener.redirect());
    }
    Process process = builder.start();
    watchdog.track(process.pid());
    if (listener == null) {
      process.getOutputStream().write('\n');
      process.getOutputStream().close();
    }
    return new ProxyProcess(number, process, log);
  }

  int number() {
    return number;
  }

  long pid() {
    return process.pid();
  }

  Path log() {
    return log;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Runs the task on an arbitrary thread once the process has ended. */
  void onExit(Runnable task) {
    process.onExit().thenRun(task);
  }

  int exitStatus() {
    return process.exitValue();
  }

  /** Blocks until the process has ended. */
  void awaitExit() throws InterruptedException {
    process.waitFor();
  }

  /** Marks the process as one that the lab ends, so that its exit is no failure. */
  void expectExit() {
    exitExpected = true;
  }

  boolean isExitExpected() {
    return exitExpected;
  }

  /** Returns the number of open file descriptors; 0 once the process has ended. */
  int openDescriptors() {
    try (DirectoryStream<Path> all = Files.newDirectoryStream(procPath("fd"))) {
      int count = 0;
      for (Path one : all) {
        count++;
      }
      return count;
    } catch (IOException e) {
      return 0;
    }
  }

  /** Returns the largest resident set so far, in KiB; 0 once the process has ended. */
  long peakResidentKib() {
    return Math.max(statusField(PEAK_RESIDENT_FIELD), statusField(RESIDENT_FIELD));
  }

  private long statusField(String field) {
    try {
      for (String line : Files.readAllLines(procPath("status"))) {
        if (line.startsWith(field)) {
          return Long.parseLong(line.replaceAll("\\D", ""));
        }
      }
    } catch (IOException e) {
      // The process has ended.
    }
    return 0;
  }

  /** Returns the processor time so far, in seconds; 0 once the process has ended. */
  double processorSeconds() {
    return process.info().totalCpuDuration().map(d -> d.toNanos() / 1e9).orElse(0.0);
  }

  /**
   * Returns the run-queue wait of the thread that has waited longest for a core, in microseconds; 0
   * where the system does not report it.
   */
  long coreWaitMicros() {
    long longest = 0;
    try (DirectoryStream<Path> threads = Files.newDirectoryStream(procPath("task"))) {
      for (Path thread : threads) {
        String[] parts = Files.readString(thread.resolve("schedstat")).trim().split(" ");
        longest = Math.max(longest, Long.parseLong(parts[1]) / 1_000);
      }
    } catch (IOException | java.io.UncheckedIOException e) {
      return longest;
    }
    return longest;
  }

  private Path procPath(String name) {
    return Path.of("/proc", String.valueOf(pid()), name);
  }
}
