package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** What a member sends in a second is bounded, whatever it hears. */
final class MembershipTrafficRate extends Rule {
  /** 10 in a calm second; news to three others on each beat, answers, notices. */
  private static final int MAX_DATAGRAMS = 400;

  /** 650 bytes in a calm second; a whole view and news in a storm. */
  private static final int MAX_BYTES = 128 * 1024;

  /** With shares besides: it asks fifteen keepers, or answers all, each 0.3 s. */
  private static final int LEASE_GRANTORS = 15;

  private static final int LEASE_DATAGRAMS_PER_PEER = 4;

  private record Sample(long at, long datagrams, long bytes) {}

  private final Map<String, Deque<Sample>> samples = new HashMap<>();
  private final int maxDatagrams;
  private final int maxBytes;

  MembershipTrafficRate(Checks.RuleParameters figures, boolean shares) {
    super("datagrams and bytes a second of one member");
    int seats = shares ? LEASE_DATAGRAMS_PER_PEER * (figures.proxies() + LEASE_GRANTORS) : 0;
    maxDatagrams = MAX_DATAGRAMS + seats;
    // Each names at most all ranks, with a byte and a bit for each.
    maxBytes = MAX_BYTES + seats * (64 + 2 * figures.proxies());
  }

  @Override
  void onEvent(long now, Event event) {
    // Time alone is looked at.
  }

  @Override
  void onTick(long now) {
    for (String name : groundTruth.runningMembers()) {
      long[] sent = groundTruth.datagrams(name);
      Deque<Sample> last = samples.computeIfAbsent(name, n -> new ArrayDeque<>());
      last.add(new Sample(now, sent[0], sent[1]));
      while (now - last.peek().at() > SECOND) {
        last.remove();
      }
      long datagrams = sent[0] - last.peek().datagrams();
      long bytes = sent[1] - last.peek().bytes();
      // What was held up by a stop comes at once after it.
      boolean calm = now - groundTruth.proxyCalmSince(name) > SECOND;
      if (calm && (datagrams > maxDatagrams || bytes > maxBytes)) {
        last.clear();
        reportBreach(
            now, name + " has sent " + datagrams + " datagrams, " + bytes + " bytes, in a second");
      }
    }
  }
}
