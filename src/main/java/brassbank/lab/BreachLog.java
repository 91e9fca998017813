package brassbank.lab;

import brassbank.sim.check.Breach;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Selects the lines of the proxies' logs that may explain a breach: those of the proxies that the
 * breach names, or whose flows it names, around its time.
 */
final class BreachLog {
  private static final Pattern PROXY = Pattern.compile("\\bn\\d+\\b");
  private static final Pattern FLOW = Pattern.compile("\\bc\\d+\\.\\d+\\b");
  private static final long WINDOW_BEFORE_MICROS = 3_000_000;
  private static final long WINDOW_AFTER_MICROS = 500_000;
  private static final int MAX_LINES = 40;

  private BreachLog() {}

  /**
   * Returns the last lines, formatted, of the proxies and the time window of a breach; of all
   * proxies where the breach names none.
   */
  static List<String> lines(
      Breach breach, Collection<Lab.LogLine> all, ClientStatistics statistics) {
    Set<String> proxies = new TreeSet<>();
    Matcher named = PROXY.matcher(breach.description());
    while (named.find()) {
      proxies.add(named.group());
    }
    Matcher flow = FLOW.matcher(breach.description());
    while (flow.find()) {
      String proxy = statistics.proxyOf(flow.group());
      if (proxy != null) {
        proxies.add(proxy);
      }
    }
    List<String> lines = new ArrayList<>();
    for (Lab.LogLine line : all) {
      if ((proxies.isEmpty() || proxies.contains(line.proxy()))
          && line.atMicros() >= breach.atMicros() - WINDOW_BEFORE_MICROS
          && line.atMicros() <= breach.atMicros() + WINDOW_AFTER_MICROS) {
        lines.add(
            String.format(
                Locale.ROOT,
                "%11.6f %s %s",
                Lab.seconds(line.atMicros()),
                line.proxy(),
                line.text()));
      }
    }
    return lines.subList(Math.max(0, lines.size() - MAX_LINES), lines.size());
  }
}
