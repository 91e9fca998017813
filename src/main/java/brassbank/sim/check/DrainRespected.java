package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Nothing is sent to a stream host later than the grace period after its drain or removal was
 * reported to the proxy. It counts as reported once discovery has written it to the proxy, or once
 * discovery has known it for 6 s while it worked and could be reached by the proxy (4 s after a
 * SIGHUP).
 */
final class DrainRespected extends Rule {
  private static final long ASSUMED_REPORTED_MICROS = 6 * SECOND;
  private static final long ASSUMED_AFTER_HANGUP_MICROS = 4 * SECOND;

  private record Pair(String proxy, String host) {}

  private final Checks.RuleParameters figures;
  private final Map<Pair, Long> reportedAt = new HashMap<>();
  private final Map<String, Long> unavailableSince = new LinkedHashMap<>();
  private final Map<String, Long> startedAt = new LinkedHashMap<>();
  private final Map<String, Long> hungUpAt = new HashMap<>();
  private final Set<String> resumed = new LinkedHashSet<>();

  DrainRespected(Checks.RuleParameters figures) {
    super("nothing to a draining or gone host");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.ProxyStarted started) {
      startedAt.put(started.proxy(), now);
      reportedAt.keySet().removeIf(pair -> pair.proxy().equals(started.proxy()));
    } else if (event instanceof Event.ProxyHungUp hungUp) {
      hungUpAt.put(hungUp.proxy(), now);
    } else if (event instanceof Event.Listed listed) {
      if (listed.status().equals("SERVING")) {
        unavailableSince.remove(listed.host());
      } else {
        unavailableSince.putIfAbsent(listed.host(), now);
      }
    } else if (event instanceof Event.Told report) {
      Pair pair = new Pair(report.proxy(), report.host());
      if (report.status().equals("SERVING")) {
        reportedAt.remove(pair);
      } else {
        reportedAt.putIfAbsent(pair, now);
      }
    } else if (event instanceof Event.AttemptArrived arrived) {
      checkAttempt(now, arrived);
    }
  }

  private void checkAttempt(long now, Event.AttemptArrived arrived) {
    Long reported = reportedAt.get(new Pair(arrived.proxy(), arrived.host()));
    if (reported != null
        && arrived.firstByteAt() > reported + figures.drainGrace() + groundTruth.slack()) {
      long late = (arrived.firstByteAt() - reported) / MILLI;
      reportBreach(
          now,
          arrived.flow()
              + " was sent to "
              + arrived.host()
              + " "
              + late
              + " ms after "
              + arrived.proxy()
              + " had received the report of its drain or removal");
    }
  }

  @Override
  void onTick(long now) {
    unavailableSince.forEach(
        (host, since) ->
            startedAt.forEach(
                (proxy, started) -> {
                  long reachable =
                      Math.max(Math.max(since, started), groundTruth.discoverySoundSince(proxy));
                  long hungUp = hungUpAt.getOrDefault(proxy, -1L);
                  boolean isAssumed =
                      hungUp > reachable
                          ? now - hungUp >= ASSUMED_AFTER_HANGUP_MICROS
                          : now - reachable >= ASSUMED_REPORTED_MICROS;
                  if (isAssumed) {
                    reportedAt.putIfAbsent(new Pair(proxy, host), now);
                  }
                }));
  }
}
