package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * On a standing connection no byte is lost, invented or reordered, and no line is held for over a
 * second.
 */
final class LinesIntact extends Rule {
  private static final long LONGEST_HELD = SECOND;

  private record Line(long sentAt, String text) {}

  private record Way(String flow, boolean byClient) {}

  private final Map<Way, Deque<Line>> ways = new LinkedHashMap<>();
  private final Map<String, String> proxies = new HashMap<>();

  /** Ways whose further end is gone: what is still sent there may be lost. */
  private final Set<Way> over = new HashSet<>();

  LinesIntact() {
    super("lines neither lost, invented, reordered nor held");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.LineSent sent) {
      Way way = new Way(sent.flow(), sent.byClient());
      if (!over.contains(way)) {
        ways.computeIfAbsent(way, w -> new ArrayDeque<>()).add(new Line(now, sent.line()));
      }
    } else if (event instanceof Event.LineArrived arrived) {
      arrived(now, arrived);
    } else if (event instanceof Event.FlowSent sent) {
      proxies.put(sent.flow(), sent.proxy());
    } else if (event instanceof Event.ClientSawEnd end) {
      Deque<Line> left = ways.get(new Way(end.flow(), false));
      if (end.served() && !end.reset() && end.byHost() && left != null && !left.isEmpty()) {
        reportBreach(now, end.flow() + " ended and lost '" + shown(left.peek().text()) + "'");
      }
      forget(end.flow());
    } else if (event instanceof Event.ClientLeft left) {
      forget(left.flow());
    } else if (event instanceof Event.ProxyEnded ended && ended.stood()) {
      forget(new Way(ended.flow(), true));
    } else if (event instanceof Event.HostEnded ended && ended.stood()) {
      forget(new Way(ended.flow(), true));
      if (ended.reset()) {
        forget(new Way(ended.flow(), false));
      }
    }
  }

  private void forget(String flow) {
    forget(new Way(flow, true));
    forget(new Way(flow, false));
    proxies.remove(flow);
  }

  private void forget(Way way) {
    over.add(way);
    ways.remove(way);
  }

  private void arrived(long now, Event.LineArrived arrived) {
    Deque<Line> expected = ways.get(new Way(arrived.flow(), arrived.byClient()));
    if (expected == null) {
      // The other end may have left meanwhile: then what it sent is no longer kept.
      if (!over.contains(new Way(arrived.flow(), arrived.byClient()))) {
        reportBreach(
            now, arrived.flow() + ": '" + shown(arrived.line()) + "' came and was not sent");
      }
      return;
    }
    Line line = expected.poll();
    if (expected.isEmpty()) {
      ways.remove(new Way(arrived.flow(), arrived.byClient()));
    }
    if (line == null || !line.text().equals(arrived.line())) {
      reportBreach(
          now,
          arrived.flow()
              + ": '"
              + shown(arrived.line())
              + "' came where "
              + (line == null ? "nothing" : "'" + shown(line.text()) + "'")
              + " was sent");
    } else {
      held(now, arrived.flow(), line);
    }
  }

  private void held(long now, String flow, Line line) {
    long from =
        Math.max(
            Math.max(line.sentAt(), truth.proxyCalmSince(proxies.getOrDefault(flow, ""))),
            Math.max(truth.clientCalmSince(flow), truth.hostCalmSince(flow)));
    if (now - from > LONGEST_HELD + truth.slack()) {
      reportBreach(
          now,
          flow + ": '" + shown(line.text()) + "' was held for " + (now - from) / MILLI + " ms");
    }
  }

  private static String shown(String line) {
    return line.length() <= 40 ? line : line.substring(0, 40) + "... (" + line.length() + ")";
  }

  @Override
  void onTick(long now) {
    ways.forEach(
        (way, lines) -> {
          if (now - lines.peek().sentAt() > LONGEST_HELD + truth.slack()) {
            held(now, way.flow(), lines.peek());
          }
        });
  }
}
