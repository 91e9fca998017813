package brassbank.route;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * What crossing is worth: two sites in virtual time, one of which loses 60% of its hosts for 30 s,
 * with and without a link between them. Hosts hold so many connections and are cold when they come
 * back; connections that were on a lost host come again within 2 s; clients that are turned away
 * come again twice and then give up. Service is the worth of the seconds served over the worth of
 * the seconds asked for. The whole proxy is not in it, only {@link Router}.
 *
 * <p>{@code mvn -q -Pbench -Dbench.main=brassbank.route.TwoSites -Dbench.args="20"}: the number of
 * seeds, then, if given, each site's load in percent, the price of a crossing and the link's delay
 * in milliseconds.
 */
public final class TwoSites {
  private static final long MS = 1_000;
  private static final long SECOND = 1_000_000;
  private static final long LOST = 60 * SECOND;
  private static final long BACK = 90 * SECOND;
  private static final long END = 150 * SECOND;
  private static final long WARM = 24 * SECOND;
  private static final int HOSTS = 10;
  private static final double HOST = 20;
  private static final double COLD = 0.12;

  private record Kind(String name, double worth, double load, double life, long deadline) {}

  private static final List<Kind> KINDS =
      List.of(
          new Kind("preview", 1, 1, 36, 4_800 * MS),
          new Kind("presentation", 3, 0.35, 23.4, 3_000 * MS));
  private static final double PREVIEWS = 0.62;

  private record Client(int site, Kind kind, long from, long to) {}

  /** A client that is connecting, or connected. */
  private static final class Session {
    final long flow;
    final Client client;
    final long deadline;
    final int tries;
    Host host;
    Guest guest;
    boolean crossing;
    boolean standing;
    boolean far;
    long since;

    Session(long flow, Client client, long deadline, int tries) {
      this.flow = flow;
      this.client = client;
      this.deadline = deadline;
      this.tries = tries;
    }
  }

  private static final class Host {
    final List<Session> held = new ArrayList<>();
    boolean lost;
    long started = -WARM;
    double load;

    double room(long now) {
      double warmth = Math.min(1, COLD + (1 - COLD) * (now - started) / WARM);
      return lost ? 0 : HOST * warmth - load;
    }

    double size(long now) {
      return lost ? 0 : room(now) + load;
    }
  }

  /** One seed's day. */
  private static final class Day {
    final Mesh mesh = new Mesh();
    final SplittableRandom random;
    final List<Place> places = new ArrayList<>();
    final double[] served = new double[2];
    final double[] asked = new double[2];
    long flows;
    long firsts;
    long moved;

    Day(int seed, int load, double price, long delay, boolean linked) {
      random = new SplittableRandom(seed);
      List<RouteRules.ClassRule> classes =
          KINDS.stream()
              .map(k -> new RouteRules.ClassRule(k.name, k.worth, k.deadline / 6, 100 * MS))
              .toList();
      for (String site : List.of("one", "other")) {
        Place place = new Place(places.size());
        places.add(place);
        RouteRules rules = new RouteRules(site, 1, price, 20 * SECOND, classes);
        SplittableRandom chance = random.split();
        place.node = mesh.new Node(rules, chance::nextDouble, place);
        mesh.every(100 * MS, place.node::own);
        mesh.every(50 * MS, place::serve);
      }
      if (linked) {
        for (int slot = 0; slot < 2; slot++) {
          mesh.link(places.get(0).node, places.get(1).node, slot, t -> delay);
        }
      }
      double work = 0;
      for (Kind kind : KINDS) {
        work += (kind == KINDS.get(0) ? PREVIEWS : 1 - PREVIEWS) * kind.load * kind.life;
      }
      double gap = work / (load / 100.0 * HOSTS * HOST) * SECOND;
      for (int site = 0; site < 2; site++) {
        for (double t = 0; t < END; t += -Math.log(1 - random.nextDouble()) * gap) {
          Kind kind = KINDS.get(random.nextDouble() < PREVIEWS ? 0 : 1);
          double life = -Math.log(1 - random.nextDouble()) * kind.life * SECOND;
          Client client = new Client(site, kind, (long) t, Math.min(END, (long) (t + life)));
          asked[site] += kind.worth * (client.to - client.from);
          firsts++;
          mesh.at(client.from, () -> open(client, 0));
        }
      }
      mesh.at(LOST, () -> places.get(0).lose());
      mesh.at(BACK, () -> places.get(0).back());
      mesh.run(END);
      for (Place place : places) {
        List.copyOf(place.sessions.values()).forEach(s -> place.count(s));
      }
    }

