package brassbank.decide;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The flows that this process owes an answer or whose connections stand, in the order in which they
 * came. A flow is entered once and leaves once, by {@link #close}. For one thread at a time.
 */
final class Ledger {
  private final Map<Long, Entry> entries = new LinkedHashMap<>();

  void enter(Entry entry) {
    entries.put(entry.flow.id(), entry);
  }

  /** Null where the flow is not open. */
  Entry get(long flow) {
    return entries.get(flow);
  }

  /** Null where no connection of the flow stands. */
  Entry standing(long flow) {
    Entry entry = entries.get(flow);
    return entry != null && entry.stage == Entry.Stage.UP ? entry : null;
  }

  /** The one place where a flow leaves. */
  void close(Entry entry) {
    entries.remove(entry.flow.id());
  }

  int size() {
    return entries.size();
  }

  /** All that are open; a copy. */
  List<Entry> all() {
    return List.copyOf(entries.values());
  }

  /** Who may be sent away: those that wait first, since nobody serves them here. */
  List<Entry> toSendAway() {
    List<Entry> going = new ArrayList<>(entries.size());
    entries.values().stream().filter(e -> e.stage == Entry.Stage.HELD).forEach(going::add);
    entries.values().stream().filter(e -> e.stage == Entry.Stage.UP).forEach(going::add);
    return going;
  }

  /** The connections that stand. */
  List<EstablishedConnection> standing() {
    List<EstablishedConnection> standing = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.stage == Entry.Stage.UP) {
        standing.add(entry.asStanding());
      }
    }
    return standing;
  }
}
