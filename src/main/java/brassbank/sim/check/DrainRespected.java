package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Nothing is sent to a stream host later than the grace after the proxy was told that it drains or
 * is gone. Told is what discovery has written to the proxy, and what it has had to tell for 6 s
 * while it worked and could be reached (4 s after a SIGHUP).
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
    } else if (event instanceof Event.Told told) {
      Pair pair = new Pair(told.proxy(), told.host());
      if (told.status().equals("SERVING")) {
        reportedAt.remove(pair);
      } else {
        reportedAt.putIfAbsent(pair, now);
      }
    } else if (event instanceof Event.AttemptArrived arrived) {
      checkAttempt(now, arrived);
    }
  }

  private void checkAttempt(long now, Event.AttemptArrived arrived) {
    Long told = reportedAt.get(new Pair(arrived.proxy(), arrived.host()));
    if (told != null && arrived.firstByteAt() > told + figures.drainGrace() + groundTruth.slack()) {
      long late = (arrived.firstByteAt() - told) / MILLI;
      reportBreach(
          now,
          arrived.flow()
              + " was sent to "
              + arrived.host()
              + " "
              + late
              + " ms after "
              + arrived.proxy()
              + " was told that it leaves");
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
                  boolean told =
                      hungUp > reachable
                          ? now - hungUp >= ASSUMED_AFTER_HANGUP_MICROS
                          : now - reachable >= ASSUMED_REPORTED_MICROS;
                  if (told) {
                    reportedAt.putIfAbsent(new Pair(proxy, host), now);
                  }
                }));
  }
}
