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
public final class NodeLimits<T> {
  /** More than the sockets of one node: the bound is for what is no socket. */
  public static final int MAX_WAITING = 16_384;

  /** How many times the room of a group a server must have to take one that is held elsewhere. */
  private static final double NEW_GROUP_ROOM_FACTOR = 3;

  /**
   * Up to so many nodes that see the same reports are taken to place where this one does. More
   * spread out, see {@link PeerPlacements}, and each knows but a part of who holds which group;
   * fewer, and small fleets filled the same server together.
   */
  private static final int MAX_COINCIDING_NODES = 4;

  /** Cores taken for a server whose size is not told: as few as any that was met. */
  private static final double UNSIZED_CORES = 2;

  /** How long the fleet's places are taken for what they were when they were counted. */
  private static final long RECOUNT_INTERVAL_MICROS = 20_000;

  public final TenantShares tenantShares = new TenantShares();
  public final WaitingRoom<T> waitingRoom = new WaitingRoom<>(MAX_WAITING, tenantShares);
  public final OutlierDetector outlierDetector = new OutlierDetector();
  public final ConnectionLifetimes lifetimes = new ConnectionLifetimes();
  public final LoadEstimate loadEstimate = new LoadEstimate();
  public final NoCapacityCache noCapacityCache = new NoCapacityCache();
  public final RequestValues requestValues = new RequestValues(tenantShares, loadEstimate);
  public final AttemptTimeout attemptTimeout = new AttemptTimeout();
  public final ProbeBudget probeBudget = new ProbeBudget();
  public final SubsetScope subsetScope = new SubsetScope();
  public final BudgetDivision budgetDivision = new BudgetDivision();
  public final RetryBudget retryBudget;
  private final List<ServerLimits> setReady = new ArrayList<>();
  private final FleetLimit fleetLimit = new FleetLimit();
  private final PeerPlacements peerPlacements = new PeerPlacements();
  private final ReconnectingClients reconnectingClients = new ReconnectingClients();
  private final StartupPace startupPace;

  /** On how many servers this node holds a group. */
  private final Map<String, Integer> serversByGroup = new HashMap<>();

  private int nodeCount = 1;
  private double meanSize;
  private int serverSlots;
  private long countedAt = Long.MIN_VALUE / 2;

  private WarmUp warmUp;

  /** The limits of a node that starts now. */
  public NodeLimits(long now) {
    retryBudget = new RetryBudget(now);
    startupPace = new StartupPace(now);
  }

  /**
   * New settings: the inverse of this node's part of the fleet's budgets, and what a request over
   * its tenant's share is worth.
   */
  public void configure(double ofNodes, double overShareWorth, WarmUp warming) {
    tenantShares.configure(ofNodes, overShareWorth);
    requestValues.configure(overShareWorth);
    warmUp = warming;
  }

  /** How servers warm up, by the settings. */
  public WarmUp warmUp() {
    return warmUp;
  }

  /** Limits for a server that is heard of; it counts from {@link #setReady} on. */
  public ServerLimits newServer(String id) {
    return new ServerLimits(id, outlierDetector, noCapacityCache, peerPlacements);
  }

  /** The server may be sent to from now on, or no longer. */
  public void setReady(ServerLimits server, boolean on) {
    setReady.remove(server);
    if (on) {
      setReady.add(server);
    }
    server.outlierRecord.setListed(on);
    outlierDetector.setServerCount(setReady.size());
  }

  /** Whether one more set-up may go, wherever it goes to. */
  public boolean canSetUp(long now) {
    return startupPace.mayPlace(now, setReady.size()) && fleetLimit.hasFreeSlot(serverSlots(now));
  }

  private int serverSlots(long now) {
    if (now - countedAt >= RECOUNT_INTERVAL_MICROS) {
      countedAt = now;
      serverSlots = 0;
      for (ServerLimits server : setReady) {
        serverSlots += server.setups.allowed();
      }
    }
    return serverSlots;
  }

