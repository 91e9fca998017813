package brassbank.log;

import brassbank.sources.SystemClock;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Logger;

/**
 * The logger of one component. Callers pass the name of an event and its fields, not a formatted
 * text. Thread-safe.
 *
 * <pre>{@code
 * LOG.warn("answer-bad", flow(id), target(name), value("line", line));
 * }</pre>
 */
public final class Log {
  private static final ThreadLocal<Sink> THREAD_SINK = new ThreadLocal<>();

  private static volatile Sink defaultSink =
      new Console(System.err, Format.TEXT, new SystemClock());

  private final String component;

  private Log(String component) {
    this.component = component;
  }

  /** Returns a logger for one component of the program. */
  public static Log of(String component) {
    return new Log(component);
  }

  /**
   * Sends all events to the console, and the lines of libraries from the level of warnings on.
   * Called at start-up; before that, the program's own events go to standard error as text.
   */
  public static void install(Console console) {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    root.addHandler(console);
    root.setLevel(java.util.logging.Level.WARNING);
    defaultSink = console;
  }

  /**
   * Sends the events of the calling thread to a sink instead. Simulations, which have their own
   * clock, and tests, which inspect events, use this. Null restores the default.
   */
  public static void setThreadSink(Sink sink) {
    if (sink == null) {
      THREAD_SINK.remove();
    } else {
      THREAD_SINK.set(sink);
    }
  }

  /** Logs an event of normal operation. */
  public void info(String event, Field... fields) {
    publish(new Event(Level.INFO, component, event, List.of(fields), null));
  }

  /** Logs a fault of a peer or file, or a limit that was reached. */
  public void warn(String event, Field... fields) {
    publish(new Event(Level.WARN, component, event, List.of(fields), null));
  }

  /** Logs a fault of the program, with its cause. */
  public void error(String event, Throwable cause, Field... fields) {
    publish(new Event(Level.ERROR, component, event, List.of(fields), cause));
  }

  private static void publish(Event event) {
    Sink sink = THREAD_SINK.get();
    (sink != null ? sink : defaultSink).accept(event);
  }
}
