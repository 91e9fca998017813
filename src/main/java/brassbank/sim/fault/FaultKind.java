package brassbank.sim.fault;

import brassbank.sim.time.RandomStreams;
import java.util.List;

/**
 * A kind of fault: its type of target, ranges of duration and magnitude, and its actions. Names are
 * unique.
 *
 * @param about one-line description for authors of scripts
 * @param maxPerRun maximum number of such faults that a seed draws; 0 for kinds that only scripts
 *     use
 * @param begin runs when the fault begins
 * @param end runs when the fault ends
 */
public record FaultKind(
    String name,
    String about,
    TargetType targetType,
    long minMillis,
    long maxMillis,
    double minSize,
    double maxSize,
    int maxPerRun,
    Action begin,
    Action end) {

  /** Type of target of a fault. */
  public enum TargetType {
    HOST,
    PROXY,
    ZONE,
    /** Links between machines, written as a {@link LinkSelector}. */
    LINK,
    ALL
  }

  /** Effect of a fault on the simulation when it begins or ends. */
  public interface Action {
    void apply(FaultContext context, Fault fault);
  }

  /**
   * Draws a fault that begins no earlier than {@code fromMillis} and, unless its duration exceeds
   * the interval, ends no later than {@code untilMillis}.
   */
  Fault draw(RandomStreams.Stream stream, List<String> targets, long fromMillis, long untilMillis) {
    long length = stream.micros(minMillis, maxMillis);
    long latest = Math.max(fromMillis, untilMillis - length);
    double size = Math.round(stream.between(minSize, maxSize) * 100) / 100.0;
    return new Fault(
        this,
        stream.micros(fromMillis, latest),
        length,
        targets.isEmpty() ? "" : stream.pick(targets),
        size);
  }

  @Override
  public String toString() {
    return name;
  }
}
