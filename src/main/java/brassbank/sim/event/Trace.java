package brassbank.sim.event;

import brassbank.sim.time.Agenda;
import java.util.ArrayList;
import java.util.List;

/** Hands each event to all who listen, in the order in which they came to listen. */
public final class Trace {
  /** Who hears of each event. */
  public interface Listener {
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

  public void publish(Event event) {
    for (Listener listener : listeners) {
      listener.onEvent(agenda.now(), event);
    }
  }
}
