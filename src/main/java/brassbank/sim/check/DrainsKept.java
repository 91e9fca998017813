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
final class DrainsKept extends Rule {
  private static final long COUNTS_AS_TOLD = 6 * SECOND;
  private static final long AFTER_HANGUP = 4 * SECOND;

  private record Pair(String proxy, String host) {}

  private final Checks.RuleParameters figures;
  private final Map<Pair, Long> toldAt = new HashMap<>();
  private final Map<String, Long> leavesSince = new LinkedHashMap<>();
  private final Map<String, Long> startedAt = new LinkedHashMap<>();
  private final Map<String, Long> hungUpAt = new HashMap<>();
  private final Set<String> resumed = new LinkedHashSet<>();

  DrainsKept(Checks.RuleParameters figures) {
    super("nothing to a draining or gone host");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.ProxyStarted started) {
      startedAt.put(started.proxy(), now);
      toldAt.keySet().removeIf(pair -> pair.proxy().equals(started.proxy()));
    } else if (event instanceof Event.ProxyHungUp hungUp) {
      hungUpAt.put(hungUp.proxy(), now);
    } else if (event instanceof Event.Listed listed) {
      if (listed.status().equals("SERVING")) {
        leavesSince.remove(listed.host());
      } else {
        leavesSince.putIfAbsent(listed.host(), now);
      }
    } else if (event instanceof Event.Told told) {
      Pair pair = new Pair(told.proxy(), told.host());
      if (told.status().equals("SERVING")) {
        toldAt.remove(pair);
      } else {
        toldAt.putIfAbsent(pair, now);
      }
    } else if (event instanceof Event.AttemptArrived arrived) {
      judge(now, arrived);
    }
  }

  private void judge(long now, Event.AttemptArrived arrived) {
    Long told = toldAt.get(new Pair(arrived.proxy(), arrived.host()));
    if (told != null && arrived.firstByteAt() > told + figures.drainGrace() + truth.slack()) {
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
    leavesSince.forEach(
        (host, since) ->
            startedAt.forEach(
                (proxy, started) -> {
                  long reachable =
                      Math.max(Math.max(since, started), truth.discoverySoundSince(proxy));
                  long hungUp = hungUpAt.getOrDefault(proxy, -1L);
                  boolean told =
                      hungUp > reachable
                          ? now - hungUp >= AFTER_HANGUP
                          : now - reachable >= COUNTS_AS_TOLD;
                  if (told) {
                    toldAt.putIfAbsent(new Pair(proxy, host), now);
                  }
                }));
  }
}
