package brassbank.sim.check;

/**
 * A rule that was broken.
 *
 * @param rule the rule's name
 * @param atMicros microseconds of the run
 * @param description what was seen, for a reader of the trace
 */
public record Breach(String rule, long atMicros, String description) {
  @Override
  public String toString() {
    return String.format("%.6f s: %s: %s", atMicros / 1e6, rule, description);
  }
}
