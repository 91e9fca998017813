package brassbank.sources;

/** The clocks of the operating system; the only class that reads them. */
public final class SystemClock implements Clock {
  @Override
  public long nanos() {
    return System.nanoTime();
  }

  @Override
  public long unixMillis() {
    return System.currentTimeMillis();
  }
}
