package brassbank.lab;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * A shell process beside the lab that sends signals for it, which Java cannot do itself, and
 * outlives it: when the lab ends, even by SIGKILL, the watchdog kills all tracked processes and
 * removes the lab's folder. Thread-safe; no method waits until a signal has been sent.
 */
final class Watchdog implements AutoCloseable {
  private static final long EXIT_TIMEOUT_SECONDS = 10;

  private final Process process;
  private final OutputStream pipe;

  /**
   * @param folder the lab's folder, removed when the lab ends
   */
  Watchdog(Path folder) throws IOException {
    Path script = folder.resolve("guard.sh");
    try (InputStream text = Watchdog.class.getResourceAsStream("guard.sh")) {
      Files.copy(text, script);
    }
    process =
        new ProcessBuilder("sh", script.toString(), folder.toString())
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    pipe = process.getOutputStream();
  }

  /** Adds a process to those that are killed when the lab ends. */
  void track(long pid) {
    writeCommand("add " + pid);
  }

  /** Removes a process that has ended, since the system may reuse its id. */
  void untrack(long pid) {
    writeCommand("drop " + pid);
  }

  /**
   * Sends a signal.
   *
   * @param name the signal's name without SIG
   */
  void signal(String name, long pid) {
    writeCommand(name + " " + pid);
  }

  private synchronized void writeCommand(String line) {
    try {
      pipe.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
      pipe.flush();
    } catch (IOException e) {
      throw new LabException("the lab's watchdog process has ended: " + e.getMessage(), e);
    }
  }

  /** Makes the watchdog kill the remaining processes, and waits until it has ended. */
  @Override
  public void close() {
    try {
      pipe.close();
      if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (IOException e) {
      process.destroyForcibly();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
