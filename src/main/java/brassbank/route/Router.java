package brassbank.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

/**
 * The facade of a gateway's decisions, in blocking style: {@link #pick}, {@link #report} and {@link
 * #tick} return what is to be done, in order. All time is microseconds of one clock of this process
 * that never goes back; it may start anywhere, and no other process needs the same. Chance comes
 * from the supplier given at the start, so that the same calls give the same steps.
 *
 * <p>Steps are to be carried out before the next call, each before the next one: a {@code GiveUp}
 * has ended the attempt when the {@code Send} behind it goes out. The proof that no flow has two
 * attempts out, in docs/gateway.md, rests on that. For one thread at a time.
 */
public final class Router {
  /** How often each link is told of the room here: four times in what a load report takes. */
  public static final long TELL = 250_000;

  /** This part of the site's places is offered to nobody: its own next flows find them free. */
  static final double KEPT = 0.1;

  /** A life of which nothing was heard for so long is forgotten: no lease lasts as long. */
  static final long FORGET = 60_000_000;

  /** Links of one pair, at most. */
  static final int SLOTS = 64;

  /** Classes that one telling may name. */
  private static final int CLASSES = 64;

  private record Slot(Peer peer, int number) {}

  /** The site's own room, as it was told, and the guests admitted since. */
  private static final class Own {
    final Room room;
    final long at;
    int admitted;

    Own(Room room, long at) {
      this.room = room;
      this.at = at;
    }
  }

  private final RouteRules rules;
  private final DoubleSupplier chance;
  private final Counts counts = new Counts();
  private final Rooms rooms = new Rooms();
  private final Routes routes;
  private final Crossings crossings;
  private final Leases leases;
  private final Map<Peer, Gateway> gateways = new LinkedHashMap<>();
  private final Map<Long, Line> lines = new LinkedHashMap<>();
  private final Map<Slot, Damping> dampings = new HashMap<>();
  private final Map<String, Own> own = new TreeMap<>();
  private long generation;
  private long nextTell;
  private boolean stopping;

  /** The parts that tests replace by faulty ones. */
  static class Parts {
    Routes routes(RouteRules rules, Rooms rooms, DoubleSupplier chance) {
      return new Routes(rules, rooms, chance);
    }

    Crossings crossings(Counts counts) {
      return new Crossings(counts);
    }

    Leases leases(Counts counts) {
      return new Leases(counts);
    }

    /** Whether this is a later life of the peer than the one that is known. */
    boolean succeeds(Gateway known, long incarnation, long now) {
      boolean forgotten = known.lines.isEmpty() && now - known.heardAt > FORGET;
      return incarnation > known.incarnation || forgotten;
    }
  }

  private final Parts parts;

  /**
   * A gateway with these rules.
   *
   * @param chance uniform in [0, 1)
   */
  public Router(RouteRules rules, DoubleSupplier chance) {
    this(rules, chance, new Parts());
  }

  Router(RouteRules rules, DoubleSupplier chance, Parts parts) {
    this.rules = rules;
    this.chance = chance;
    this.parts = parts;
    routes = parts.routes(rules, rooms, chance);
    crossings = parts.crossings(counts);
    leases = parts.leases(counts);
  }

  // the facade

  /**
   * Where a flow goes: {@code Near} or {@code Cross}, behind what was due. To be asked when it
   * comes in, and again where the near side is about to turn it away untried.
   *
   * @throws IllegalArgumentException where the flow has crossed and has no answer yet
   */
  public List<Step> pick(Arrival arrival, long now) {
    if (crossings.holds(arrival.flow())) {
      throw new IllegalArgumentException("flow " + arrival.flow() + " is out already");
    }
    List<Step> steps = swept(now);
    Own here = own.get(arrival.flowClass());
    Routes.Way way;
    if (stopping) {
      way = Routes.Way.near(Reason.STOPPING);
    } else if (here == null || crossings.full()) {
      way = Routes.Way.near(here == null ? Reason.ROOM_HERE : Reason.SPENT);
    } else {
      way = routes.way(arrival, here.room, gateways.values(), now);
    }
    Counts.add(counts.routes, way.why());
    if (way.line() == null) {
      steps.add(new Step.Near(arrival.flow(), way.why()));
    } else {
      rooms.spend(way.line(), arrival.flowClass(), now);
      Message.Open open = crossings.open(arrival, way.line(), now, way.lease());
      steps.add(new Step.Cross(arrival.flow(), way.line().link, open));
    }
    return steps;
  }

  /** Something has happened; what is to be done for it comes back. */
  public List<Step> report(Report report, long now) {
    List<Step> steps = new ArrayList<>();
    if (report instanceof Report.GuestEnded ended) {
      leases.ended(ended.guest(), ended.used(), ended.mayHaveRun(), steps);
    }
    leases.sweep(now, steps);
    if (report instanceof Report.Own told) {
      own(told.flowClass(), told.room(), now);
    } else if (report instanceof Report.LinkUp up) {
      linkUp(up, now, steps);
    } else if (report instanceof Report.LinkDown down) {
      linkDown(down.link(), down.planned(), now, steps);
    } else if (report instanceof Report.Heard heard) {
      Line line = lines.get(heard.link());
      if (line != null) {
        line.gateway.heardAt = now;
        heard(line, heard.message(), now, steps);
      }
    } else if (report instanceof Report.GuestUp up) {
      leases.up(up.guest(), steps);
    } else if (report instanceof Report.Left left) {
      crossings.left(left.flow(), lines::containsKey, steps);
    } else if (report instanceof Report.Stopping) {
      stopping = true;
      nextTell = now;
    }
    return steps;
  }

