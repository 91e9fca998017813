package brassbank.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The updates to disseminate: for each changed member, how often its entry has been sent. The
 * content of an update is taken from the entry when it is sent, so that it is always the latest.
 * Not thread-safe.
 */
final class UpdateQueue {
  private static final class Item {
    private final MemberEntry entry;
    private int transmissions;

    Item(MemberEntry entry) {
      this.entry = entry;
    }
  }

  /** Replaced items that the queue may hold, in addition to twice the number of current ones. */
  private static final int MIN_STALE_ITEMS = 64;

  private final Map<String, Item> items = new HashMap<>();

  /**
   * Items roughly by ascending number of transmissions: new ones are added first, sent ones last.
   * Replaced items are skipped.
   */
  private final Deque<Item> order = new ArrayDeque<>();

  /** Queues a member's entry, with no transmissions so far. */
  void enqueue(MemberEntry entry) {
    Item item = new Item(entry);
    items.put(entry.name, item);
    order.addFirst(item);
    // Replaced items stay in the deque until they reach its head; this bounds their number.
    if (order.size() > 2 * items.size() + MIN_STALE_ITEMS) {
      order.removeIf(queued -> items.get(queued.entry.name) != queued);
    }
  }

  void remove(MemberEntry entry) {
    items.remove(entry.name);
  }

  int size() {
    return items.size();
  }

  boolean isEmpty() {
    return items.isEmpty();
  }

  /**
   * Adds the next updates to a message and counts one transmission of each. An update that has been
   * sent often enough leaves the queue.
   *
   * @param maxBytes the space for updates in the message
   * @param maxTransmissions the number of transmissions after which an update leaves the queue
   * @param now the current time, in microseconds
   * @param into receives the updates
   */
  void drainInto(int maxBytes, int maxTransmissions, long now, List<Update> into) {
    int freeBytes = maxBytes;
    List<Item> sent = new ArrayList<>();
    while (!order.isEmpty()) {
      if (items.get(order.peek().entry.name) != order.peek()) {
        order.poll();
        continue;
      }
      Update update = order.peek().entry.toUpdate(now);
      if (update.sizeBytes() > freeBytes || into.size() >= Message.MAX_UPDATES) {
        break;
      }
      Item item = order.poll();
      freeBytes -= update.sizeBytes();
      into.add(update);
      if (++item.transmissions < maxTransmissions) {
        sent.add(item);
      } else {
        items.remove(item.entry.name);
      }
    }
    order.addAll(sent);
  }

  /** Returns the queued names with their transmissions, for the model check. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (Item item : order) {
      if (items.get(item.entry.name) == item) {
        text.append(item.entry.name).append(item.transmissions).append(',');
      }
    }
    return text.toString();
  }
}
