package brassbank.shares;

import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One process's seat, as the answers of keepers tell it. An answer counts by when it was asked for,
 * so that neither a late datagram nor a stop of the process makes a seat last.
 *
 * <p>Times are microseconds. For one thread at a time.
 */
final class RankLease {
  private static final long NEVER = Long.MIN_VALUE;

  private record Answer(
      long process, long askedAt, BitSet seats, List<Integer> weights, int demand) {
    int weight(int rank) {
      return seats.get(rank) ? weights.get(seats.get(0, rank).cardinality()) : 0;
    }
  }

  private final LeaseSettings settings;
  private final int majority;
  private final Map<Integer, Answer> answers = new HashMap<>();

  /** Keepers' ranks that two processes have answered for, and until when neither counts. */
  private final Map<Integer, Long> disputed = new HashMap<>();

  private long heldUntil = NEVER;
  private long heldSince;

  RankLease(LeaseSettings settings, int keepers) {
    this.settings = settings;
    majority = keepers / 2 + 1;
  }

  /** A keeper holds the seat, and has told which others it holds. */
  void held(long now, int keeper, long askedAt, LeaseMessage answer) {
    long process = answer.process();
    Answer known = answers.get(keeper);
    boolean other = known != null && known.process() != process && counts(known, now);
    if (other || disputed.getOrDefault(keeper, NEVER) > now) {
      // Two processes of one rank hold seats apart from each other: majorities need not meet there.
      answers.remove(keeper);
      disputed.put(keeper, now + settings.grantMicros());
    } else if (known == null || askedAt > known.askedAt()) {
      answers.put(
          keeper, new Answer(process, askedAt, answer.ranks(), answer.weights(), answer.demand()));
    }
    boolean gap = now >= heldUntil;
    heldUntil = until();
    if (gap) {
      heldSince = now;
    }
  }

  /** The process has given it back, or has another reason not to spend with it. */
  void drop() {
    answers.clear();
    heldUntil = NEVER;
  }

  private boolean counts(Answer answer, long now) {
    return answer.askedAt() + settings.validityMicros() > now;
  }

  /** When the last majority of answers ends to count, if no other comes. */
  private long until() {
    if (answers.size() < majority) {
      return NEVER;
    }
    long[] asked = answers.values().stream().mapToLong(Answer::askedAt).sorted().toArray();
    return asked[asked.length - majority] + settings.validityMicros();
  }

  /** Whether it may be spent with. */
  boolean spends(long now) {
    return now < heldUntil && now - heldSince >= settings.activationMicros();
  }

  /** When it ends if nothing is heard. */
  long heldUntil() {
    return heldUntil;
  }

  /** All ranks that any answer names that counts now. */
  BitSet counted(long now) {
    BitSet all = new BitSet();
    for (Answer answer : answers.values()) {
      if (counts(answer, now)) {
        all.or(answer.seats());
      }
    }
    return all;
  }

  /** What a rank's seat weighs at most, by any answer that counts now. */
  int weight(long now, int rank) {
    return answers.values().stream()
        .filter(answer -> counts(answer, now))
        .mapToInt(answer -> answer.weight(rank))
        .max()
        .orElse(0);
  }

  /** Clients in ten seconds at the mean process with a seat, as the last answer tells; or NaN. */
  double meanDemand(long now) {
    return answers.values().stream()
        .filter(answer -> counts(answer, now) && !answer.seats().isEmpty())
        .max(Comparator.comparingLong(Answer::askedAt))
        .map(answer -> (double) answer.demand() / answer.seats().cardinality())
        .orElse(Double.NaN);
  }
}
