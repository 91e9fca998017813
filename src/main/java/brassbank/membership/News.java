package brassbank.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is to be passed on: for each member that something has been heard of, how often it was told.
 * What is told is what is known at the time of the telling.
 */
final class News {
  private static final class Item {
    private final Entry about;
    private int told;

    Item(Entry about) {
      this.about = about;
    }
  }

  private static final int ROOM = 64;

  private final Map<String, Item> items = new HashMap<>();

  /** The least told first, by and large: what is new comes first, what was told goes last. */
  private final Deque<Item> order = new ArrayDeque<>();

  /** It is news again, however often it was told. */
  void of(Entry entry) {
    Item item = new Item(entry);
    items.put(entry.name, item);
    order.addFirst(item);
    // What was replaced stays in the order until it is met, but not without bound.
    if (order.size() > 2 * items.size() + ROOM) {
      order.removeIf(one -> items.get(one.about.name) != one);
    }
  }

  void forget(Entry entry) {
    items.remove(entry.name);
  }

  int size() {
    return items.size();
  }

  boolean isEmpty() {
    return items.isEmpty();
  }

  /**
   * As much as goes into so many bytes, each now told once more; what was told {@code most} times
   * is no longer news.
   */
  void take(int room, int most, long now, List<Update> into) {
    int left = room;
    List<Item> again = new ArrayList<>();
    while (!order.isEmpty()) {
      if (items.get(order.peek().about.name) != order.peek()) {
        order.poll();
        continue;
      }
      Update update = order.peek().about.update(now);
      if (update.sizeBytes() > left || into.size() >= Message.MAX_UPDATES) {
        break;
      }
      Item item = order.poll();
      left -= update.sizeBytes();
      into.add(update);
      if (++item.told < most) {
        again.add(item);
      } else {
        items.remove(item.about.name);
      }
    }
    order.addAll(again);
  }

  /** What is news, and how often it was told. */
  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (Item item : order) {
      if (items.get(item.about.name) == item) {
        text.append(item.about.name).append(item.told).append(',');
      }
    }
    return text.toString();
  }
}