    double service(int site) {
      return served[site] / asked[site];
    }

    void open(Client client, int tries) {
      if (mesh.now < client.to) {
        Place place = places.get(client.site);
        Session session = new Session(++flows, client, mesh.now + client.kind.deadline, tries);
        place.sessions.put(session.flow, session);
        place.route(session, 4, false);
      }
    }

    /** A site: its hosts, its waiting room, its clients. */
    final class Place implements Mesh.Site {
      final int index;
      final List<Host> hosts = new ArrayList<>();
      final Map<Long, Session> sessions = new HashMap<>();
      final Map<Guest, Session> guests = new HashMap<>();
      final TreeSet<Session> waiting =
          new TreeSet<>(
              Comparator.<Session>comparingDouble(s -> -s.client.kind.worth)
                  .thenComparingLong(s -> s.flow));
      Mesh.Node node;

      Place(int index) {
        this.index = index;
        for (int i = 0; i < HOSTS; i++) {
          hosts.add(new Host());
        }
      }

      @Override
      public Room room(String name) {
        Kind kind = KINDS.stream().filter(k -> k.name.equals(name)).findFirst().orElseThrow();
        double size = 0;
        int free = 0;
        for (Host host : hosts) {
          size += host.size(mesh.now);
          free += (int) Math.max(0, host.room(mesh.now) / kind.load);
        }
        double ahead = 0;
        for (Session s : waiting) {
          ahead += s.client.kind.worth >= kind.worth ? s.client.kind.load : 0;
        }
        double exits = size / 30;
        long wait = ahead == 0 ? 0 : (long) (Math.min(60, ahead / Math.max(0.1, exits)) * SECOND);
        int of = Math.max((int) (size / kind.load), free);
        return new Room(waiting.isEmpty() ? free : 0, of, wait);
      }

      void route(Session session, int attempts, boolean crossed) {
        node.own();
        long left = session.deadline - mesh.now;
        node.pick(new Arrival(session.flow, session.client.kind.name, left, attempts, crossed));
      }

      @Override
      public void carryOut(Step step, long flow) {
        if (step instanceof Step.Near near) {
          Session session = sessions.get(near.flow());
          waiting.add(session);
          mesh.at(
              session.deadline,
              () -> {
                if (waiting.remove(session)) {
                  turnAway(session);
                }
              });
          serve();
        } else if (step instanceof Step.Cross cross) {
          moved++;
          sessions.get(cross.flow()).crossing = true;
        } else if (step instanceof Step.Served up) {
          Session session = sessions.get(up.flow());
          session.far = true;
          stand(session);
        } else if (step instanceof Step.Again again) {
          route(sessions.get(again.flow()), again.attemptsLeft(), true);
        } else if (step instanceof Step.Answer answer) {
          turnAway(sessions.get(answer.flow()));
        } else if (step instanceof Step.Move move) {
          broken(sessions.get(move.flow()));
        } else if (step instanceof Step.Admit admit) {
          Session asks = places.get(1 - index).sessions.get(flow);
          Host host = best(asks.client.kind);
          if (host == null) {
            node.report(new Report.GuestEnded(admit.guest(), 0, false));
          } else {
            Session guest = new Session(0, asks.client, 0, 0);
            guest.guest = admit.guest();
            guests.put(guest.guest, guest);
            hold(host, guest);
            node.report(new Report.GuestUp(guest.guest));
          }
        } else if (step instanceof Step.GiveUp gone) {
          release(guests.remove(gone.guest()));
        }
      }

