package ashspar;

import ashspar.Balancer.RequestClass;
import ashspar.Balancer.SafetyRules;
import ashspar.Balancer.Settings;
import ashspar.Balancer.SizeMeaning;
import ashspar.Balancer.Tenant;
import ashspar.limits.IntervalLimiter;
import ashspar.limits.NodeLimits;
import ashspar.limits.WarmUp;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The components of one node and the state that they share: the time, the settings, the servers and
 * the active requests.
 */
final class Node {
  static final long MS = 1_000;
  static final long SECOND = 1_000_000;

  static final long TICK_MICROS = SECOND; // between two computations of all weights

  final Balancer.Actions actions;
  final SplittableRandom random;
  final long startedAt;
  final Map<String, RequestClass> classes = new HashMap<>();
  final Map<String, Server> servers = new HashMap<>();

  /** The servers that discovery lists as ready, in the order in which they became ready. */
  final List<Server> readyServers = new ArrayList<>();

  final Map<Long, ActiveRequest> requests = new HashMap<>();
  final NodeLimits<ActiveRequest> limits;
  final WeightedRoundRobin roundRobin = new WeightedRoundRobin(this);
  final Weights weights = new Weights(this);
  final Admission admission = new Admission(this);
  final Probing probing = new Probing(this);
  Settings settings;
  Set<String> subset; // ids of the servers assigned to this node; null for all
  long now;
  int openConnections;

  /** The number of requests so far that are neither retries nor reconnects. */
  double firstRequests;

  private final IntervalLimiter logLimiter = new IntervalLimiter(5 * SECOND);

  Node(long now, Settings settings, long seed, Balancer.Actions actions) {
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.now = now;
    this.startedAt = now;
    this.limits = new NodeLimits<>(now);
    configure(settings);
  }

  void configure(Settings changed) {
    settings = changed;
    classes.clear();
    SafetyRules rules = settings.safetyRules();
    double warmUpSeconds = rules.warmUpMicros() / (double) SECOND;
    double windowSeconds = rules.overloadWindowMicros() / (double) SECOND;
    WarmUp warmUp =
        new WarmUp(rules.coldCapacity(), warmUpSeconds, rules.overloadMultiple(), windowSeconds);
    limits.budgetDivision.configure(settings.rank(), settings.nodeCount());
    limits.configure(limits.budgetDivision.inverseShare(now), settings.overShareValue(), warmUp);
    for (RequestClass requestClass : settings.classes()) {
      classes.put(requestClass.name(), requestClass);
      limits.requestValues.addClass(requestClass.value());
    }
    for (Tenant tenant : settings.tenants()) {
      limits.tenantShares.configureTenant(tenant.name(), tenant.share(), tenant.quotaConnections());
    }
    weights.configure();
  }

  /** Returns whether the sizes in the server list state the servers' capacity. */
  boolean hasNominalSizes() {
    return settings.sizeMeaning() == SizeMeaning.NOMINAL
        || settings.sizeMeaning() == SizeMeaning.ROUGH;
  }

  /**
   * Writes a line to the operators' log, at most one every five seconds, so that a burst of events
   * does not flood the log.
   */
  void logRateLimited(String text) {
    if (logLimiter.tryAcquire(now)) {
      actions.log(text);
    }
  }

  /**
   * Returns the load of a request relative to the mean request, from its hint or else from its
   * class.
   */
  double relativeCost(ActiveRequest active) {
    return limits.requestValues.relativeCost(active.request.loadHint(), active.requestClass.name());
  }

  /**
   * Returns the value of a request relative to the most valuable class, reduced if its tenant is
   * over its share.
   */
  double relativeValue(ActiveRequest active) {
    return limits.requestValues.relativeValue(active.requestClass.value(), active.request.tenant());
  }
}
