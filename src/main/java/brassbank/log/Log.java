package brassbank.log;

import brassbank.sources.SystemClock;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Logger;

/**
 * What the code calls: an event's name and its fields, no text put together. Any thread may call.
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

  /** The log of one part of the program. */
  public static Log of(String component) {
    return new Log(component);
  }

  /**
   * Makes the console the one place where all lines go, those of libraries from warnings on. For
   * the program's start; before, the program's own go to standard error as text.
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
   * Hands what the calling thread logs to the sink instead, as it comes: for a run that has its own
   * time, or that takes events as values. Null takes that back.
   */
  public static void setThreadSink(Sink sink) {
    if (sink == null) {
      THREAD_SINK.remove();
    } else {
      THREAD_SINK.set(sink);
    }
  }

  public void info(String event, Field... fields) {
    publish(new Event(Level.INFO, component, event, List.of(fields), null));
  }

  public void warn(String event, Field... fields) {
    publish(new Event(Level.WARN, component, event, List.of(fields), null));
  }

  public void error(String event, Throwable cause, Field... fields) {
    publish(new Event(Level.ERROR, component, event, List.of(fields), cause));
  }

  private static void publish(Event event) {
    Sink sink = THREAD_SINK.get();
    (sink != null ? sink : defaultSink).accept(event);
  }
}