      void serve() {
        for (Session session : List.copyOf(waiting)) {
          Host host = best(session.client.kind);
          if (host != null) {
            waiting.remove(session);
            hold(host, session);
            stand(session);
          }
        }
      }

      Host best(Kind kind) {
        Host best = hosts.get(0);
        for (Host host : hosts) {
          best = host.room(mesh.now) > best.room(mesh.now) ? host : best;
        }
        return best.room(mesh.now) >= kind.load ? best : null;
      }

      void hold(Host host, Session session) {
        session.host = host;
        host.held.add(session);
        host.load += session.client.kind.load;
      }

      void release(Session session) {
        if (session != null && session.host != null) {
          session.host.held.remove(session);
          session.host.load -= session.client.kind.load;
          session.host = null;
        }
      }

      void stand(Session session) {
        session.standing = true;
        session.since = mesh.now;
        mesh.at(
            session.client.to,
            () -> {
              if (sessions.get(session.flow) == session) {
                end(session);
              }
            });
      }

      void count(Session session) {
        if (session.standing) {
          served[index] += session.client.kind.worth * (mesh.now - session.since);
        }
      }

      void end(Session session) {
        count(session);
        sessions.remove(session.flow);
        release(session);
        if (session.far) {
          node.report(new Report.Left(session.flow));
        }
      }

      void turnAway(Session session) {
        sessions.remove(session.flow);
        if (session.tries < 2) {
          mesh.at(
              mesh.now + random.nextLong(500 * MS, 2_000 * MS),
              () -> open(session.client, session.tries + 1));
        }
      }

      void broken(Session session) {
        count(session);
        sessions.remove(session.flow);
        mesh.at(mesh.now + random.nextLong(51 * MS, 2_000 * MS), () -> open(session.client, 0));
      }

      void lose() {
        for (Host host : hosts.subList(0, HOSTS * 6 / 10)) {
          host.lost = true;
          for (Session session : List.copyOf(host.held)) {
            release(session);
            if (session.guest == null) {
              broken(session);
            } else {
              guests.remove(session.guest);
              node.report(new Report.GuestEnded(session.guest, 1, true));
            }
          }
        }
      }

      void back() {
        for (Host host : hosts) {
          if (host.lost) {
            host.lost = false;
            host.started = mesh.now;
          }
        }
      }
    }
  }

  private TwoSites() {}

  /** Prints a table of the median and the worst of the seeds. */
  public static void main(String[] args) {
    int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 20;
    int load = args.length > 1 ? Integer.parseInt(args[1]) : 65;
    double price = args.length > 2 ? Double.parseDouble(args[2]) : 2;
    long delay = args.length > 3 ? Long.parseLong(args[3]) * MS : MS;
    double[][] thin = new double[2][seeds];
    double[][] helping = new double[2][seeds];
    double[] gain = new double[seeds];
    double[] harm = new double[seeds];
    double[] moved = new double[seeds];
    Day last = null;
    for (int seed = 0; seed < seeds; seed++) {
      for (int linked = 0; linked < 2; linked++) {
        Day day = new Day(seed, load, price, delay, linked == 1);
        thin[linked][seed] = day.service(0);
        helping[linked][seed] = day.service(1);
        last = day;
      }
      gain[seed] = thin[1][seed] - thin[0][seed];
      harm[seed] = helping[0][seed] - helping[1][seed];
      moved[seed] = (double) last.moved / last.firsts;
    }
    print("thin site alone", thin[0], false);
    print("thin site with crossing", thin[1], false);
    print("helping site alone", helping[0], false);
    print("helping site with crossing", helping[1], false);
    print("gain of the thin site", gain, false);
    print("loss of the helping site", harm, true);
    print("crossings per first try", moved, true);
    System.out.println(last.places.get(0).node.router.figures(END));
    System.out.println(last.places.get(1).node.router.figures(END));
  }

  private static void print(String what, double[] values, boolean most) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    System.out.printf(
        Locale.ROOT,
        "%-28s median %.3f, worst %.3f%n",
        what,
        sorted[sorted.length / 2],
        most ? sorted[sorted.length - 1] : sorted[0]);
  }
}
