package brassbank.sim.check;

import brassbank.sim.event.Event;
import brassbank.sim.event.Trace;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All rules of a run, and what they found. */
public final class Checks implements Trace.Listener {
  /** How often time alone is looked at, in microseconds. */
  public static final long TICK_MICROS = 50_000;

  private static final int MAX_BREACHES = 20;

  private final List<Rule> rules;
  private final List<Breach> breaches = new ArrayList<>();
  private final Map<String, Integer> breachCounts = new LinkedHashMap<>();

  public Checks(List<Rule> rules, GroundTruth truth) {
    this.rules = List.copyOf(rules);
    this.rules.forEach(
        rule -> {
          rule.attach(this, truth);
          breachCounts.put(rule.name(), 0);
        });
  }

  /** Every rule there is; {@code figures} are the site's. */
  public static List<Rule> commonRules(RuleParameters figures) {
    return List.of(
        new SingleTimelyAnswer(figures),
        new AnswerProvenance(),
        new SingleAttemptInFlight(),
        new AttemptLimit(figures),
        new NoDuplicateEffect(figures),
        new PromptFinalAnswer(figures),
        new DrainRespected(figures),
        new NoColdHostOverload(),
        new ColdHostCalls(),
        new HostRequestRate(HostRequestRate.Operation.PROBES, figures),
        new HostRequestRate(HostRequestRate.Operation.CONNECTS, figures),
        new HostRequestRate(HostRequestRate.Operation.SETUPS, figures),
        new DiscoveryCallRate(figures),
        new LineIntegrity(),
        new NoUnannouncedDisconnect(),
        new NoOrphanedClient(),
        new DisconnectRelayed(),
        new SilenceDetection(),
        new BadClientsRejected(),
        new PlannedShutdown(),
        new StandbyDrained(),
        new SingleAcceptor(),
        new DescriptorUse(figures),
        new NoTaskFailure(),
        new Recovery(figures));
  }

  /** Those that a fleet with a view of itself has beside them. */
  public static List<Rule> membershipRules(RuleParameters figures, boolean shares) {
    return List.of(
        new FailureDetection(figures),
        new NoFalseFailure(),
        new ViewConvergence(figures),
        new ViewMonotonicity(),
        new MembershipTrafficRate(figures, shares));
  }

  /** Those that a fleet has besides whose proxies share its budgets. */
  public static List<Rule> sharedBudgetRules(RuleParameters figures) {
    return List.of(new ColdHostSlots(figures), new SingleDrain());
  }

  /** Those that a fleet has besides whose proxies ask a part of the hosts each. */
  public static List<Rule> subsetRules(RuleParameters figures) {
    return List.of(new SubsetFanIn(figures), new SubsetAvailability(figures));
  }

  /**
   * The site's figures that rules need, in microseconds where they are times.
   *
   * @param maxAttempts attempts that a flow may have
   * @param descriptorsAreScarce there may be fewer descriptors than the usual clients need
   * @param demand what the usual clients ask for together, over what the fleet can do once warm
   * @param minProxiesPerHost by how many proxies a host is asked at least, where they choose among
   *     hosts
   * @param repeats how flows of each class may be repeated; a class that is missing, at any time
   * @param recovery how long after the last fault everything must be sound again
   */
  public record RuleParameters(
      long answerSlack,
      long drainGrace,
      int maxAttempts,
      int proxies,
      int hosts,
      int minProxiesPerHost,
      long recovery,
      boolean descriptorsAreScarce,
      double demand,
      Map<String, Repeat> repeats) {}

  /**
   * Whether a flow may be sent again once it may have run.
   *
   * @param never it may not
   * @param window else for how long, in microseconds from the first attempt that may have run
   */
  public record Repeat(boolean never, long window) {}

  @Override
  public void onEvent(long now, Event event) {
    for (Rule rule : rules) {
      rule.onEvent(now, event);
    }
  }

  /** To be called every {@link #TICK_MICROS}. */
  public void onTick(long now) {
    for (Rule rule : rules) {
      rule.onTick(now);
    }
  }

  public void onEnd(long now) {
    for (Rule rule : rules) {
      rule.onEnd(now);
    }
  }

  void record(Breach breach) {
    breachCounts.merge(breach.rule(), 1, Integer::sum);
    if (breaches.size() < MAX_BREACHES) {
      breaches.add(breach);
    }
  }

  /** How often each rule was broken so far, in the rules' order. */
  public Map<String, Integer> breachCounts() {
    return breachCounts;
  }

  /** What was broken so far, in the order of time; no more than the first twenty. */
  public List<Breach> breaches() {
    return breaches;
  }
}
