package ashspar.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All limits of one node. Callers query the components directly; this class implements what
 * concerns several of them, in particular the slots of set-ups, which count for a server and for
 * the fleet.
 *
 * <p>Times are microseconds. Not thread-safe.
 *
 * @param <T> the type of the items in the waiting room
 */
public final class NodeLimits<T> {
  /**
   * The capacity of the waiting room. A node runs out of sockets before it reaches this bound,
   * which protects against requests that hold no socket.
   */
  public static final int MAX_WAITING = 16_384;

  /**
   * The multiple of a group's load for which a server must have capacity to take a group that this
   * node holds elsewhere.
   */
  private static final double NEW_GROUP_ROOM_FACTOR = 3;

  /**
   * The number of nodes that are assumed to place a connection where this one does, because they
   * see the same load reports. With more nodes, the additional placements are assumed to be spread
   * over all servers, see {@link PeerPlacements}, and each node knows only a fraction of the
   * group's holders. With a lower bound, the nodes of small fleets filled the same server together.
   */
  private static final int MAX_COINCIDING_NODES = 4;

  /** The assumed size of a server of unknown size, in cores: the smallest size known. */
  private static final double UNSIZED_CORES = 2;

  /** The interval at which the slots that the servers allow are counted. */
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
  private final List<ServerLimits> readyServers = new ArrayList<>();
  private final FleetLimit fleetLimit = new FleetLimit();
  private final PeerPlacements peerPlacements = new PeerPlacements();
  private final ReconnectingClients reconnectingClients = new ReconnectingClients();
  private final StartupPace startupPace;

  /** The number of servers on which this node holds each group. */
  private final Map<String, Integer> serversByGroup = new HashMap<>();

  private int nodeCount = 1;
  private double meanSize;
  private int serverSlots;
  private long countedAt = Long.MIN_VALUE / 2;

  private WarmUp warmUp;

  /** Creates the limits of a node that starts now. */
  public NodeLimits(long now) {
    retryBudget = new RetryBudget(now);
    startupPace = new StartupPace(now);
  }

  /**
   * Applies new settings.
   *
   * @param inverseShare the inverse of this node's share of the budgets of the fleet
   * @param overShareValue the factor applied to the value of requests over their tenant's share
   */
  public void configure(double inverseShare, double overShareValue, WarmUp newWarmUp) {
    tenantShares.configure(inverseShare, overShareValue);
    requestValues.configure(overShareValue);
    warmUp = newWarmUp;
  }

  /** Returns the warm-up of servers according to the settings. */
  public WarmUp warmUp() {
    return warmUp;
  }

  /** Creates the limits of a new server, which counts after {@link #setReady}. */
  public ServerLimits newServer(String id) {
    return new ServerLimits(id, outlierDetector, noCapacityCache, peerPlacements);
  }

  /** Sets whether the server may receive requests. */
  public void setReady(ServerLimits server, boolean ready) {
    readyServers.remove(server);
    if (ready) {
      readyServers.add(server);
    }
    server.outlierRecord.setListed(ready);
    outlierDetector.setServerCount(readyServers.size());
  }

  /** Returns whether another set-up may start on any server. */
  public boolean canSetUp(long now) {
    return startupPace.mayPlace(now, readyServers.size())
        && fleetLimit.hasFreeSlot(serverSlots(now));
  }

  /** Returns the number of set-ups that the ready servers allow in total. */
  private int serverSlots(long now) {
    if (now - countedAt >= RECOUNT_INTERVAL_MICROS) {
      countedAt = now;
      serverSlots = 0;
      for (ServerLimits server : readyServers) {
        serverSlots += server.setups.allowed();
      }
    }
    return serverSlots;
  }

  /** Records that a set-up was sent to the server. */
  public void setupSent(long now, ServerLimits server, boolean repeated) {
    startupPace.recordPlacement();
    fleetLimit.acquire();
    server.setups.acquire();
    server.outlierRecord.recordSent(now);
    if (repeated) {
      retryBudget.spend(now);
    }
  }

