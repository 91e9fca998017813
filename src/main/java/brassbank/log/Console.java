package brassbank.log;

import brassbank.sources.Clock;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes a line for each event to a stream, within the budget of each second. Libraries' lines
 * reach it as a handler of the runtime's logging; the program's own do not pass through that, since
 * it drops its handlers as soon as SIGTERM comes, when the planned stop has most to tell. Any
 * thread may call; a line is one write.
 */
public final class Console extends Handler implements Sink {
  private final PrintStream out;
  private final Format format;
  private final Clock clock;
  private final LineRateLimiter rateLimiter = new LineRateLimiter();

  /**
   * @param clock what the lines' times and the seconds of the budget are taken from
   */
  public Console(PrintStream out, Format format, Clock clock) {
    this.out = out;
    this.format = format;
    this.clock = clock;
  }

  @Override
  public synchronized void accept(Event event) {
    if (rateLimiter.startSecond(TimeUnit.NANOSECONDS.toSeconds(clock.nanos()))) {
      // Counts as a line of the new second; the first one always has room.
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

  /** A library's own line becomes an event. */
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

  /** The stream is not this object's to close. */
  @Override
  public void close() {}
}