  /** A set-up goes to the server. */
  public void setupSent(long now, ServerLimits server, boolean again) {
    startupPace.recordPlacement();
    fleetLimit.acquire();
    server.setups.acquire();
    server.outlierRecord.recordSent(now);
    if (again) {
      retryBudget.spend(now);
    }
  }

  /** A set-up has been answered with a connection, after so long. */
  public void setupAnswered(long now, ServerLimits server, long elapsed) {
    fleetLimit.release();
    server.setups.answered(now, elapsed, fleetLimit.slowdown());
    server.outlierRecord.recordSuccess();
    noCapacityCache.serverChanged(server);
    retryBudget.recordServed(now);
  }

  /** A set-up has ended otherwise. Its place is given back, and here only. */
  public void setupEnded(long now, ServerLimits server, SetupOutcome how) {
    fleetLimit.release();
    switch (how) {
      case REFUSED -> server.setups.refused(now, true);
      case UNREACHED -> server.setups.refused(now, false);
      case TIMED_OUT -> server.setups.abandoned(now, true);
      case CALLED_OFF -> server.setups.abandoned(now, false);
      case BROKE, ERROR -> server.setups.ended();
    }
    noCapacityCache.serverChanged(server);
  }

  /**
   * A standing connection of this node has ended; its client may return.
   *
   * @param own whether this process has placed it: another's, which it has succeeded, tells nothing
   *     of how long connections live
   */
  public void connectionEnded(long now, String key, boolean own) {
    reconnectingClients.connectionEnded(key, now);
    if (own) {
      lifetimes.recordEnded(1);
      startupPace.recordEnd();
    }
  }

  /** A server has broken a standing connection, or sent its client away. */
  public void connectionClosedByServer(long now) {
    reconnectingClients.closedByServer(nodeCount - 1, now);
    // It has left that server only, and others' clients have left it, too: no room anywhere else.
    peerPlacements.add(now, 1);
    lifetimes.recordEnded(-1);
  }

  /**
   * A client has returned. Where it was another node's, what its connection asked is asked no
   * longer: each server is taken to have as much less.
   */
  public void clientReconnected(long now, String key) {
    double cores = 0;
    for (ServerLimits server : setReady) {
      cores += server.size();
    }
    if (reconnectingClients.freedCapacity(key, now) && cores > 0) {
      for (ServerLimits server : setReady) {
        server.addLoad(now, -loadEstimate.meanCores() / cores);
      }
      noCapacityCache.clear();
    }
  }

  /**
   * Whether a server has room for a request. One that would bring it a group which this node holds
   * elsewhere needs {@link #NEW_GROUP_ROOM_FACTOR} times the room that the group takes: in a full
   * fleet a group on one server more costs what three connections do.
   *
   * @param value what the request is worth against the worthiest, 0 to 1
   */
  public boolean waitingRoom(long now, ServerLimits server, double value, String group) {
    boolean spreads = server.groups.isNew(group) && holdsGroup(group);
    double costs = spreads ? loadEstimate.addedLoad(0, true, 1, server.currentSize(), meanSize) : 0;
    return server.hasCapacity(now, value, NEW_GROUP_ROOM_FACTOR * costs);
  }

  /** How much a connection of this group is liked at a server, from 0 to 1. */
  public double affinity(ServerLimits server, String group) {
    return server.groups.affinity(group, (double) coincidingNodes() / nodeCount);
  }

  /** Whether this node holds the group anywhere. */
  public boolean holdsGroup(String group) {
    return group != null && serversByGroup.containsKey(group);
  }

  /**
   * What is lost by moving a connection off a server, for each load that this frees: the last of a
   * group takes the group's cost along.
   */
  public double valueLostByMoving(ServerLimits server, double value, String group) {
    return server.groups.isLastConnection(group) ? value / (1 + LoadEstimate.GROUP_COST) : value;
  }

  /** Connections a second by which a warm server stays full. */
  public double turnoverPerSecond(ServerLimits server) {
    boolean sized = server.size() > 0 && meanSize > 0;
    double fill =
        sized
            ? loadEstimate.connectionsToFill(server.size(), meanSize)
            : loadEstimate.connectionsToFill(UNSIZED_CORES, UNSIZED_CORES);
    return fill / lifetimes.meanSeconds();
  }

