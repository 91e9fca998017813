package brassbank.sim.net;

/**
 * An impairment of paths between machines, in effect while it is part of the {@link Fabric}. Each
 * direction is queried separately.
 */
public interface Disturbance {
  /** Returns whether all traffic is lost. */
  default boolean blocks(Machine from, Machine to) {
    return false;
  }

  /** Returns whether connects get no response; established connections are not affected. */
  default boolean blocksConnects(Machine from, Machine to) {
    return false;
  }

  /** Returns whether connects are refused. */
  default boolean refusesConnects(Machine from, Machine to) {
    return false;
  }

  /** Returns the maximum size of a TCP segment in bytes. */
  default int maxSegmentBytes(Machine from, Machine to) {
    return Integer.MAX_VALUE;
  }

  /** Returns the share of datagrams that are lost. */
  default double datagramLossRate(Machine from, Machine to) {
    return 0;
  }

  /** Returns the share of datagrams that are duplicated. */
  default double datagramDuplicationRate(Machine from, Machine to) {
    return 0;
  }

  /** Returns the time in microseconds that is added to a connect. */
  default long connectDelayMicros(Machine from, Machine to) {
    return 0;
  }

  /**
   * Returns the time in microseconds that is added to the latency of the path; it may be random.
   */
  default long delayMicros(Machine from, Machine to) {
    return 0;
  }

  /**
   * Returns the maximum of {@link #delayMicros} on this path. Unlike that method it draws no random
   * number, so checks can call it without changing the run.
   */
  default long maxDelayMicros(Machine from, Machine to) {
    return 0;
  }

  /** Returns the maximum throughput of one connection on this path in bytes per second. */
  default long maxBytesPerSecond(Machine from, Machine to) {
    return Long.MAX_VALUE;
  }

  /**
   * Returns whether the path is impaired at all, so that no component is blamed for late data on
   * it.
   */
  default boolean affects(Machine from, Machine to) {
    return blocks(from, to)
        || delayMicros(from, to) > 0
        || maxBytesPerSecond(from, to) < Long.MAX_VALUE
        || blocksConnects(from, to)
        || refusesConnects(from, to)
        || connectDelayMicros(from, to) > 0;
  }
}
