package brassbank.lab;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One process of a proxy, started by {@code deploy/serve.sh} as the platform does. */
final class ProxyProcess {
  private static final String RESIDENT_FIELD = "VmRSS:";
  private static final String PEAK_RESIDENT_FIELD = "VmHWM:";

  /** The shell becomes the program once the guard knows its id; without a word it ends. */
  private static final String GATED_SCRIPT =
      "read -r go && exec sh deploy/serve.sh \"$@\" </dev/null";

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
   * Starts one; may wait for the operating system.
   *
   * @param number how many of the proxy's were started before, and one
   * @param arguments for {@code brassbank serve}
   * @param listener the socket to inherit, or null
   */
  static ProxyProcess start(
      int number,
      Path root,
      Path log,
      Map<String, String> variables,
      List<String> arguments,
      InheritedListener listener,
      Watchdog guard)
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
    guard.track(process.pid());
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

  /** Runs the task on some thread once the process has ended. */
  void onExit(Runnable task) {
    process.onExit().thenRun(task);
  }

  int exitStatus() {
    return process.exitValue();
  }

  /** Waits for its end. */
  void awaitExit() throws InterruptedException {
    process.waitFor();
  }

  /** It was told to end, in one way or another: that it ends is no surprise. */
  void expectExit() {
    exitExpected = true;
  }

  boolean isExitExpected() {
    return exitExpected;
  }

  // ------------------------------------------------- as the system counts it

  /** Descriptors that it holds; 0 once it has ended. */
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

  /** Most memory that was resident so far, in KiB; 0 once it has ended. */
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
      // It has ended.
    }
    return 0;
  }

  /** Processor time so far, in seconds; 0 once it has ended. */
  double processorSeconds() {
    return process.info().totalCpuDuration().map(d -> d.toNanos() / 1e9).orElse(0.0);
  }

  /**
   * How long its threads have waited for a core, the one that waited most, in microseconds; 0 where
   * the system does not tell.
   */
  long coreWaitMicros() {
    long most = 0;
    try (DirectoryStream<Path> threads = Files.newDirectoryStream(procPath("task"))) {
      for (Path thread : threads) {
        String[] parts = Files.readString(thread.resolve("schedstat")).trim().split(" ");
        most = Math.max(most, Long.parseLong(parts[1]) / 1_000);
      }
    } catch (IOException | java.io.UncheckedIOException e) {
      return most;
    }
    return most;
  }

  private Path procPath(String name) {
    return Path.of("/proc", String.valueOf(pid()), name);
  }
}
