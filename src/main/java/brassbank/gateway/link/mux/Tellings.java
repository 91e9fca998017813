package brassbank.gateway.link.mux;

import brassbank.gateway.link.frame.Room;
import java.util.LinkedHashMap;
import java.util.Map;

/** Tellings of room that are to be sent: of each class the latest, and of so many classes. */
final class Tellings {
  static final int MOST_CLASSES = 64;

  private record Told(int room, long generation, long at) {}

  private final Map<String, Told> waiting = new LinkedHashMap<>();

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /**
   * @param at when the figure was right
   * @throws IllegalArgumentException for more classes than there may be
   */
  void add(String flowClass, int room, long generation, long at) {
    if (waiting.size() >= MOST_CLASSES && !waiting.containsKey(flowClass)) {
      throw new IllegalArgumentException("more than " + MOST_CLASSES + " classes");
    }
    waiting.put(flowClass, new Told(room, generation, at));
  }

  /** The one that has waited longest, as a frame made now. */
  Room next(long now, long stamp) {
    Map.Entry<String, Told> first = waiting.entrySet().iterator().next();
    waiting.remove(first.getKey());
    Told told = first.getValue();
    long age = Math.min(Integer.MAX_VALUE, Math.max(0, now - told.at) / 1_000);
    return new Room(first.getKey(), told.room, told.generation, (int) age, stamp);
  }
}