  /** Records that a set-up was answered with a connection after {@code elapsed}. */
  public void setupAnswered(long now, ServerLimits server, long elapsed) {
    fleetLimit.release();
    server.setups.answered(now, elapsed, fleetLimit.slowdown());
    server.outlierRecord.recordSuccess();
    noCapacityCache.serverChanged(server);
    retryBudget.recordServed(now);
  }

  /**
   * Records that a set-up ended without a connection, and releases its slot. No other method does
   * so.
   */
  public void setupEnded(long now, ServerLimits server, SetupOutcome outcome) {
    fleetLimit.release();
    switch (outcome) {
      case REFUSED -> server.setups.refused(now, true);
      case UNREACHED -> server.setups.refused(now, false);
      case TIMED_OUT -> server.setups.abandoned(now, true);
      case CALLED_OFF -> server.setups.abandoned(now, false);
      case BROKE, ERROR -> server.setups.ended();
    }
    noCapacityCache.serverChanged(server);
  }

  /**
   * Records that an open connection of this node has ended; its client may reconnect.
   *
   * @param own whether this process placed the connection; the lifetime of one inherited from a
   *     predecessor is unknown
   */
  public void connectionEnded(long now, String key, boolean own) {
    reconnectingClients.connectionEnded(key, now);
    if (own) {
      lifetimes.recordEnded(1);
      startupPace.recordEnd();
    }
  }

  /** Records that a server has closed an open connection. */
  public void connectionClosedByServer(long now) {
    reconnectingClients.closedByServer(nodeCount - 1, now);
    // The connection left only that server, and so did clients of other nodes; the other servers
    // gain no capacity.
    peerPlacements.add(now, 1);
    lifetimes.recordEnded(-1);
  }

  /**
   * Records that a client has reconnected. If it was connected through another node, its former
   * load has disappeared, and the assumed load of each server is reduced by its share of it.
   */
  public void clientReconnected(long now, String key) {
    double cores = 0;
    for (ServerLimits server : readyServers) {
      cores += server.size();
    }
    if (reconnectingClients.freedCapacity(key, now) && cores > 0) {
      for (ServerLimits server : readyServers) {
        server.addLoad(now, -loadEstimate.meanCores() / cores);
      }
      noCapacityCache.clear();
    }
  }

  /**
   * Returns whether a server has capacity for a request. A request that would bring it a group that
   * this node holds elsewhere needs capacity for {@link #NEW_GROUP_ROOM_FACTOR} times the load of
   * the group, since in a full fleet a group on an additional server costs as much as three
   * connections.
   *
   * @param value the value of the request relative to the highest, 0 to 1
   */
  public boolean hasCapacity(long now, ServerLimits server, double value, String group) {
    boolean addsHolder = server.groups.isNew(group) && holdsGroup(group);
    double groupLoad =
        addsHolder ? loadEstimate.addedLoad(0, true, 1, server.currentSize(), meanSize) : 0;
    return server.hasCapacity(now, value, NEW_GROUP_ROOM_FACTOR * groupLoad);
  }

  /** Returns the affinity of a server for connections of this group, from 0 to 1. */
  public double affinity(ServerLimits server, String group) {
    return server.groups.affinity(group, (double) coincidingNodes() / nodeCount);
  }

  /** Returns whether this node holds the group on any server. */
  public boolean holdsGroup(String group) {
    return group != null && serversByGroup.containsKey(group);
  }

  /**
   * Returns the value lost per unit of load freed by moving a connection off a server. The last
   * connection of a group also frees the load of the group.
   */
  public double valueLostByMoving(ServerLimits server, double value, String group) {
    return server.groups.isLastConnection(group) ? value / (1 + LoadEstimate.GROUP_COST) : value;
  }

  /** Returns the connections per second that keep a warm server full. */
  public double turnoverPerSecond(ServerLimits server) {
    boolean hasSize = server.size() > 0 && meanSize > 0;
    double connections =
        hasSize
            ? loadEstimate.connectionsToFill(server.size(), meanSize)
            : loadEstimate.connectionsToFill(UNSIZED_CORES, UNSIZED_CORES);
    return connections / lifetimes.meanSeconds();
  }

