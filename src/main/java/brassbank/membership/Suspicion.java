package brassbank.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * How long a suspected member has to refute: the longest time at first, and less with each further
 * member that suspects it too (Lifeguard, section IV.B).
 */
final class Suspicion {
  /** With so many confirmations the time is the least. */
  private static final int ENOUGH = 3;

  private final long begun;
  private final long least;
  private final long most;
  private final int enough;
  private final List<String> confirmed = new ArrayList<>();

  /**
   * @param by who suspected it first
   * @param others how many could confirm it
   */
  Suspicion(String by, long now, long least, long most, int others) {
    begun = now;
    this.least = least;
    this.most = most;
    enough = Math.min(ENOUGH, others);
    confirmed.add(by);
  }

  /** Whether this is news: one more that suspects it, of as many as count. */
  boolean confirm(String by) {
    if (confirmed.size() > enough || confirmed.contains(by)) {
      return false;
    }
    confirmed.add(by);
    return true;
  }

  long begun() {
    return begun;
  }

  /** When it is over, of the member's lived time. */
  long deadline() {
    if (enough <= 0) {
      return begun + least;
    }
    double share = Math.log(confirmed.size()) / Math.log(enough + 1.0);
    return begun + Math.max(least, (long) (most - (most - least) * share));
  }
}
