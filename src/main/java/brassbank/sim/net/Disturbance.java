package brassbank.sim.net;

/**
 * Something that is wrong on the way from one machine to another, for as long as it is in the
 * fabric. Each direction is asked for by itself.
 */
public interface Disturbance {
  /** Nothing arrives. */
  default boolean blocks(Machine from, Machine to) {
    return false;
  }

  /** Connects do not come up, while connections that stand are left alone. */
  default boolean blocksConnects(Machine from, Machine to) {
    return false;
  }

  /** Connects are refused. */
  default boolean refusesConnects(Machine from, Machine to) {
    return false;
  }

  /** Bytes that come in one piece, at most. */
  default int maxSegmentBytes(Machine from, Machine to) {
    return Integer.MAX_VALUE;
  }

  /** Share of the datagrams that are lost. */
  default double datagramLossRate(Machine from, Machine to) {
    return 0;
  }

  /** Share of the datagrams that come twice. */
  default double datagramDuplicationRate(Machine from, Machine to) {
    return 0;
  }

  /** Added to the time that a connect takes, in microseconds. */
  default long connectDelayMicros(Machine from, Machine to) {
    return 0;
  }

  /** Added to the way's latency, in microseconds. */
  default long delayMicros(Machine from, Machine to) {
    return 0;
  }

  /**
   * The most that {@link #delayMicros} says on this way, for whoever must not draw from its chance.
   */
  default long maxDelayMicros(Machine from, Machine to) {
    return 0;
  }

  /** Bytes a second that one connection gets on this way, at most. */
  default long maxBytesPerSecond(Machine from, Machine to) {
    return Long.MAX_VALUE;
  }

  /** Whether this way is touched at all, so that what is late on it is no one's fault. */
  default boolean affects(Machine from, Machine to) {
    return blocks(from, to)
        || delayMicros(from, to) > 0
        || maxBytesPerSecond(from, to) < Long.MAX_VALUE
        || blocksConnects(from, to)
        || refusesConnects(from, to)
        || connectDelayMicros(from, to) > 0;
  }
}
