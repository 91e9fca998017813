package ashspar;

import ashspar.Balancer.RequestClass;
import ashspar.Balancer.SafetyRules;
import ashspar.Balancer.Settings;
import ashspar.Balancer.SizeMeaning;
import ashspar.Balancer.Tenant;
import ashspar.limits.Limits;
import ashspar.limits.Pause;
import ashspar.limits.WarmUp;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** One node's parts, and what they share: its time, its settings and what it holds. */
final class Node {
  static final long MS = 1_000;
  static final long SECOND = 1_000_000;

  static final long INTERVAL = SECOND; // between two computations of all weights

  final Balancer.Actions actions;
  final SplittableRandom random;
  final long startedAt;
  final Map<String, RequestClass> classes = new HashMap<>();
  final Map<String, Server> servers = new HashMap<>();

  /** The servers that discovery lists as ready, in the order in which they became so. */
  final List<Server> ready = new ArrayList<>();

  final Map<Long, Held> requests = new HashMap<>();
  final Limits<Held> limits;
  final Wheels wheels = new Wheels(this);
  final Weights weights = new Weights(this);
  final Admission admission = new Admission(this);
  final Probing probing = new Probing(this);
  Settings settings;
  Set<String> own; // servers that are this node's to ask; null for all
  long now;
  int openConnections;

  /** Clients' first tries so far. */
  double arrivals;

  private final Pause saying = new Pause(5 * SECOND);

  Node(long now, Settings settings, long seed, Balancer.Actions actions) {
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.now = now;
    this.startedAt = now;
    this.limits = new Limits<>(now);
    configure(settings);
  }

  void configure(Settings changed) {
    settings = changed;
    classes.clear();
    SafetyRules rules = settings.safetyRules();
    double warm = rules.warmUpMicros() / (double) SECOND;
    double window = rules.overloadWindowMicros() / (double) SECOND;
    WarmUp warmUp = new WarmUp(rules.coldCapacity(), warm, rules.overloadMultiple(), window);
    limits.division.configure(settings.rank(), settings.nodeCount());
    limits.configure(limits.division.spacing(now), settings.overShareValue(), warmUp);
    for (RequestClass type : settings.classes()) {
      classes.put(type.name(), type);
      limits.worths.ofClass(type.value());
    }
    for (Tenant tenant : settings.tenants()) {
      limits.shares.tenant(tenant.name(), tenant.share(), tenant.quotaConnections());
    }
    weights.configure();
  }

  /** Whether the sizes of the list tell what servers can do. */
  boolean sized() {
    return settings.sizeMeaning() == SizeMeaning.NOMINAL
        || settings.sizeMeaning() == SizeMeaning.ROUGH;
  }

  /** A line for the operators, at most one in five seconds: a storm must not fill their logs. */
  void say(String text) {
    if (saying.over(now)) {
      actions.log(text);
    }
  }

  /** A request's load against the mean request's, by its hint or else by what its class tells. */
  double cost(Held h) {
    return limits.worths.cost(h.request.loadHint(), h.type.name());
  }

  /** A request's worth against the worthiest class's; little where its tenant is over its share. */
  double value(Held h) {
    return limits.worths.value(h.type.value(), h.request.tenant());
  }
}
