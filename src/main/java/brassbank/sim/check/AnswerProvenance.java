package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * A client is told {@code UP} only with the very line that a stream host gave for its flow, and
 * otherwise {@code BUSY} or {@code ERR}; and a stream host is sent nothing that it cannot read.
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
    } else if (event instanceof Event.FlowAnswered told) {
      String line = told.line();
      boolean refusal = line.matches("BUSY( \\d+)?|ERR( .*)?");
      if (!refusal && !line.equals(hostAnswers.get(told.flow()))) {
        reportBreach(now, told.flow() + " was told '" + line + "', which no stream host has said");
      }
    } else if (event instanceof Event.HostCannotRead unread) {
      reportBreach(now, unread.host() + " was sent '" + unread.line() + "' by " + unread.proxy());
    }
  }
}
