package brassbank.route;

import java.util.EnumMap;
import java.util.Map;

/** Where a gateway's parts count what {@link Figures} tells. */
final class Counts {
  final Map<Reason, Long> routes = new EnumMap<>(Reason.class);
  final Map<Message.End, Long> ends = new EnumMap<>(Message.End.class);
  final Map<Message.End, Long> refusals = new EnumMap<>(Message.End.class);
  long served;
  long guests;
  long restarts;
  long proved;
  long unproved;
  long leaseWait;
  long voids;
  long losses;

  static <K> void add(Map<K, Long> counts, K kind) {
    counts.merge(kind, 1L, Long::sum);
  }

  Figures figures(int crossingsOut, int guestsHeld, int suppressed) {
    return new Figures(
        java.util.Collections.unmodifiableMap(new EnumMap<>(routes)),
        java.util.Collections.unmodifiableMap(new EnumMap<>(ends)),
        java.util.Collections.unmodifiableMap(new EnumMap<>(refusals)),
        served,
        guests,
        crossingsOut,
        guestsHeld,
        restarts,
        proved,
        unproved,
        leaseWait,
        voids,
        losses,
        suppressed);
  }
}
