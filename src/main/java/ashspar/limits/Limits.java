package ashspar.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All that one node holds itself to. The parts are asked directly; what concerns several at once,
 * and the places of set-ups, which belong to a server and to the fleet, are kept together here.
 *
 * <p>Times are microseconds. For one thread at a time.
 *
 * @param <T> what waits in the waiting room
 */
public final class Limits<T> {
  /** More than the sockets of one node: the bound is for what is no socket. */
  public static final int MOST_WAITING = 16_384;

  /** How many times the room of a group a server must have to take one that is held elsewhere. */
  private static final double NEW_GROUP = 3;

  /**
   * Up to so many nodes that see the same reports are taken to place where this one does. More
   * spread out, see {@link Elsewhere}, and each knows but a part of who holds which group; fewer,
   * and small fleets filled the same server together.
   */
  private static final int ALIKE = 4;

  /** Cores taken for a server whose size is not told: as few as any that was met. */
  private static final double UNSIZED = 2;

  /** How long the fleet's places are taken for what they were when they were counted. */
  private static final long COUNTED = 20_000;

  public final TenantShares shares = new TenantShares();
  public final WaitingRoom<T> room = new WaitingRoom<>(MOST_WAITING, shares);
  public final Outliers outliers = new Outliers();
  public final Lives lives = new Lives();
  public final LoadEstimate estimate = new LoadEstimate();
  public final NoRoom noRoom = new NoRoom();
  public final Worths worths = new Worths(shares, estimate);
  public final Patience patience = new Patience();
  public final ProbeBudget probes = new ProbeBudget();
  public final Reach reach = new Reach();
  public final Division division = new Division();
  public final RetryBudget retries;
  private final List<ServerLimits> ready = new ArrayList<>();
  private final FleetLimit fleet = new FleetLimit();
  private final Elsewhere elsewhere = new Elsewhere();
  private final Returns returns = new Returns();
  private final StartPace pace;

  /** On how many servers this node holds a group. */
  private final Map<String, Integer> holders = new HashMap<>();

  private int nodes = 1;
  private double meanSize;
  private int together;
  private long countedAt = Long.MIN_VALUE / 2;

  private WarmUp warmUp;

  /** The limits of a node that starts now. */
  public Limits(long now) {
    retries = new RetryBudget(now);
    pace = new StartPace(now);
  }

  /**
   * New settings: the inverse of this node's part of the fleet's budgets, and what a request over
   * its tenant's share is worth.
   */
  public void configure(double ofNodes, double overShareWorth, WarmUp warming) {
    shares.configure(ofNodes, overShareWorth);
    worths.configure(overShareWorth);
    warmUp = warming;
  }

  /** How servers warm up, by the settings. */
  public WarmUp warmUp() {
    return warmUp;
  }

  /** Limits for a server that is heard of; it counts from {@link #ready} on. */
  public ServerLimits join(String id) {
    return new ServerLimits(id, outliers, noRoom, elsewhere);
  }

  /** The server may be sent to from now on, or no longer. */
  public void ready(ServerLimits server, boolean on) {
    ready.remove(server);
    if (on) {
      ready.add(server);
    }
    server.record.listed(on);
    outliers.fleet(ready.size());
  }

  /** Whether one more set-up may go, wherever it goes to. */
  public boolean open(long now) {
    return pace.free(now, ready.size()) && fleet.free(together(now));
  }

  private int together(long now) {
    if (now - countedAt >= COUNTED) {
      countedAt = now;
      together = 0;
      for (ServerLimits server : ready) {
        together += server.setups.allowed();
      }
    }
    return together;
  }

  /** A set-up goes to the server. */
  public void sent(long now, ServerLimits server, boolean again) {
    pace.take();
    fleet.take();
    server.setups.take();
    server.record.sent(now);
    if (again) {
      retries.pay(now);
    }
  }

  /** A set-up has been answered with a connection, after so long. */
  public void answered(long now, ServerLimits server, long elapsed) {
    fleet.giveBack();
    server.setups.answered(now, elapsed, fleet.slowdown());
    server.record.succeeded();
    noRoom.changed(server);
    retries.served(now);
  }

  /** A set-up has ended otherwise. Its place is given back, and here only. */
  public void ended(long now, ServerLimits server, Ending how) {
    fleet.giveBack();
    switch (how) {
      case REFUSED -> server.setups.refused(now, true);
      case UNREACHED -> server.setups.refused(now, false);
      case TIMED_OUT -> server.setups.cut(now, true);
      case CALLED_OFF -> server.setups.cut(now, false);
      case BROKE, ERROR -> server.setups.ended();
    }
    noRoom.changed(server);
  }

  /**
   * A standing connection of this node has ended; its client may return.
   *
   * @param own whether this process has placed it: another's, which it has succeeded, tells nothing
   *     of how long connections live
   */
  public void gone(long now, String key, boolean own) {
    returns.held(key, now);
    if (own) {
      lives.ended(1);
      pace.giveBack();
    }
  }

  /** A server has broken a standing connection, or sent its client away. */
  public void sentAway(long now) {
    returns.sentAway(nodes - 1, now);
    // It has left that server only, and others' clients have left it, too: no room anywhere else.
    elsewhere.add(now, 1);
    lives.ended(-1);
  }

