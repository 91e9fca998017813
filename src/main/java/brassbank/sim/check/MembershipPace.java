package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** What a member sends in a second is bounded, whatever it hears. */
final class MembershipPace extends Rule {
  /** 10 in a calm second; news to three others on each beat, answers, notices. */
  private static final int MOST_DATAGRAMS = 400;

  /** 650 bytes in a calm second; a whole view and news in a storm. */
  private static final int MOST_BYTES = 128 * 1024;

  /** With shares besides: it asks fifteen keepers, or answers all, each 0.3 s. */
  private static final int KEEPERS = 15;

  private static final int SEATS_EACH = 4;

  private record Sample(long at, long datagrams, long bytes) {}

  private final Map<String, Deque<Sample>> samples = new HashMap<>();
  private final int mostDatagrams;
  private final int mostBytes;

  MembershipPace(Checks.RuleParameters figures, boolean shares) {
    super("datagrams and bytes a second of one member");
    int seats = shares ? SEATS_EACH * (figures.proxies() + KEEPERS) : 0;
    mostDatagrams = MOST_DATAGRAMS + seats;
    // Each names at most all ranks, with a byte and a bit for each.
    mostBytes = MOST_BYTES + seats * (64 + 2 * figures.proxies());
  }

  @Override
  void onEvent(long now, Event event) {
    // Time alone is looked at.
  }

  @Override
  void onTick(long now) {
    for (String name : truth.runningMembers()) {
      long[] sent = truth.datagrams(name);
      Deque<Sample> last = samples.computeIfAbsent(name, n -> new ArrayDeque<>());
      last.add(new Sample(now, sent[0], sent[1]));
      while (now - last.peek().at() > SECOND) {
        last.remove();
      }
      long datagrams = sent[0] - last.peek().datagrams();
      long bytes = sent[1] - last.peek().bytes();
      // What was held up by a stop comes at once after it.
      boolean calm = now - truth.proxyCalmSince(name) > SECOND;
      if (calm && (datagrams > mostDatagrams || bytes > mostBytes)) {
        last.clear();
        reportBreach(
            now, name + " has sent " + datagrams + " datagrams, " + bytes + " bytes, in a second");
      }
    }
  }
}
