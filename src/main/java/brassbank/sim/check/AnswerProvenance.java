package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * A client is answered {@code UP} only with the exact line that a stream host gave for its flow,
 * and otherwise {@code BUSY} or {@code ERR}. A stream host is sent nothing that it cannot read.
 */
final class AnswerProvenance extends Rule {
  private final Map<String, String> hostAnswers = new HashMap<>();

  AnswerProvenance() {
    super("nothing that no stream host produced");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.AttemptAnswered answered) {
      hostAnswers.put(answered.flow(), answered.line());
    } else if (event instanceof Event.FlowAnswered received) {
      String line = received.line();
      boolean refusal = line.matches("BUSY( \\d+)?|ERR( .*)?");
      if (!refusal && !line.equals(hostAnswers.get(received.flow()))) {
        reportBreach(
            now, received.flow() + " was answered '" + line + "', which no stream host has sent");
      }
    } else if (event instanceof Event.HostCannotRead unread) {
      reportBreach(now, unread.host() + " was sent '" + unread.line() + "' by " + unread.proxy());
    }
  }
}
