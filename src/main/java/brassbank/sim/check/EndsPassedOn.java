package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** A connection that its stream host has ended is ended or moved within a second. */
final class EndsPassedOn extends Rule {
  private static final long WITHIN = SECOND;

  /** Flows that wait or stand, with their proxies. */
  private final Map<String, String> open = new HashMap<>();

  private final Map<String, Long> servedAt = new HashMap<>();
  private final Map<String, Long> endedAt = new LinkedHashMap<>();

  EndsPassedOn() {
    super("an end is passed on within a second");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent sent) {
      open.put(sent.flow(), sent.proxy());
    } else if (event instanceof Event.ClientServed served) {
      servedAt.put(served.flow(), now);
    } else if (event instanceof Event.HostEnded end && end.stood() && !end.silently()) {
      if (open.containsKey(end.flow())) {
        endedAt.put(end.flow(), now);
      }
    } else if (event instanceof Event.AttemptArrived again && !again.givenUp()) {
      // What has ended was an attempt, and another has followed.
      endedAt.remove(again.flow());
    } else if (event instanceof Event.FlowAnswered answered && !answered.line().startsWith("UP")) {
      forget(answered.flow());
    } else if (event instanceof Event.ClientSawEnd end) {
      forget(end.flow());
    } else if (event instanceof Event.ClientLeft left) {
      forget(left.flow());
    } else if (event instanceof Event.ProxyKilled killed) {
      open.forEach(
          (flow, proxy) -> {
            if (proxy.equals(killed.proxy())) {
              endedAt.remove(flow);
            }
          });
    }
  }

  private void forget(String flow) {
    open.remove(flow);
    servedAt.remove(flow);
    endedAt.remove(flow);
  }

  @Override
  void onTick(long now) {
    endedAt.forEach(
        (flow, at) -> {
          if (!servedAt.containsKey(flow)) {
            return;
          }
          long from =
              Math.max(
                  Math.max(Math.max(at, servedAt.get(flow)), truth.proxyCalmSince(open.get(flow))),
                  Math.max(truth.clientCalmSince(flow), truth.hostCalmSince(flow)));
          if (now - from > WITHIN + truth.slack()) {
            reportBreach(
                now, flow + " was ended by its host at " + at / 1e6 + " s and still stands");
          }
        });
  }
}
