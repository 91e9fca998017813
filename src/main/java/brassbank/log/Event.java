package brassbank.log;

import java.util.List;

/**
 * A log event; docs/log.md describes all of them.
 *
 * @param level the severity
 * @param component the part of the program that logs it
 * @param name the event's name: words in lower case joined by hyphens
 * @param fields the named values, in the order of the line
 * @param cause the exception, or null
 */
public record Event(
    Level level, String component, String name, List<Field> fields, Throwable cause) {

  private static final int MAX_STACK_FRAMES = 6;

  /** Returns the cause and its topmost stack frames in one line; null without a cause. */
  String causeText() {
    if (cause == null) {
      return null;
    }
    StringBuilder text = new StringBuilder(String.valueOf(cause));
    StackTraceElement[] trace = cause.getStackTrace();
    for (int i = 0; i < Math.min(MAX_STACK_FRAMES, trace.length); i++) {
      text.append(" < ").append(trace[i]);
    }
    return text.toString();
  }
}
