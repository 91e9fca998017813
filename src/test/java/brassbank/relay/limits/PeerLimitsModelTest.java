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

/** Whatever the order of events, against a model that remembers every byte and every instant. */
class PeerLimitsModelTest {
  private static final long SECOND = 1_000_000;
  private static final long AGE = 8 * SECOND;
  private static final long WINDOW = 4 * SECOND;
  private static final long LINE = 6 * SECOND;
  private static final long RATE = 50;
  private static final SideLimits SIDE = new SideLimits(1_000, 0, AGE, RATE, WINDOW, LINE);
  private static final RelayLimits LIMITS =
      new RelayLimits(1_000, 6_000, 2_500, Map.of("b", 900L), SIDE, SIDE, SECOND);

  /** What is known of one peer, in full. */
  private static final class Model {
    final Deque<long[]> waiting = new ArrayDeque<>();
    final List<long[]> taken = new ArrayList<>();
    long behindSince = -1;
    long lineSince = -1;

    long bytes() {
      return waiting.stream().mapToLong(part -> part[1]).sum();
    }

    void queue(long now, long bytes) {
      behindSince = waiting.isEmpty() ? now : behindSince;
      waiting.add(new long[] {now, bytes});
    }

    void take(long now, long bytes) {
      taken.add(new long[] {now, bytes});
      for (long left = bytes; left > 0; ) {
        long[] part = waiting.peek();
        long count = Math.min(left, part[1]);
        part[1] -= count;
        left -= count;
        if (part[1] == 0) {
          waiting.poll();
        }
      }
    }

    long age(long now) {
      return waiting.isEmpty() ? 0 : now - waiting.peek()[0];
    }

    long takenSince(long time) {
      return taken.stream().filter(part -> part[0] >= time).mapToLong(part -> part[1]).sum();
    }
  }

  private final PeerLimits limits = new PeerLimits(LIMITS);
  private final Map<SessionPeers, Map<Side, Model>> models = new HashMap<>();
  private final List<SessionPeers> open = new ArrayList<>();
  private final Map<SessionPeers, Integer> told = new HashMap<>();
  private long now;

  @Property(seed = "1", tries = 300, shrinking = ShrinkingMode.OFF)
  void nobodyIsGivenUpEarlyAndNobodyForLongPastALimit(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int most) {
    Random random = new Random(seed);
    for (int step = 0; step < 400; step++) {
      if (open.size() < most) {
        enter(random);
      }
      SessionPeers session = open.get(random.nextInt(open.size()));
      Side side = random.nextBoolean() ? Side.CLIENT : Side.TARGET;
      act(random, session, side);
      if (random.nextInt(3) == 0) {
        long period = limits.evaluationDelayMicros();
        now += period < 0 ? SECOND : Math.min(period, 1 + random.nextInt(400_000));
        judge();
      }
      check();
    }
    List.copyOf(open).forEach(this::leave);
    assertThat(limits.queuedBytes()).isZero();
    assertThat(limits.sessions()).isZero();
    assertThat(limits.evaluationDelayMicros()).isEqualTo(-1);
  }

  private void enter(Random random) {
    String practice = random.nextBoolean() ? "a" : "b";
    SessionPeers session = limits.open(models.size(), practice);
    Map<Side, Model> sides = new TreeMap<>();
    sides.put(Side.CLIENT, new Model());
    sides.put(Side.TARGET, new Model());
    models.put(session, sides);
    open.add(session);
  }

  private void leave(SessionPeers session) {
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
        model.take(now, bytes);
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
          leave(session);
        }
      }
    }
  }

  private void judge() {
    List<DisconnectDecision> verdicts = limits.evaluate(now);
    for (DisconnectDecision verdict : verdicts) {
      Model model = models.get(verdict.session()).get(verdict.side());
      assertThat(told.merge(verdict.session(), verdict.immediate() ? 2 : 1, Integer::sum))
          .as("politely once, then at once")
          .isLessThanOrEqualTo(3);
      assertThat(verdict.queuedBytes()).isEqualTo(model.bytes());
      if (verdict.reason() == Reason.AGE) {
        assertThat(model.age(now)).isGreaterThan(AGE);
      } else if (verdict.reason() == Reason.RATE) {
        assertThat(now - model.behindSince).isGreaterThanOrEqualTo(WINDOW);
        assertThat(model.takenSince(now - WINDOW)).isLessThan(RATE * WINDOW * 5 / 4 / SECOND);
      } else if (verdict.reason() == Reason.LINE) {
        assertThat(now - model.lineSince).isGreaterThan(LINE);
      } else {
        assertThat(verdict.immediate()).isTrue();
      }
    }
    verdicts.stream()
        .filter(DisconnectDecision::immediate)
        .map(DisconnectDecision::session)
        .forEach(this::leave);
    if (verdicts.stream().noneMatch(DisconnectDecision::immediate)) {
      // Nobody was ended for memory: then none was short before either.
      assertThat(limits.queuedBytes()).isLessThanOrEqualTo(LIMITS.budgetBytes());
    }
    for (SessionPeers session : open) {
      assertThat(limits.isOverBudget(session)).isFalse();
      for (Model model : models.get(session).values()) {
        boolean late = model.age(now) > AGE * 5 / 4;
        assertThat(late && !told.containsKey(session)).as("given up late").isFalse();
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
