package brassbank.log;

import brassbank.sources.Clock;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes events to a stream, one line each, up to a limit per second. The lines of libraries arrive
 * through {@code java.util.logging}, as whose handler it is installed. The program's own events do
 * not pass through {@code java.util.logging}, which removes its handlers on SIGTERM, before the
 * proxy has logged its planned shutdown. Thread-safe; each line is a single write.
 */
public final class Console extends Handler implements Sink {
  private final PrintStream out;
  private final Format format;
  private final Clock clock;
  private final LineRateLimiter rateLimiter = new LineRateLimiter();

  /**
   * @param clock provides the time of each line and of the limit per second
   */
  public Console(PrintStream out, Format format, Clock clock) {
    this.out = out;
    this.format = format;
    this.clock = clock;
  }

  @Override
  public synchronized void accept(Event event) {
    if (rateLimiter.startSecond(TimeUnit.NANOSECONDS.toSeconds(clock.nanos()))) {
      // Counts as the first line of the new second, which is always within the limit.
      rateLimiter.tryAcquire(Level.WARN);
      write(new Event(Level.WARN, "log", "lines-left-out", rateLimiter.takeOmittedCounts(), null));
    }
    if (rateLimiter.tryAcquire(event.level())) {
      write(event);
    }
  }

  private void write(Event event) {
    String line = format.line(clock.unixMillis(), event) + "\n";
    byte[] bytes = line.getBytes(StandardCharsets.US_ASCII);
    out.write(bytes, 0, bytes.length);
    out.flush();
  }

  /** Writes a line of a library as an event. */
  @Override
  public void publish(LogRecord record) {
    if (isLoggable(record)) {
      accept(
          new Event(
              Level.of(record.getLevel()),
              "library",
              "library-line",
              List.of(
                  Field.value("logger", record.getLoggerName()),
                  Field.value("text", record.getMessage())),
              record.getThrown()));
    }
  }

  @Override
  public void flush() {
    out.flush();
  }

  /** Does nothing: the caller owns the stream. */
  @Override
  public void close() {}
}
