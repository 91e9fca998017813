package brassbank.sim.check;

import brassbank.sim.event.Event;

/**
 * One rule of a run. It sees every event, and is asked every {@link Checks#TICK_MICROS} besides.
 */
public abstract class Rule {
  static final long MILLI = 1_000;
  static final long SECOND = 1_000_000;

  private final String name;
  private Checks checks;
  GroundTruth groundTruth;

  /** {@code name} is what reports and tables call it. */
  Rule(String name) {
    this.name = name;
  }

  public final String name() {
    return name;
  }

  final void attach(Checks by, GroundTruth known) {
    checks = by;
    groundTruth = known;
  }

  /** An event has happened. */
  abstract void onEvent(long now, Event event);

  /** Time has passed. */
  void onTick(long now) {}

  /** The run is over. */
  void onEnd(long now) {}

  final void reportBreach(long now, String what) {
    checks.record(new Breach(name, now, what));
  }
}