  /**
   * A client has returned. Where it was another node's, what its connection asked is asked no
   * longer: each server is taken to have as much less.
   */
  public void returned(long now, String key) {
    double cores = 0;
    for (ServerLimits server : ready) {
      cores += server.size();
    }
    if (returns.leftRoom(key, now) && cores > 0) {
      for (ServerLimits server : ready) {
        server.add(now, -estimate.cores() / cores);
      }
      noRoom.forget();
    }
  }

  /**
   * Whether a server has room for a request. One that would bring it a group which this node holds
   * elsewhere needs {@link #NEW_GROUP} times the room that the group takes: in a full fleet a group
   * on one server more costs what three connections do.
   *
   * @param value what the request is worth against the worthiest, 0 to 1
   */
  public boolean room(long now, ServerLimits server, double value, String group) {
    boolean spreads = server.groups.isNew(group) && held(group);
    double costs = spreads ? estimate.adds(0, true, 1, server.sizeNow(), meanSize) : 0;
    return server.room(now, value, NEW_GROUP * costs);
  }

  /** How much a connection of this group is liked at a server, from 0 to 1. */
  public double liking(ServerLimits server, String group) {
    return server.groups.liking(group, (double) alike() / nodes);
  }

  /** Whether this node holds the group anywhere. */
  public boolean held(String group) {
    return group != null && holders.containsKey(group);
  }

  /**
   * What is lost by moving a connection off a server, for each load that this frees: the last of a
   * group takes the group's cost along.
   */
  public double worthAt(ServerLimits server, double value, String group) {
    return server.groups.isLone(group) ? value / (1 + LoadEstimate.GROUP) : value;
  }

  /** Connections a second by which a warm server stays full. */
  public double turnover(ServerLimits server) {
    boolean sized = server.size() > 0 && meanSize > 0;
    double fill = sized ? estimate.fill(server.size(), meanSize) : estimate.fill(UNSIZED, UNSIZED);
    return fill / lives.mean();
  }

  /** Room at the other servers, in loads of this one. */
  public double spare(long now, ServerLimits server) {
    double spare = 0;
    for (ServerLimits other : ready) {
      if (other != server && other.open(now)) {
        double sizes = other.size() > 0 && server.size() > 0 ? other.size() / server.size() : 1;
        spare += (ServerLimits.CEILING - other.load(now)) * sizes;
      }
    }
    return spare;
  }

  /**
   * A request goes to the server, or its connection stands there.
   *
   * @param cost its load against a mean one's
   * @param shown whether reports show it already
   * @return what it adds to the server's load, to be given back by {@link #left}; NaN where reports
   *     show it and nothing tells yet how much it is
   */
  public double joined(long now, ServerLimits server, double cost, String group, boolean shown) {
    // Places of a cold server are dealt out: nobody else takes this one.
    int alike = server.sizeNow() < server.size() ? 1 : alike();
    boolean isNew = server.groups.isNew(group);
    double adds = estimate.adds(cost, isNew, alike, server.sizeNow(), meanSize);
    if (server.groups.isNew(group)) {
      holders.merge(group, 1, Integer::sum);
    }
    server.joined(now, shown ? 0 : adds, group);
    elsewhere.add(now, shown ? 0 : 1);
    return shown && adds == 0 ? Double.NaN : adds;
  }

  private int alike() {
    return Math.min(ALIKE, nodes);
  }

  /**
   * What has {@link #joined} a server is gone from there, with what it added. A connection that
   * stood before anything was measured, as those of a predecessor do, leaves what one adds now.
   * Without this their clients, once moved, waited for seconds before hosts that their own load
   * seemed to fill.
   */
  public void left(long now, ServerLimits server, double added, String group) {
    boolean lone = server.groups.isLone(group);
    double leaves = added;
    if (Double.isNaN(added)) {
      leaves = estimate.adds(1, lone, 1, server.sizeNow(), meanSize);
    }
    if (lone) {
      holders.computeIfPresent(group, (g, servers) -> servers > 1 ? servers - 1 : null);
    }
    server.left(now, leaves, group);
    elsewhere.add(now, -1);
  }

  /**
   * Measures the fleet: what all servers share, and what a connection adds to one.
   *
   * @param meanLoad of the servers, as reported; NaN where unknown
   * @param connections that stand here
   * @param nodeCount how many nodes there are, each of which is taken to hold as many
   */
  public void measure(long now, double meanLoad, int connections, int nodeCount) {
    nodes = nodeCount;
    lives.count(now, connections);
    double groups = 0;
    double sizes = 0;
    for (ServerLimits server : ready) {
      groups += server.groups.size();
      sizes += server.size();
    }
    meanSize = sizes / Math.max(1, ready.size());
    estimate.measure(meanLoad, connections * (double) nodes, groups, ready.size());
    for (ServerLimits server : ready) {
      double share = sizes > 0 ? server.size() / sizes : 1.0 / ready.size();
      server.othersAdd(
          (nodes - alike()) * share * estimate.adds(1, false, 1, server.size(), meanSize));
    }
    fleet.measure(
        ready.stream()
            .filter(s -> !s.record.resting() && s.setups.heard(now))
            .mapToDouble(s -> s.setups.slowdown())
            .toArray());
  }

  /** The figures as they are now. */
  public LimitsSnapshot snapshot(long now) {
    return new LimitsSnapshot(
        fleet.taken(),
        fleet.allowed(together(now)),
        room.size(),
        room.most(),
        retries.left(now),
        outliers.atRest(),
        ready.size(),
        fleet.slowdown());
  }
}
