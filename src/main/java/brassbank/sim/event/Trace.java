package brassbank.sim.event;

import brassbank.sim.time.Agenda;
import java.util.ArrayList;
import java.util.List;

/** Passes each event to all listeners, in the order in which they were added. */
public final class Trace {
  /** Receives every event of a run. */
  public interface Listener {
    /** Receives an event; {@code now} is the virtual time in microseconds. */
    void onEvent(long now, Event event);
  }

  private final Agenda agenda;
  private final List<Listener> listeners = new ArrayList<>();

  public Trace(Agenda agenda) {
    this.agenda = agenda;
  }

  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /** Passes an event to all listeners, at the current virtual time. */
  public void publish(Event event) {
    for (Listener listener : listeners) {
      listener.onEvent(agenda.now(), event);
    }
  }
}
