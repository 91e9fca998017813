package brassbank.sim.check;

import brassbank.sim.event.Event;

/** One rule of a run. It sees every event, and is asked every {@link Checks#EVERY} besides. */
public abstract class Rule {
  static final long MILLI = 1_000;
  static final long SECOND = 1_000_000;

  private final String name;
  private Checks checks;
  Truth truth;

  /** {@code name} is what reports and tables call it. */
  Rule(String name) {
    this.name = name;
  }

  public final String name() {
    return name;
  }

  final void judgedBy(Checks by, Truth known) {
    checks = by;
    truth = known;
  }

  /** An event has happened. */
  abstract void see(long now, Event event);

  /** Time has passed. */
  void look(long now) {}

  /** The run is over. */
  void end(long now) {}

  final void broken(long now, String what) {
    checks.broken(new Breach(name, now, what));
  }
}