  /** Does what is due: leases, answers, and what the links are to be told. */
  public List<Step> tick(long now) {
    List<Step> steps = swept(now);
    crossings.tick(now, this::reached, steps);
    if (now >= nextTell) {
      nextTell = now + TELL;
      tell(now, steps);
    }
    return steps;
  }

  /** When {@link #tick} is next due, or Long.MAX_VALUE. */
  public long nextTick() {
    long due = Math.min(leases.next(), crossings.next());
    return lines.isEmpty() ? due : Math.min(due, nextTell);
  }

  /** Whether this site is thin for a class. */
  public boolean thin(String flowClass) {
    return routes.knows(flowClass) && routes.thin(flowClass);
  }

  public Figures figures(long now) {
    int suppressed = (int) dampings.values().stream().filter(d -> d.suppressed(now)).count();
    return counts.figures(crossings.awaited(), leases.held(), suppressed);
  }

  // what has happened

  private List<Step> swept(long now) {
    List<Step> steps = new ArrayList<>();
    leases.sweep(now, steps);
    return steps;
  }

  private void own(String flowClass, Room room, long now) {
    if (routes.knows(flowClass)) {
      own.put(flowClass, new Own(room, now));
      routes.own(flowClass, room, now);
    }
  }

  private void linkUp(Report.LinkUp up, long now, List<Step> steps) {
    Gateway known = gateways.get(up.peer());
    boolean another = known != null && known.incarnation != up.incarnation();
    boolean later = another && parts.succeeds(known, up.incarnation(), now);
    boolean sound = up.slot() >= 0 && up.slot() < SLOTS && !lines.containsKey(up.link());
    if (!sound || up.peer().site().equals(rules.site()) || (another && !later)) {
      steps.add(new Step.Drop(up.link()));
      return;
    }
    if (later) {
      restarted(known, steps);
    }
    if (known == null || later) {
      known = new Gateway(up.peer(), up.incarnation(), now);
      gateways.put(up.peer(), known);
    }
    known.heardAt = now;
    Damping damping =
        dampings.computeIfAbsent(new Slot(up.peer(), up.slot()), slot -> new Damping());
    Line line = new Line(up.link(), known, damping);
    known.lines.put(up.link(), line);
    lines.put(up.link(), line);
    nextTell = Math.min(nextTell, now);
  }

  private void restarted(Gateway last, List<Step> steps) {
    rooms.forget(last);
    List<Line> ended = List.copyOf(last.lines.values());
    last.lines.clear();
    leases.restarted(last, steps);
    for (Line line : ended) {
      lines.remove(line.link);
      crossings.linkLost(line, steps);
      steps.add(new Step.Drop(line.link));
    }
    crossings.restarted(last, steps);
  }

  private void linkDown(long link, boolean planned, long now, List<Step> steps) {
    Line line = lines.remove(link);
    if (line == null) {
      return;
    }
    line.gateway.lines.remove(link);
    line.gateway.heardAt = now;
    if (!planned) {
      counts.losses++;
      line.damping.lost(now);
    }
    leases.linkLost(line, steps);
    crossings.linkLost(line, steps);
  }

  private void heard(Line line, Message message, long now, List<Step> steps) {
    if (message instanceof Message.Open open) {
      if (leases.open(line, open, refusal(open.flowClass(), now), now, steps)) {
        own.values().forEach(room -> room.admitted++);
      }
    } else if (message instanceof Message.Up up) {
      crossings.up(line, up.number(), now, steps);
    } else if (message instanceof Message.Taken taken) {
      leases.taken(line, taken.number(), steps);
    } else if (message instanceof Message.Cancel cancel) {
      leases.cancelled(line, cancel.number(), steps);
    } else if (message instanceof Message.Ended ended) {
      crossings.ended(line.gateway, ended, steps);
    } else if (message instanceof Message.Tell tell && tell.rooms().size() <= CLASSES) {
      line.heard(tell, now);
      line.gateway.clock.heard(tell.stamp(), now);
      rooms.told(line, tell, now, chance.getAsDouble());
      crossings.heard(line.gateway, now, steps);
    }
  }

  /** A thin site gives no room: that is what ends a tie of two thin ones, at once on both sides. */
  private Message.End refusal(String flowClass, long now) {
    if (stopping) {
      return Message.End.STOPPING;
    }
    Own here = own.get(flowClass);
    if (here == null) {
      return Message.End.UNSOUND;
    }
    boolean old = now - here.at > Rooms.FRESH;
    return old || offered(flowClass, here).places() == 0 ? Message.End.THIN : null;
  }

  private Room offered(String flowClass, Own here) {
    Room left = here.room.beyond(KEPT).without(here.admitted);
    return stopping || routes.thin(flowClass) ? left.without(left.places()) : left;
  }

  private boolean reached(Peer peer) {
    Gateway gateway = gateways.get(peer);
    return gateway != null && !gateway.lines.isEmpty();
  }

  private void tell(long now, List<Step> steps) {
    generation++;
    Map<String, Room> offers = new TreeMap<>();
    long age = 0;
    for (Map.Entry<String, Own> entry : own.entrySet()) {
      offers.put(entry.getKey(), offered(entry.getKey(), entry.getValue()));
      age = Math.max(age, now - entry.getValue().at);
    }
    int sharers = (int) gateways.values().stream().filter(g -> !g.lines.isEmpty()).count();
    for (Line line : lines.values()) {
      long held = line.stamp == Message.NONE ? 0 : now - line.stampAt;
      Message tell = new Message.Tell(now, line.stamp, held, generation, age, sharers, offers);
      steps.add(new Step.Send(line.link, tell));
    }
  }
}
