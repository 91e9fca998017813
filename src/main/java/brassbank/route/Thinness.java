package brassbank.route;

/**
 * Whether this site is thin for a class: at once when a flow finds no place or would wait for
 * longer than the class bears, and no longer once it has had a margin for {@link #HOLD} without a
 * break. So it changes twice in that time at most, however the figures swing. Times are
 * microseconds.
 */
final class Thinness {
  /** Load reports are renewed in 0.4 to 1.4 s: a blink of room within that is no room. */
  static final long HOLD = 1_000_000;

  /** The margin: this part of all places is free, and the wait is half of what the class bears. */
  private static final double FREE = 0.05;

  private boolean thin;
  private long wellSince = Long.MAX_VALUE;

  void told(Room room, long bears, long now) {
    if (room.places() == 0 || room.waiting() > bears) {
      thin = true;
    }
    boolean well = room.places() > FREE * room.of() && room.waiting() <= bears / 2;
    wellSince = well ? Math.min(wellSince, now) : Long.MAX_VALUE;
    if (thin && well && now - wellSince >= HOLD) {
      thin = false;
    }
  }

  boolean thin() {
    return thin;
  }
}
