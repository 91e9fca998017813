package brassbank.sim.check;

import brassbank.sim.event.Event;

/**
 * A rule that must hold in a run. It receives every event, and a tick every {@link
 * Checks#TICK_MICROS}.
 */
public abstract class Rule {
  static final long MILLI = 1_000;
  static final long SECOND = 1_000_000;

  private final String name;
  private Checks checks;
  GroundTruth groundTruth;

  /** Creates a rule; {@code name} is its name in reports and tables. */
  Rule(String name) {
    this.name = name;
  }

  /** Returns the rule's name in reports and tables. */
  public final String name() {
    return name;
  }

  final void attach(Checks by, GroundTruth truth) {
    checks = by;
    groundTruth = truth;
  }

  /** Receives an event. */
  abstract void onEvent(long now, Event event);

  /** Checks what depends on time alone. */
  void onTick(long now) {}

  /** Checks what can be judged at the end of the run only. */
  void onEnd(long now) {}

  /** Records a breach of this rule. */
  final void reportBreach(long now, String what) {
    checks.record(new Breach(name, now, what));
  }
}