  /** Room at the other servers, in loads of this one. */
  public double spareCapacity(long now, ServerLimits server) {
    double spare = 0;
    for (ServerLimits other : setReady) {
      if (other != server && other.isOpen(now)) {
        double sizes = other.size() > 0 && server.size() > 0 ? other.size() / server.size() : 1;
        spare += (ServerLimits.MAX_LOAD - other.load(now)) * sizes;
      }
    }
    return spare;
  }

  /**
   * A request goes to the server, or its connection stands there.
   *
   * @param cost its load against a mean one's
   * @param shown whether reports show it already
   * @return what it adds to the server's load, to be given back by {@link #connectionRemoved}; NaN
   *     where reports show it and nothing tells yet how much it is
   */
  public double connectionAdded(
      long now, ServerLimits server, double cost, String group, boolean shown) {
    // Places of a cold server are dealt out: nobody else takes this one.
    int alike = server.currentSize() < server.size() ? 1 : coincidingNodes();
    boolean isNew = server.groups.isNew(group);
    double adds = loadEstimate.addedLoad(cost, isNew, alike, server.currentSize(), meanSize);
    if (server.groups.isNew(group)) {
      serversByGroup.merge(group, 1, Integer::sum);
    }
    server.connectionAdded(now, shown ? 0 : adds, group);
    peerPlacements.add(now, shown ? 0 : 1);
    return shown && adds == 0 ? Double.NaN : adds;
  }

  private int coincidingNodes() {
    return Math.min(MAX_COINCIDING_NODES, nodeCount);
  }

  /**
   * What has {@link #connectionAdded} a server is gone from there, with what it added. A connection
   * that stood before anything was measured, as those of a predecessor do, leaves what one adds
   * now. Without this their clients, once moved, waited for seconds before hosts that their own
   * load seemed to fill.
   */
  public void connectionRemoved(long now, ServerLimits server, double added, String group) {
    boolean lone = server.groups.isLastConnection(group);
    double leaves = added;
    if (Double.isNaN(added)) {
      leaves = loadEstimate.addedLoad(1, lone, 1, server.currentSize(), meanSize);
    }
    if (lone) {
      serversByGroup.computeIfPresent(group, (g, servers) -> servers > 1 ? servers - 1 : null);
    }
    server.connectionRemoved(now, leaves, group);
    peerPlacements.add(now, -1);
  }

  /**
   * Measures the fleet: what all servers share, and what a connection adds to one.
   *
   * @param meanLoad of the servers, as reported; NaN where unknown
   * @param connections that stand here
   * @param newNodeCount how many nodes there are, each of which is taken to hold as many
   */
  public void measure(long now, double meanLoad, int connections, int newNodeCount) {
    nodeCount = newNodeCount;
    lifetimes.measure(now, connections);
    double groups = 0;
    double sizes = 0;
    for (ServerLimits server : setReady) {
      groups += server.groups.size();
      sizes += server.size();
    }
    meanSize = sizes / Math.max(1, setReady.size());
    loadEstimate.measure(meanLoad, connections * (double) nodeCount, groups, setReady.size());
    for (ServerLimits server : setReady) {
      double share = sizes > 0 ? server.size() / sizes : 1.0 / setReady.size();
      server.setPeerLoadPerPlacement(
          (nodeCount - coincidingNodes())
              * share
              * loadEstimate.addedLoad(1, false, 1, server.size(), meanSize));
    }
    fleetLimit.measure(
        setReady.stream()
            .filter(s -> !s.outlierRecord.isEjected() && s.setups.hasRecentAnswer(now))
            .mapToDouble(s -> s.setups.slowdown())
            .toArray());
  }

  /** The figures as they are now. */
  public LimitsSnapshot snapshot(long now) {
    return new LimitsSnapshot(
        fleetLimit.setupsInProgress(),
        fleetLimit.allowed(serverSlots(now)),
        waitingRoom.size(),
        waitingRoom.capacity(),
        retryBudget.available(now),
        outlierDetector.ejectedCount(),
        setReady.size(),
        fleetLimit.slowdown());
  }
}
