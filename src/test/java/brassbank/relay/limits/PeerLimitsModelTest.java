package brassbank.relay.limits;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.relay.limits.DisconnectDecision.Reason;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/** Checks {@link PeerLimits} under random events against a model that records every byte. */
class PeerLimitsModelTest {
  private static final long SECOND = 1_000_000;
  private static final long AGE = 8 * SECOND;
  private static final long WINDOW = 4 * SECOND;
  private static final long LINE = 6 * SECOND;
  private static final long RATE = 50;
  private static final SideLimits SIDE = new SideLimits(1_000, 0, AGE, RATE, WINDOW, LINE);
  private static final RelayLimits LIMITS =
      new RelayLimits(1_000, 6_000, 2_500, Map.of("b", 900L), SIDE, SIDE, SECOND);

  /** The complete history of one peer. */
  private static final class Model {
    final Deque<long[]> queued = new ArrayDeque<>();
    final List<long[]> drained = new ArrayList<>();
    long behindSince = -1;
    long lineSince = -1;

    long bytes() {
      return queued.stream().mapToLong(part -> part[1]).sum();
    }

    void queue(long now, long bytes) {
      behindSince = queued.isEmpty() ? now : behindSince;
      queued.add(new long[] {now, bytes});
    }

    void drain(long now, long bytes) {
      drained.add(new long[] {now, bytes});
      for (long remaining = bytes; remaining > 0; ) {
        long[] part = queued.peek();
        long count = Math.min(remaining, part[1]);
        part[1] -= count;
        remaining -= count;
        if (part[1] == 0) {
          queued.poll();
        }
      }
    }

    long age(long now) {
      return queued.isEmpty() ? 0 : now - queued.peek()[0];
    }

    long drainedSince(long time) {
      return drained.stream().filter(part -> part[0] >= time).mapToLong(part -> part[1]).sum();
    }
  }

  private final PeerLimits limits = new PeerLimits(LIMITS);
  private final Map<SessionPeers, Map<Side, Model>> models = new HashMap<>();
  private final List<SessionPeers> open = new ArrayList<>();
  private final Map<SessionPeers, Integer> decided = new HashMap<>();
  private long now;

  @Property(seed = "1", tries = 300, shrinking = ShrinkingMode.OFF)
  void noPeerIsDisconnectedBeforeALimitOrLongAfterIt(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int maxSessions) {
    Random random = new Random(seed);
    for (int step = 0; step < 400; step++) {
      if (open.size() < maxSessions) {
        openSession(random);
      }
      SessionPeers session = open.get(random.nextInt(open.size()));
      Side side = random.nextBoolean() ? Side.CLIENT : Side.TARGET;
      act(random, session, side);
      if (random.nextInt(3) == 0) {
        long delay = limits.evaluationDelayMicros();
        now += delay < 0 ? SECOND : Math.min(delay, 1 + random.nextInt(400_000));
        evaluate();
      }
      check();
    }
    List.copyOf(open).forEach(this::close);
    assertThat(limits.queuedBytes()).isZero();
    assertThat(limits.sessions()).isZero();
    assertThat(limits.evaluationDelayMicros()).isEqualTo(-1);
  }

  private void openSession(Random random) {
    String practice = random.nextBoolean() ? "a" : "b";
    SessionPeers session = limits.open(models.size(), practice);
    Map<Side, Model> sides = new TreeMap<>();
    sides.put(Side.CLIENT, new Model());
    sides.put(Side.TARGET, new Model());
    models.put(session, sides);
    open.add(session);
  }

  private void close(SessionPeers session) {
    limits.close(session);
    limits.close(session);
    open.remove(session);
  }

  private void act(Random random, SessionPeers session, Side side) {
    Model model = models.get(session).get(side);
    switch (random.nextInt(6)) {
      case 0, 1 -> {
        long bytes = 1 + random.nextInt(300);
        if (!limits.isFull(session, side)) {
          model.queue(now, bytes);
          limits.bytesQueued(session, side, bytes, now);
        }
      }
      case 2, 3 -> {
        long bytes = Math.min(model.bytes(), random.nextInt(400));
        model.drain(now, bytes);
        limits.bytesDrained(session, side, bytes);
      }
      case 4 -> {
        model.lineSince = now;
        limits.lineStarted(session, side, now);
      }
      default -> {
        model.lineSince = -1;
        limits.lineEnded(session, side);
        if (random.nextInt(40) == 0) {
          close(session);
        }
      }
    }
  }

  private void evaluate() {
    List<DisconnectDecision> decisions = limits.evaluate(now);
    for (DisconnectDecision decision : decisions) {
      Model model = models.get(decision.session()).get(decision.side());
      assertThat(decided.merge(decision.session(), decision.immediate() ? 2 : 1, Integer::sum))
          .as("one graceful decision, then one immediate one")
          .isLessThanOrEqualTo(3);
      assertThat(decision.queuedBytes()).isEqualTo(model.bytes());
      if (decision.reason() == Reason.AGE) {
        assertThat(model.age(now)).isGreaterThan(AGE);
      } else if (decision.reason() == Reason.RATE) {
        assertThat(now - model.behindSince).isGreaterThanOrEqualTo(WINDOW);
        assertThat(model.drainedSince(now - WINDOW)).isLessThan(RATE * WINDOW * 5 / 4 / SECOND);
      } else if (decision.reason() == Reason.LINE) {
        assertThat(now - model.lineSince).isGreaterThan(LINE);
      } else {
        assertThat(decision.immediate()).isTrue();
      }
    }
    decisions.stream()
        .filter(DisconnectDecision::immediate)
        .map(DisconnectDecision::session)
        .forEach(this::close);
    if (decisions.stream().noneMatch(DisconnectDecision::immediate)) {
      // No session was disconnected for its memory, so that the budget was not exceeded.
      assertThat(limits.queuedBytes()).isLessThanOrEqualTo(LIMITS.budgetBytes());
    }
    for (SessionPeers session : open) {
      assertThat(limits.isOverBudget(session)).isFalse();
      for (Model model : models.get(session).values()) {
        boolean late = model.age(now) > AGE * 5 / 4;
        assertThat(late && !decided.containsKey(session)).as("disconnected too late").isFalse();
      }
    }
  }

  private void check() {
    long sum = 0;
    for (SessionPeers session : open) {
      for (Model model : models.get(session).values()) {
        sum += model.bytes();
      }
    }
    assertThat(limits.queuedBytes()).isEqualTo(sum);
  }
}
