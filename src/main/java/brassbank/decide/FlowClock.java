package brassbank.decide;

import java.util.function.LongSupplier;

/**
 * The module's clock: microseconds that never go back, near Unix time. Unix times that discovery
 * tells are mapped by the wall clock of that moment, so that a step of it does no lasting harm.
 */
public final class FlowClock {
  private final LongSupplier nanos;
  private final LongSupplier unixMillis;
  private final long startNanos;
  private final long base;

  /** The system's clocks. */
  public FlowClock() {
    this(System::nanoTime, System::currentTimeMillis);
  }

  FlowClock(LongSupplier nanos, LongSupplier unixMillis) {
    this.nanos = nanos;
    this.unixMillis = unixMillis;
    this.startNanos = nanos.getAsLong();
    this.base = unixMillis.getAsLong() * 1000;
  }

  public long now() {
    return base + (nanos.getAsLong() - startNanos) / 1000;
  }

  /** This clock's time for a Unix time in milliseconds; 0 stays 0, which means long ago. */
  long ofUnixMillis(long millis) {
    return millis <= 0 ? 0 : Math.max(1, now() - (unixMillis.getAsLong() - millis) * 1000);
  }
}
