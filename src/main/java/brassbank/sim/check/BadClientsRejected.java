package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A bad client is answered {@code ERR} or {@code BUSY}, or closed, within 3 s of connecting (6 s
 * where it sends much data), and is never served.
 */
final class BadClientsRejected extends Rule {
  private record Bad(String proxy, String kind, long since, long limitMicros) {}

  private final Map<String, Bad> open = new LinkedHashMap<>();

  BadClientsRejected() {
    super("a bad client is answered or closed in time");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.BadConnected bad) {
      long within = bad.within() * MILLI;
      open.put(bad.client(), new Bad(bad.proxy(), bad.kind(), now, within));
    } else if (event instanceof Event.BadSettled settled) {
      Bad bad = open.remove(settled.client());
      String line = settled.line();
      if (bad != null && !line.isEmpty() && !line.matches("(ERR|BUSY)( .*)?")) {
        reportBreach(now, settled.client() + " (" + bad.kind() + ") was answered '" + line + "'");
      }
    } else if (event instanceof Event.ProxyKilled killed) {
      open.values().removeIf(bad -> bad.proxy().equals(killed.proxy()));
    }
  }

  @Override
  void onTick(long now) {
    open.forEach(
        (client, bad) -> {
          long from =
              Math.max(
                  bad.since(),
                  Math.max(
                      groundTruth.clientCalmSince(client),
                      groundTruth.proxyCalmSince(bad.proxy())));
          if (now - from > bad.limitMicros() + groundTruth.slack()) {
            reportBreach(
                now, client + " (" + bad.kind() + ") was neither answered nor closed in time");
          }
        });
  }
}
