package brassbank.log;

import java.util.List;

/**
 * What has happened, as a value; docs/log.md has each one's meaning.
 *
 * @param component the part of the program that tells it
 * @param name lower case words with hyphens
 * @param cause what went wrong in the program, or null
 */
public record Event(
    Level level, String component, String name, List<Field> fields, Throwable cause) {

  private static final int MAX_STACK_FRAMES = 6;

  /** The cause in one line, with the places that it came through first; null without one. */
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
