package brassbank.shares;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/**
 * One process's seat, as the answers of keepers tell it. An answer counts by when it was asked for,
 * so that neither a late datagram nor a stop of the process makes a seat last.
 *
 * <p>Times are microseconds. For one thread at a time.
 */
final class Seat {
  private static final long NEVER = Long.MIN_VALUE;

  private record Answer(long process, long askedAt, BitSet seats) {}

  private final SeatSettings settings;
  private final int majority;
  private final Map<Integer, Answer> answers = new HashMap<>();

  /** Keepers' ranks that two processes have answered for, and until when neither counts. */
  private final Map<Integer, Long> disputed = new HashMap<>();

  private long heldUntil = NEVER;
  private long heldSince;

  Seat(SeatSettings settings, int keepers) {
    this.settings = settings;
    majority = keepers / 2 + 1;
  }

  /** A keeper holds the seat, and has told which others it holds. */
  void held(long now, int keeper, long process, long askedAt, BitSet seats) {
    Answer known = answers.get(keeper);
    boolean other = known != null && known.process() != process && counts(known, now);
    if (other || disputed.getOrDefault(keeper, NEVER) > now) {
      // Two processes of one rank hold seats apart from each other: majorities need not meet there.
      answers.remove(keeper);
      disputed.put(keeper, now + settings.holds());
    } else if (known == null || askedAt > known.askedAt()) {
      answers.put(keeper, new Answer(process, askedAt, seats));
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
    return answer.askedAt() + settings.counts() > now;
  }

  /** When the last majority of answers ends to count, if no other comes. */
  private long until() {
    if (answers.size() < majority) {
      return NEVER;
    }
    long[] asked = answers.values().stream().mapToLong(Answer::askedAt).sorted().toArray();
    return asked[asked.length - majority] + settings.counts();
  }

  /** Whether it may be spent with. */
  boolean spends(long now) {
    return now < heldUntil && now - heldSince >= settings.waits();
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
}