  /** Returns the capacity of the other servers, relative to this one. */
  public double spareCapacity(long now, ServerLimits server) {
    double spare = 0;
    for (ServerLimits other : readyServers) {
      if (other != server && other.isOpen(now)) {
        double relativeSize =
            other.size() > 0 && server.size() > 0 ? other.size() / server.size() : 1;
        spare += (ServerLimits.MAX_LOAD - other.load(now)) * relativeSize;
      }
    }
    return spare;
  }

  /**
   * Records that a request was sent to the server or that its connection is open there.
   *
   * @param cost the load relative to the mean connection
   * @param reported whether load reports already include the connection
   * @return the load added to the server, to be passed to {@link #connectionRemoved}; NaN if load
   *     reports include it and its amount is not known yet
   */
  public double connectionAdded(
      long now, ServerLimits server, double cost, String group, boolean reported) {
    // Slots of a cold server belong to one node each, so no other node places a connection there.
    int placingNodes = server.currentSize() < server.size() ? 1 : coincidingNodes();
    boolean isNew = server.groups.isNew(group);
    double addedLoad =
        loadEstimate.addedLoad(cost, isNew, placingNodes, server.currentSize(), meanSize);
    if (server.groups.isNew(group)) {
      serversByGroup.merge(group, 1, Integer::sum);
    }
    server.connectionAdded(now, reported ? 0 : addedLoad, group);
    peerPlacements.add(now, reported ? 0 : 1);
    return reported && addedLoad == 0 ? Double.NaN : addedLoad;
  }

  private int coincidingNodes() {
    return Math.min(MAX_COINCIDING_NODES, nodeCount);
  }

  /**
   * Reverses {@link #connectionAdded}. A connection that was opened before the first measurement,
   * such as that of a predecessor, removes the load that a connection adds now. Without this, its
   * client, when moved, waited several seconds for servers that seemed to be filled by the client's
   * own load.
   */
  public void connectionRemoved(long now, ServerLimits server, double addedLoad, String group) {
    boolean isLast = server.groups.isLastConnection(group);
    double removedLoad = addedLoad;
    if (Double.isNaN(addedLoad)) {
      removedLoad = loadEstimate.addedLoad(1, isLast, 1, server.currentSize(), meanSize);
    }
    if (isLast) {
      serversByGroup.computeIfPresent(group, (g, servers) -> servers > 1 ? servers - 1 : null);
    }
    server.connectionRemoved(now, removedLoad, group);
    peerPlacements.add(now, -1);
  }

  /**
   * Updates the measurements of the fleet.
   *
   * @param meanLoad the mean of the reported loads; NaN if unknown
   * @param connections the open connections of this node
   * @param newNodeCount the number of nodes, each of which is assumed to have as many connections
   */
  public void measure(long now, double meanLoad, int connections, int newNodeCount) {
    nodeCount = newNodeCount;
    lifetimes.measure(now, connections);
    double groups = 0;
    double sizes = 0;
    for (ServerLimits server : readyServers) {
      groups += server.groups.size();
      sizes += server.size();
    }
    meanSize = sizes / Math.max(1, readyServers.size());
    loadEstimate.measure(meanLoad, connections * (double) nodeCount, groups, readyServers.size());
    for (ServerLimits server : readyServers) {
      double share = sizes > 0 ? server.size() / sizes : 1.0 / readyServers.size();
      server.setPeerLoadPerPlacement(
          (nodeCount - coincidingNodes())
              * share
              * loadEstimate.addedLoad(1, false, 1, server.size(), meanSize));
    }
    fleetLimit.measure(
        readyServers.stream()
            .filter(s -> !s.outlierRecord.isEjected() && s.setups.hasRecentAnswer(now))
            .mapToDouble(s -> s.setups.slowdown())
            .toArray());
  }

  /** Returns the current values. */
  public LimitsSnapshot snapshot(long now) {
    return new LimitsSnapshot(
        fleetLimit.setupsInProgress(),
        fleetLimit.allowed(serverSlots(now)),
        waitingRoom.size(),
        waitingRoom.capacity(),
        retryBudget.available(now),
        outlierDetector.ejectedCount(),
        readyServers.size(),
        fleetLimit.slowdown());
  }
}
