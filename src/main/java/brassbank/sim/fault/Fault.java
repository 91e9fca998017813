package brassbank.sim.fault;

/**
 * One fault of a simulation run.
 *
 * @param atMillis start time in milliseconds since the start of the run
 * @param forMillis duration in milliseconds; 0 for an instantaneous fault
 * @param target name of a machine or zone or a link selector; empty if the kind has no target
 * @param size magnitude, whose unit depends on the kind; 0 if the kind has none
 */
public record Fault(FaultKind kind, long atMillis, long forMillis, String target, double size) {
  public long untilMillis() {
    return atMillis + forMillis;
  }

  @Override
  public String toString() {
    return kind.name()
        + (target.isEmpty() ? "" : " " + target)
        + (size == 0 ? "" : " x" + size)
        + " at "
        + atMillis / 1000.0
        + " s for "
        + forMillis / 1000.0
        + " s";
  }
}
