package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/** No flow has two attempts in flight, nor an attempt beside its established connection. */
final class SingleAttemptInFlight extends Rule {
  /** The host of each flow's attempt in flight or established connection. */
  private final Map<String, String> hostOfFlow = new HashMap<>();

  SingleAttemptInFlight() {
    super("never two attempts out");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.AttemptArrived arrived && !arrived.givenUp()) {
      String other = hostOfFlow.put(arrived.flow(), arrived.host());
      if (other != null) {
        reportBreach(
            now, arrived.flow() + " is sent to " + arrived.host() + " while out at " + other);
      }
    } else if (event instanceof Event.AttemptAnswered answered && answered.ends()) {
      hostOfFlow.remove(answered.flow(), answered.host());
    } else if (event instanceof Event.HostEnded ended) {
      hostOfFlow.remove(ended.flow(), ended.host());
    } else if (event instanceof Event.ProxyEnded ended) {
      hostOfFlow.remove(ended.flow(), ended.host());
    }
  }
}
