package brassbank.sim.proxy;

import brassbank.sim.time.Agenda;
import brassbank.sources.Clock;

/** The monotonic and the wall clock of a machine in virtual time; the wall clock can be stepped. */
public final class SimClock implements Clock {
  private static final long NANOS_PER_MICRO = 1_000;

  private final Agenda agenda;
  private final long origin;
  private long epochMillis;

  /**
   * @param origin initial value of the monotonic clock in nanoseconds; it may be arbitrary
   * @param epochMillis Unix time in milliseconds at the start of the run
   */
  public SimClock(Agenda agenda, long origin, long epochMillis) {
    this.agenda = agenda;
    this.origin = origin;
    this.epochMillis = epochMillis;
  }

  /** Steps the wall clock forward, or back if {@code millis} is negative. */
  public void step(long millis) {
    epochMillis += millis;
  }

  @Override
  public long nanos() {
    return origin + agenda.now() * NANOS_PER_MICRO;
  }

  @Override
  public long unixMillis() {
    return epochMillis + agenda.now() / Agenda.MILLI;
  }
}
