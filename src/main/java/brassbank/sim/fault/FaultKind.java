package brassbank.sim.fault;

import brassbank.sim.time.RandomStreams;
import java.util.List;

/**
 * A kind of fault: on what, for how long, how strong, and what it does. Its name is its own.
 *
 * @param about one line for those who write scripts
 * @param maxPerRun how many of them one run may have; 0 for what only scripts use
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

  /** What a fault of the kind is aimed at. */
  public enum TargetType {
    HOST,
    PROXY,
    ZONE,
    /** Links between machines, as {@link LinkSelector} has them. */
    LINK,
    ALL
  }

  /** What a fault does to the stage, at its beginning or at its end. */
  public interface Action {
    void apply(FaultContext stage, Fault fault);
  }

  /** Draws one fault that begins and ends within these times. */
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
