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
 * On an established connection no byte is lost, invented or reordered, and no line is delayed for
 * more than a second.
 */
final class LineIntegrity extends Rule {
  private static final long MAX_HOLD_MICROS = SECOND;

  private record Line(long sentAt, String text) {}

  private record Direction(String flow, boolean byClient) {}

  private final Map<Direction, Deque<Line>> unread = new LinkedHashMap<>();
  private final Map<String, String> proxies = new HashMap<>();

  /** Directions whose receiving end is closed: lines still sent there may be lost. */
  private final Set<Direction> closed = new HashSet<>();

  LineIntegrity() {
    super("lines neither lost, invented, reordered nor held");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.LineSent sent) {
      Direction direction = new Direction(sent.flow(), sent.byClient());
      if (!closed.contains(direction)) {
        unread.computeIfAbsent(direction, d -> new ArrayDeque<>()).add(new Line(now, sent.line()));
      }
    } else if (event instanceof Event.LineArrived arrived) {
      lineArrived(now, arrived);
    } else if (event instanceof Event.FlowSent sent) {
      proxies.put(sent.flow(), sent.proxy());
    } else if (event instanceof Event.ClientSawEnd end) {
      Deque<Line> undelivered = unread.get(new Direction(end.flow(), false));
      if (end.served()
          && !end.reset()
          && end.byHost()
          && undelivered != null
          && !undelivered.isEmpty()) {
        reportBreach(
            now, end.flow() + " ended and lost '" + abbreviate(undelivered.peek().text()) + "'");
      }
      forget(end.flow());
    } else if (event instanceof Event.ClientLeft left) {
      forget(left.flow());
    } else if (event instanceof Event.ProxyEnded ended && ended.stood()) {
      forget(new Direction(ended.flow(), true));
    } else if (event instanceof Event.HostEnded ended && ended.stood()) {
      forget(new Direction(ended.flow(), true));
      if (ended.reset()) {
        forget(new Direction(ended.flow(), false));
      }
    }
  }

  private void forget(String flow) {
    forget(new Direction(flow, true));
    forget(new Direction(flow, false));
    proxies.remove(flow);
  }

  private void forget(Direction direction) {
    closed.add(direction);
    unread.remove(direction);
  }

  private void lineArrived(long now, Event.LineArrived arrived) {
    Deque<Line> expected = unread.get(new Direction(arrived.flow(), arrived.byClient()));
    if (expected == null) {
      // The sending end may have closed meanwhile; then its lines are no longer tracked.
      if (!closed.contains(new Direction(arrived.flow(), arrived.byClient()))) {
        reportBreach(
            now, arrived.flow() + ": '" + abbreviate(arrived.line()) + "' came and was not sent");
      }
      return;
    }
    Line line = expected.poll();
    if (expected.isEmpty()) {
      unread.remove(new Direction(arrived.flow(), arrived.byClient()));
    }
    if (line == null || !line.text().equals(arrived.line())) {
      reportBreach(
          now,
          arrived.flow()
              + ": '"
              + abbreviate(arrived.line())
              + "' came where "
              + (line == null ? "nothing" : "'" + abbreviate(line.text()) + "'")
              + " was sent");
    } else {
      checkHold(now, arrived.flow(), line);
    }
  }

  private void checkHold(long now, String flow, Line line) {
    long from =
        Math.max(
            Math.max(line.sentAt(), groundTruth.proxyCalmSince(proxies.getOrDefault(flow, ""))),
            Math.max(groundTruth.clientCalmSince(flow), groundTruth.hostCalmSince(flow)));
    if (now - from > MAX_HOLD_MICROS + groundTruth.slack()) {
      reportBreach(
          now,
          flow
              + ": '"
              + abbreviate(line.text())
              + "' was held for "
              + (now - from) / MILLI
              + " ms");
    }
  }

  private static String abbreviate(String line) {
    return line.length() <= 40 ? line : line.substring(0, 40) + "... (" + line.length() + ")";
  }

  @Override
  void onTick(long now) {
    unread.forEach(
        (direction, lines) -> {
          if (now - lines.peek().sentAt() > MAX_HOLD_MICROS + groundTruth.slack()) {
            checkHold(now, direction.flow(), lines.peek());
          }
        });
  }
}
