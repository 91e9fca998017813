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
  default boolean refuses(Machine from, Machine to) {
    return false;
  }

  /** Bytes that come in one piece, at most. */
  default int segment(Machine from, Machine to) {
    return Integer.MAX_VALUE;
  }

  /** Share of the datagrams that are lost. */
  default double losesDatagrams(Machine from, Machine to) {
    return 0;
  }

  /** Share of the datagrams that come twice. */
  default double doublesDatagrams(Machine from, Machine to) {
    return 0;
  }

  /** Added to the time that a connect takes, in microseconds. */
  default long connectDelay(Machine from, Machine to) {
    return 0;
  }

  /** Added to the way's latency, in microseconds. */
  default long delay(Machine from, Machine to) {
    return 0;
  }

  /** The most that {@link #delay} says on this way, for whoever must not draw from its chance. */
  default long mostDelay(Machine from, Machine to) {
    return 0;
  }

  /** Bytes a second that one connection gets on this way, at most. */
  default long bandwidth(Machine from, Machine to) {
    return Long.MAX_VALUE;
  }

  /** Whether this way is touched at all, so that what is late on it is no one's fault. */
  default boolean touches(Machine from, Machine to) {
    return blocks(from, to)
        || delay(from, to) > 0
        || bandwidth(from, to) < Long.MAX_VALUE
        || blocksConnects(from, to)
        || refuses(from, to)
        || connectDelay(from, to) > 0;
  }
}
