package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Once the last allowed attempt of a flow has failed, its client is answered without delay. Whether
 * an answer is delayed before that cannot be seen from outside, since a flow may wait for a stream
 * host with capacity.
 */
final class PromptFinalAnswer extends Rule {
  /** Round trip over the client's and the stream host's connection. */
  private static final long TRANSIT_MICROS = 10 * MILLI;

  private record Exhausted(String proxy, long at) {}

  private final Checks.RuleParameters figures;
  private final Map<String, Integer> attempts = new HashMap<>();
  private final Map<String, String> proxies = new HashMap<>();
  private final Map<String, Exhausted> exhausted = new LinkedHashMap<>();

  PromptFinalAnswer(Checks.RuleParameters figures) {
    super("what is given up is answered at once");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.AttemptArrived arrived) {
      attempts.merge(arrived.flow(), 1, Integer::sum);
      proxies.put(arrived.flow(), arrived.proxy());
    } else if (event instanceof Event.AttemptAnswered answered && answered.ends()) {
      attemptFailed(now, answered.flow());
    } else if (event instanceof Event.ProxyEnded ended) {
      attemptFailed(now, ended.flow());
    } else if (event instanceof Event.FlowAnswered answered) {
      forget(answered.flow());
    } else if (event instanceof Event.ClientLeft left) {
      forget(left.flow());
    } else if (event instanceof Event.ClientSawEnd end) {
      forget(end.flow());
    } else if (event instanceof Event.ProxyKilled killed) {
      exhausted.values().removeIf(o -> o.proxy().equals(killed.proxy()));
    }
  }

  private void attemptFailed(long now, String flow) {
    if (attempts.getOrDefault(flow, 0) >= figures.maxAttempts()) {
      exhausted.putIfAbsent(flow, new Exhausted(proxies.get(flow), now));
    }
  }

  private void forget(String flow) {
    attempts.remove(flow);
    proxies.remove(flow);
    exhausted.remove(flow);
  }

  @Override
  void onTick(long now) {
    exhausted.forEach(
        (flow, failure) -> {
          long from =
              Math.max(
                  failure.at(),
                  Math.max(
                      groundTruth.proxyCalmSince(failure.proxy()),
                      Math.max(
                          groundTruth.clientCalmSince(flow), groundTruth.hostCalmSince(flow))));
          if (now > from + groundTruth.slack() + TRANSIT_MICROS) {
            reportBreach(
                now,
                flow
                    + " has failed "
                    + attempts.get(flow)
                    + " times and still waits for its answer");
          }
        });
  }
}
