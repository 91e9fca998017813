package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Limits the datagrams and bytes that a member sends in a second, whatever it receives. */
final class MembershipTrafficRate extends Rule {
  /**
   * A member sends 10 datagrams in an undisturbed second. Under load it sends updates to three
   * others in each period, answers and notices.
   */
  private static final int MAX_DATAGRAMS = 400;

  /**
   * A member sends 650 bytes in an undisturbed second; when many members change, it sends a whole
   * view and updates.
   */
  private static final int MAX_BYTES = 128 * 1024;

  /**
   * Lease grantors that a member asks every 0.3 s where the fleet shares its budgets; as a grantor
   * it also answers all members.
   */
  private static final int LEASE_GRANTORS = 15;

  private static final int LEASE_DATAGRAMS_PER_PEER = 4;

  private record Sample(long at, long datagrams, long bytes) {}

  private final Map<String, Deque<Sample>> samples = new HashMap<>();
  private final int maxDatagrams;
  private final int maxBytes;

  MembershipTrafficRate(Checks.RuleParameters figures, boolean shares) {
    super("datagrams and bytes a second of one member");
    int leaseDatagrams =
        shares ? LEASE_DATAGRAMS_PER_PEER * (figures.proxies() + LEASE_GRANTORS) : 0;
    maxDatagrams = MAX_DATAGRAMS + leaseDatagrams;
    // Each lease message names at most all ranks, with a byte and a bit for each of them.
    maxBytes = MAX_BYTES + leaseDatagrams * (64 + 2 * figures.proxies());
  }

  @Override
  void onEvent(long now, Event event) {
    // This rule is checked on ticks only.
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
      // Datagrams that a paused process could not send go out together after the pause.
      boolean undisturbed = now - groundTruth.proxyCalmSince(name) > SECOND;
      if (undisturbed && (datagrams > maxDatagrams || bytes > maxBytes)) {
        last.clear();
        reportBreach(
            now, name + " has sent " + datagrams + " datagrams, " + bytes + " bytes, in a second");
      }
    }
  }
}
