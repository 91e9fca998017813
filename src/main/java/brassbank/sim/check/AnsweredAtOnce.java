package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What has been given up is answered at once: once a flow's last allowed attempt has failed, no
 * answer is kept back. (That nothing is kept back before that cannot be seen from outside: a flow
 * may wait for a stream host with room.)
 */
final class AnsweredAtOnce extends Rule {
  /** Both ways of the two connections. */
  private static final long WAYS = 10 * MILLI;

  private record Over(String proxy, long at) {}

  private final Checks.RuleParameters figures;
  private final Map<String, Integer> attempts = new HashMap<>();
  private final Map<String, String> proxies = new HashMap<>();
  private final Map<String, Over> over = new LinkedHashMap<>();

  AnsweredAtOnce(Checks.RuleParameters figures) {
    super("what is given up is answered at once");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.AttemptArrived arrived) {
      attempts.merge(arrived.flow(), 1, Integer::sum);
      proxies.put(arrived.flow(), arrived.proxy());
    } else if (event instanceof Event.AttemptAnswered answered && answered.ends()) {
      failed(now, answered.flow());
    } else if (event instanceof Event.ProxyEnded ended) {
      failed(now, ended.flow());
    } else if (event instanceof Event.FlowAnswered answered) {
      forget(answered.flow());
    } else if (event instanceof Event.ClientLeft left) {
      forget(left.flow());
    } else if (event instanceof Event.ClientSawEnd end) {
      forget(end.flow());
    } else if (event instanceof Event.ProxyKilled killed) {
      over.values().removeIf(o -> o.proxy().equals(killed.proxy()));
    }
  }

  private void failed(long now, String flow) {
    if (attempts.getOrDefault(flow, 0) >= figures.maxAttempts()) {
      over.putIfAbsent(flow, new Over(proxies.get(flow), now));
    }
  }

  private void forget(String flow) {
    attempts.remove(flow);
    proxies.remove(flow);
    over.remove(flow);
  }

  @Override
  void onTick(long now) {
    over.forEach(
        (flow, given) -> {
          long from =
              Math.max(
                  given.at(),
                  Math.max(
                      truth.proxyCalmSince(given.proxy()),
                      Math.max(truth.clientCalmSince(flow), truth.hostCalmSince(flow))));
          if (now > from + truth.slack() + WAYS) {
            reportBreach(now, flow + " has failed " + attempts.get(flow) + " times and waits");
          }
        });
  }
}
