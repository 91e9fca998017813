package brassbank.load;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Resource usage of a process as the operating system reports it. Memory, descriptors and the wait
 * for a processor are available on Linux only.
 */
final class ProcessStats {
  private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");
  private static final Pattern HEAP_USED =
      Pattern.compile("(?:generation|garbage-first heap).*used (\\d+)K");

  private final ProcessHandle process;

  ProcessStats(long pid) {
    process = ProcessHandle.of(pid).orElseThrow(() -> new LoadException("no such process: " + pid));
  }

  /** Returns the processor time used so far, with a resolution of 10 ms. */
  Duration cpuTime() {
    return process.info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /**
   * Returns the total time that the process's current threads have waited on a run queue for a
   * core: the second figure of Linux's {@code schedstat}. Zero where it is not available.
   */
  Duration runQueueTime() {
    long nanos = 0;
    String[] tasks = new File(procFile("task").toString()).list();
    for (String task : tasks == null ? new String[0] : tasks) {
      try {
        String[] figures = Files.readString(procFile("task/" + task + "/schedstat")).split(" ");
        nanos += Long.parseLong(figures[1]);
      } catch (IOException e) {
        // The thread has ended meanwhile, or the kernel does not provide the figure.
      }
    }
    return Duration.ofNanos(nanos);
  }

  /** Returns the resident memory in KiB, or NaN where it is not available. */
  double residentKib() {
    try {
      Matcher line = RESIDENT.matcher(Files.readString(procFile("status")));
      return line.find() ? Double.parseDouble(line.group(1)) : Double.NaN;
    } catch (IOException e) {
      return Double.NaN;
    }
  }

  /** Returns the number of open descriptors, or NaN where it is not available. */
  double openDescriptors() {
    String[] open = new File(procFile("fd").toString()).list();
    return open == null ? Double.NaN : open.length;
  }

  private Path procFile(String file) {
    return Path.of("/proc", String.valueOf(process.pid()), file);
  }

  /**
   * Triggers a garbage collection in the process and returns the heap then in use, in KiB; NaN if
   * it is not a Java process or this runtime has no {@code jcmd}.
   */
  double liveHeapKib() {
    try {
      if (jcmd("GC.run").isEmpty()) {
        return Double.NaN;
      }
      Matcher used = HEAP_USED.matcher(jcmd("GC.heap_info").orElse(""));
      double sum = 0;
      while (used.find()) {
        sum += Double.parseDouble(used.group(1));
      }
      return sum > 0 ? sum : Double.NaN;
    } catch (IOException e) {
      return Double.NaN;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new LoadException("interrupted", e);
    }
  }

  private Optional<String> jcmd(String command) throws IOException, InterruptedException {
    Path tool = Path.of(System.getProperty("java.home"), "bin", "jcmd");
    Process jcmd =
        new ProcessBuilder(tool.toString(), String.valueOf(process.pid()), command)
            .redirectErrorStream(true)
            .start();
    String text = new String(jcmd.getInputStream().readAllBytes());
    return jcmd.waitFor() == 0 ? Optional.of(text) : Optional.empty();
  }
}
