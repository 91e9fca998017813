package brassbank.lab;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * A process beside the lab that sends its signals and outlives it: when the lab ends, even by a
 * kill, the guard kills the processes it was told of and removes the lab's folder. May be used from
 * any thread; no call waits for the signal to have been sent.
 */
final class Watchdog implements AutoCloseable {
  private static final long EXIT_TIMEOUT_SECONDS = 10;

  private final Process process;
  private final OutputStream pipe;

  /**
   * @param folder removed when the lab is over
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

  /** This process is the lab's from here on. */
  void track(long pid) {
    writeCommand("add " + pid);
  }

  /** This process has ended, and its id may be somebody else's. */
  void untrack(long pid) {
    writeCommand("drop " + pid);
  }

  /** Sends a signal, by its name without SIG. */
  void signal(String name, long pid) {
    writeCommand(name + " " + pid);
  }

  private synchronized void writeCommand(String line) {
    try {
      pipe.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
      pipe.flush();
    } catch (IOException e) {
      throw new LabException("the lab's guard has ended: " + e.getMessage(), e);
    }
  }

  /** Has it kill whatever is left, and waits for its end. */
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
