package brassbank.route;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * What other sites have told of their room, and what this gateway has sent there that the telling
 * did not know of. Of a gateway's tellings the newest generation counts, whichever link brings it
 * and in whatever order; it is as old as the proof that it carries: the echo of a stamp that this
 * process made. So a telling that lay in a silent link's buffer is not fresh when it comes out.
 *
 * <p>Of the room told each of the gateways that share it takes its part only. With k of them, all
 * with tellings of their own age, no more is sent than {@code 2 - 1/k} times the room, and one flow
 * each: docs/gateway.md. Times are microseconds. For one thread at a time.
 */
final class Rooms {
  /** A telling counts for so long: six of them could have come, and hosts' reports are as old. */
  static final long FRESH = 1_500_000;

  /** By then a site's load reports show what came through any of its gateways. */
  static final long SHOWN = 2_000_000;

  /** Flows sent and not yet shown, for one site; more is a flood. */
  private static final int SPENT = 2_048;

  private static final class Told {
    long generation;
    long since;
    int sharers;
    double odd;
    Map<String, Room> rooms;
  }

  private record Spent(long at, Line line, String flowClass) {}

  private final Map<Gateway, Told> told = new HashMap<>();
  private final Map<String, Deque<Spent>> spent = new HashMap<>();

  /** The gateway has told; {@code chance} in [0, 1) rounds its share, once for each telling. */
  void told(Line line, Message.Tell tell, long now, double chance) {
    if (tell.echo() < 0 || tell.echo() > now || tell.age() < 0 || tell.sharers() < 1) {
      return;
    }
    Told known = told.computeIfAbsent(line.gateway, g -> new Told());
    long since = tell.echo() - Math.min(tell.age(), FRESH);
    if (known.rooms == null || tell.generation() > known.generation) {
      known.generation = tell.generation();
      known.since = since;
      known.sharers = tell.sharers();
      known.odd = chance;
      known.rooms = tell.rooms();
    } else if (tell.generation() == known.generation) {
      known.since = Math.max(known.since, since);
    }
  }

  void forget(Gateway gateway) {
    told.remove(gateway);
  }

  /** What the gateway has told of the class, as long as it is fresh, or null. */
  Room fresh(Gateway gateway, String flowClass, long now) {
    Told known = told.get(gateway);
    boolean counts = known != null && known.rooms != null && now - known.since <= FRESH;
    return counts ? known.rooms.get(flowClass) : null;
  }

  /**
   * Flows of the class that this gateway may still send there: one may go where it is 1 or more.
   */
  double left(Gateway gateway, String flowClass, int gateways, long now) {
    Room room = fresh(gateway, flowClass, now);
    if (room == null || room.places() == 0) {
      return 0;
    }
    Told known = told.get(gateway);
    double share = (double) room.places() / Math.max(gateways, known.sharers) + known.odd;
    Deque<Spent> sent = spent(gateway.peer.site(), now);
    if (sent.size() >= SPENT) {
      return 0;
    }
    for (Spent one : sent) {
      boolean known1 = one.line.gateway == gateway && one.at < one.line.echo;
      if (!known1) {
        // One place of a class with little room is worth several of one with much.
        Room taken = known.rooms.get(one.flowClass);
        share -= (double) room.places() / Math.max(1, taken == null ? 1 : taken.places());
      }
    }
    return share;
  }

  void spend(Line line, String flowClass, long now) {
    spent(line.gateway.peer.site(), now).add(new Spent(now, line, flowClass));
  }

  private Deque<Spent> spent(String site, long now) {
    Deque<Spent> sent = spent.computeIfAbsent(site, s -> new ArrayDeque<>());
    Iterator<Spent> oldest = sent.iterator();
    while (oldest.hasNext() && now - oldest.next().at > FRESH + SHOWN) {
      oldest.remove();
    }
    return sent;
  }
}
