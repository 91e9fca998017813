package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * Of the processes that share a proxy's listening socket, only one accepts connections at a time:
 * the new process only after it has taken over, and its predecessor not after that.
 */
final class SingleAcceptor extends Rule {
  private final Map<String, Long> acceptors = new HashMap<>();

  SingleAcceptor() {
    super("one process takes the connections");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.DoorHeld held) {
      acceptors.put(held.proxy(), held.process());
    } else if (event instanceof Event.DoorUsed used) {
      Long holder = acceptors.get(used.proxy());
      if (holder == null || holder != used.process()) {
        reportBreach(
            now,
            used.proxy()
                + ": process "
                + used.process()
                + " accepts connections, and only "
                + holder
                + " may");
      }
    }
  }
}
