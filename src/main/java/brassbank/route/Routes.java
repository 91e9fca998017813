package brassbank.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Near or far, for one flow. Near first. Far only where the near side is thin for the class, a far
 * gateway's room is fresh, and what is gained is clearly worth the price; then by chance, as much
 * as the near side lacks; and never beyond this gateway's share of the room told. What came over a
 * link, or has crossed before, stays. docs/gateway.md has the rules in words. Times are
 * microseconds. For one thread at a time.
 */
class Routes {
  /**
   * A crossing must gain so many times its price: both are estimates, and the near side is sure.
   */
  static final double CLEARLY = 1.5;

  /** A link whose last stamp is older, four tellings, is not trusted with a new flow. */
  static final long HEARD = 1_000_000;

  /** From this part of what the class bears on, a thin side sends some flows away. */
  private static final double FROM = 0.5;

  /** And at this many times what it bears, all that its share allows. */
  private static final double ALL = 2;

  /** Where a flow goes; the line is null for near. */
  record Way(Reason why, Line line, long lease) {
    static Way near(Reason why) {
      return new Way(why, null, 0);
    }
  }

  private record Candidate(Line line, long lease, double gain, double left) {
    boolean better(Candidate other) {
      if (other == null || Math.abs(gain - other.gain) > 0.1 * other.gain) {
        return other == null || gain > other.gain;
      }
      return left > other.left;
    }
  }

  private final RouteRules rules;
  private final Map<String, RouteRules.ClassRule> classes;
  private final Rooms rooms;
  private final DoubleSupplier chance;
  private final Map<String, Thinness> thin = new HashMap<>();

  Routes(RouteRules rules, Rooms rooms, DoubleSupplier chance) {
    this.rules = rules;
    this.classes = rules.byName();
    this.rooms = rooms;
    this.chance = chance;
    rules.classes().forEach(rule -> thin.put(rule.name(), new Thinness()));
  }

  boolean knows(String flowClass) {
    return classes.containsKey(flowClass);
  }

  /** This site's own room for a class has changed. */
  void own(String flowClass, Room room, long now) {
    thin.get(flowClass).told(room, classes.get(flowClass).bears(), now);
  }

  /** Whether this site is thin for the class: then it sends, and takes nothing. */
  boolean thin(String flowClass) {
    return thin.get(flowClass).thin();
  }

  /** Where the flow goes, this site's own room being as given. */
  Way way(Arrival arrival, Room near, Collection<Gateway> gateways, long now) {
    if (!mayCross(arrival)) {
      return Way.near(Reason.CROSSED);
    }
    if (!knows(arrival.flowClass()) || !thin(arrival.flowClass())) {
      return Way.near(Reason.ROOM_HERE);
    }
    if (arrival.attempts() < 1 || Crossings.lease(arrival, 0) == 0) {
      return Way.near(Reason.NO_TIME);
    }
    RouteRules.ClassRule rule = classes.get(arrival.flowClass());
    Reason why = Reason.NO_ROOM;
    Candidate best = null;
    for (Gateway gateway : gateways) {
      Room room = rooms.fresh(gateway, rule.name(), now);
      if (room == null || room.places() == 0) {
        continue;
      }
      Line line = line(gateway, rule, now);
      long lease = line == null ? 0 : Crossings.lease(arrival, line.roundTrip);
      if (lease == 0) {
        why = worse(why, line == null ? Reason.NO_LINK : Reason.NO_TIME);
        continue;
      }
      double gain = gain(arrival, rule, near, room.waiting() + 2 * line.roundTrip);
      if (gain <= CLEARLY * rules.price()) {
        why = worse(why, Reason.NOT_WORTH);
        continue;
      }
      double left = rooms.left(gateway, rule.name(), rules.gateways(), now);
      Candidate candidate = new Candidate(line, lease, gain, left);
      if (left < 1) {
        why = worse(why, Reason.SPENT);
      } else if (candidate.better(best)) {
        best = candidate;
      }
    }
    if (best == null) {
      return Way.near(why);
    }
    if (chance.getAsDouble() >= urgency(near, rule)) {
      return Way.near(Reason.SPREAD);
    }
    return new Way(near.places() == 0 ? Reason.NO_PLACE : Reason.WAIT, best.line(), best.lease());
  }

  /** No flow crosses twice: that is what keeps two sites, or any ring of them, from a loop. */
  boolean mayCross(Arrival arrival) {
    return !arrival.crossed();
  }

  /**
   * One of the gateway's links that is alive, not damped, and quick enough for the class's lines.
   */
  private Line line(Gateway gateway, RouteRules.ClassRule rule, long now) {
    long most = rule.messageAim() == 0 ? Long.MAX_VALUE : rule.messageAim() / 2;
    List<Line> usable = new ArrayList<>();
    for (Line line : gateway.lines.values()) {
      if (gateway.clock.known()
          && line.roundTrip >= 0
          && line.roundTrip <= most
          && now - line.stampAt <= HEARD
          && !line.damping.suppressed(now)) {
        usable.add(line);
      }
    }
    return usable.isEmpty()
        ? null
        : usable.get((int) (chance.getAsDouble() * usable.size()) % usable.size());
  }

  /** The worth of the time in which the flow would be served there and not here, in seconds. */
  private double gain(Arrival arrival, RouteRules.ClassRule rule, Room near, long there) {
    boolean unknown = near.places() == 0 && near.waiting() == 0;
    boolean never = near.waiting() >= arrival.left();
    long here = unknown || never ? Math.max(near.waiting(), rules.refusedWait()) : near.waiting();
    return there >= arrival.left() ? 0 : rule.worth() * (here - there) / 1e6;
  }

  /** Which part of the flows should go. A proportional answer does not swing as a switch would. */
  private static double urgency(Room near, RouteRules.ClassRule rule) {
    double strain = (double) near.waiting() / rule.bears();
    return near.places() == 0 ? 1 : Math.min(1, Math.max(0, (strain - FROM) / (ALL - FROM)));
  }

  /** Of the reasons why no gateway serves, the one that came closest to crossing. */
  private static Reason worse(Reason one, Reason other) {
    return one.compareTo(other) > 0 ? one : other;
  }
}
