package brassbank.sources;

/** The two clocks of a machine. Thread-safe. */
public interface Clock {
  /**
   * Returns the monotonic time in nanoseconds since an arbitrary origin; only differences are
   * meaningful.
   */
  long nanos();

  /** Returns the wall-clock time as Unix time in milliseconds; it may jump in either direction. */
  long unixMillis();
}
