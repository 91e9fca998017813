package brassbank.sim.check;

/**
 * A breach of a rule.
 *
 * @param rule the rule's name
 * @param atMicros when it happened, in microseconds of virtual time
 * @param description what was observed, for a reader of the trace
 */
public record Breach(String rule, long atMicros, String description) {
  @Override
  public String toString() {
    return String.format("%.6f s: %s: %s", atMicros / 1e6, rule, description);
  }
}
