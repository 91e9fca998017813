package brassbank.log;

import java.util.Locale;

/** The severity of an event. */
public enum Level {
  /** Part of normal operation. */
  INFO,
  /** A fault of a peer or of a file, or a limit that was reached; service continues. */
  WARN,
  /** A fault of the program itself. */
  ERROR;

  /** Returns the level for a line of a library. */
  static Level of(java.util.logging.Level level) {
    if (level.intValue() >= java.util.logging.Level.SEVERE.intValue()) {
      return ERROR;
    }
    return level.intValue() >= java.util.logging.Level.WARNING.intValue() ? WARN : INFO;
  }

  /** Returns the name as in a log line: {@code info}, {@code warn} or {@code error}. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
