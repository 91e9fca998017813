package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * No client is left that no proxy holds and no one has told: when a proxy has ended, each of its
 * clients sees the end of its connection, at the latest with its next line, which comes every 2 s.
 */
final class NobodyLeft extends Rule {
  private static final long WITHIN = 3 * SECOND;

  /** Which proxy each flow was sent to. */
  private final Map<String, String> sent = new HashMap<>();

  /** Flows that stand, with their proxies; who waits for an answer knows himself how long. */
  private final Map<String, String> open = new HashMap<>();

  /** Those whose proxy has ended, and when. */
  private final Map<String, Long> left = new LinkedHashMap<>();

  NobodyLeft() {
    super("no client is left that no proxy holds");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent flow) {
      sent.put(flow.flow(), flow.proxy());
    } else if (event instanceof Event.ClientServed client) {
      open.put(client.flow(), sent.get(client.flow()));
    } else if (event instanceof Event.ClientSawEnd end) {
      gone(end.flow());
    } else if (event instanceof Event.ClientLeft client) {
      gone(client.flow());
    } else if (event instanceof Event.ProxyKilled killed && !killed.overdue()) {
      ended(now, killed.proxy());
    } else if (event instanceof Event.ProxyExited exited) {
      ended(now, exited.proxy());
    }
  }

  private void gone(String flow) {
    sent.remove(flow);
    open.remove(flow);
    left.remove(flow);
  }

  private void ended(long now, String proxy) {
    open.forEach(
        (flow, at) -> {
          if (at.equals(proxy)) {
            left.put(flow, now);
          }
        });
  }

  @Override
  void onTick(long now) {
    left.forEach(
        (flow, since) -> {
          long from = Math.max(since, truth.clientCalmSince(flow));
          if (now - from > WITHIN + truth.slack()) {
            reportBreach(
                now,
                flow
                    + " still stands at "
                    + open.get(flow)
                    + ", which ended at "
                    + since / 1e6
                    + " s");
          }
        });
  }
}
