package ashspar;

import ashspar.Balancer.State;
import ashspar.limits.Groups;
import ashspar.limits.Reach;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Weighted round robin over committed weights: each server's next turn, in virtual time. */
final class Wheels {
  private static final int LOOKS = 20; // servers that one request compares, at most

  /** A place in the wheel; of two at the same time the one that was taken first comes first. */
  record Turn(double at, long order, Server server) {}

  private final Node node;
  private final TreeSet<Turn> wheel =
      new TreeSet<>(Comparator.comparingDouble(Turn::at).thenComparingLong(Turn::order));
  private final Set<Server> parked = new LinkedHashSet<>();
  private long orders;

  private double now; // the turn that was taken last

  Wheels(Node node) {
    this.node = node;
  }

  /** Sets a weight; what was left of the server's wait for its turn is stretched to match. */
  void commit(Server s, double weight) {
    double left = s.weight > 0 ? Math.max(0, s.turn - now) * s.weight : node.random.nextDouble();
    s.turn = weight > 0 ? now + Math.min(left, 1) / weight : Double.MAX_VALUE;
    s.weight = weight;
  }

  void enqueue(Server s) {
    leave(s);
    node.limits.noRoom.changed(s.limits);
    if (s.weight > 0 && s.state == State.READY && !s.parked) {
      s.place = new Turn(s.turn, orders++, s);
      wheel.add(s.place);
    }
  }

  private void leave(Server s) {
    if (s.place != null) {
      wheel.remove(s.place);
      s.place = null;
    }
  }

  void rebuild() {
    node.ready.forEach(this::enqueue);
  }

  void begin(Server s, double place) {
    s.turn = now + place / s.weight;
  }

  void call(Server s) {
    if (s.turn > now) {
      s.turn = now;
      enqueue(s);
    }
  }

  void taken(Server s) {
    s.turn = Math.max(now, s.turn) + 1 / Math.max(s.weight, 1e-3);
    enqueue(s);
  }

  void retire(Server s) {
    s.weight = 0;
    leave(s);
  }

  /** The next server in turn that this request may go to, or null; what is full is parked. */
  Server next(Held h, boolean again, int tier) {
    String group = h.request.affinityGroup();
    boolean fresh = !again && h.tried.isEmpty() && tier == Reach.LAST;
    if (fresh && node.limits.noRoom.surely(node.now, node.value(h))) {
      return null;
    }
    double early = group == null ? 0 : Groups.early(node.weights.meanLoad());
    Server found = null;
    double best = Double.MAX_VALUE;
    double first = 0;
    int looks = 0;
    for (Iterator<Turn> turns = wheel.iterator(); looks < LOOKS && turns.hasNext(); ) {
      Turn turn = turns.next();
      Server s = turn.server();
      if (turn.at() - early >= best) {
        break;
      }
      if (!node.admission.open(s)) {
        turns.remove();
        s.place = null;
        s.parked = true;
        parked.add(s);
      } else if (node.admission.within(s, tier) && node.admission.allowed(h, s, again)) {
        first = looks++ == 0 ? turn.at() : first;
        double liking = node.limits.liking(s.limits, group) * node.weights.nearness(s);
        double at = turn.at() - early * liking;
        if (at < best) {
          best = at;
          found = s;
        }
      }
    }
    now = found == null ? now : Math.max(now, first);
    boolean usual = node.cost(h) <= Admission.COLD_HEAVIEST && !node.limits.held(group);
    if (found == null && fresh && usual) {
      node.limits.noRoom.found(node.value(h));
    }
    return found;
  }

  void unpark(Server s) {
    if (s.parked && (s.state != State.READY || node.admission.open(s))) {
      parked.remove(s);
      s.parked = false;
      enqueue(s);
    }
  }

  /** Time alone may have changed something at any parked server. */
  void unpark() {
    node.limits.noRoom.forget();
    List.copyOf(parked).forEach(this::unpark);
  }

  /** The servers whose turns come next, the first first; at most so many that the test takes. */
  List<Server> ahead(int most, Predicate<Server> test) {
    List<Server> found = new ArrayList<>();
    for (Iterator<Turn> turns = wheel.iterator(); found.size() < most && turns.hasNext(); ) {
      Server s = turns.next().server();
      if (test.test(s)) {
        found.add(s);
      }
    }
    return found;
  }
}
