package brassbank.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * The time that a suspected member has for a refutation: the maximum at first, and less with each
 * further member that confirms the suspicion (Lifeguard, section IV.B).
 */
final class Suspicion {
  /** Confirmations after which the time is the minimum. */
  private static final int MAX_CONFIRMATIONS = 3;

  private final long startedAtMicros;
  private final long minMicros;
  private final long maxMicros;
  private final int requiredConfirmations;
  private final List<String> accusers = new ArrayList<>();

  /**
   * Starts a suspicion.
   *
   * @param accuser the member that suspects first
   * @param now the current active time
   * @param minMicros the time for a refutation after all confirmations
   * @param maxMicros the time for a refutation before any confirmation
   * @param others the number of members that could confirm the suspicion
   */
  Suspicion(String accuser, long now, long minMicros, long maxMicros, int others) {
    startedAtMicros = now;
    this.minMicros = minMicros;
    this.maxMicros = maxMicros;
    requiredConfirmations = Math.min(MAX_CONFIRMATIONS, others);
    accusers.add(accuser);
  }

  /**
   * Adds a member that confirms the suspicion; returns false if it is known or no longer counts.
   */
  boolean confirm(String accuser) {
    if (accusers.size() > requiredConfirmations || accusers.contains(accuser)) {
      return false;
    }
    accusers.add(accuser);
    return true;
  }

  long startedAtMicros() {
    return startedAtMicros;
  }

  /** Returns when the suspected member is declared dead, in active time. */
  long deadlineMicros() {
    if (requiredConfirmations <= 0) {
      return startedAtMicros + minMicros;
    }
    double fraction = Math.log(accusers.size()) / Math.log(requiredConfirmations + 1.0);
    return startedAtMicros
        + Math.max(minMicros, (long) (maxMicros - (maxMicros - minMicros) * fraction));
  }
}
