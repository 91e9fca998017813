package brassbank.sim.check;

import brassbank.sim.event.Event;
import brassbank.sim.event.Trace;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Evaluates the rules of a run and collects their breaches. */
public final class Checks implements Trace.Listener {
  /** How often {@link #onTick} is to be called, in microseconds. */
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

  /** Returns the rules that hold in every run. */
  public static List<Rule> commonRules(RuleParameters parameters) {
    return List.of(
        new SingleTimelyAnswer(parameters),
        new AnswerProvenance(),
        new SingleAttemptInFlight(),
        new AttemptLimit(parameters),
        new NoDuplicateEffect(parameters),
        new PromptFinalAnswer(parameters),
        new DrainRespected(parameters),
        new NoColdHostOverload(),
        new ColdHostCalls(),
        new HostRequestRate(HostRequestRate.Operation.PROBES, parameters),
        new HostRequestRate(HostRequestRate.Operation.CONNECTS, parameters),
        new HostRequestRate(HostRequestRate.Operation.SETUPS, parameters),
        new DiscoveryCallRate(parameters),
        new LineIntegrity(),
        new NoUnannouncedDisconnect(),
        new NoOrphanedClient(),
        new DisconnectRelayed(),
        new SilenceDetection(),
        new BadClientsRejected(),
        new PlannedShutdown(),
        new StandbyDrained(),
        new SingleAcceptor(),
        new DescriptorUse(parameters),
        new NoTaskFailure(),
        new Recovery(parameters));
  }

  /** Returns the rules that hold in addition in a fleet whose proxies keep a membership view. */
  public static List<Rule> membershipRules(RuleParameters parameters, boolean shares) {
    return List.of(
        new FailureDetection(parameters),
        new NoFalseFailure(),
        new ViewConvergence(parameters),
        new ViewMonotonicity(),
        new MembershipTrafficRate(parameters, shares));
  }

  /** Returns the rules that hold in addition in a fleet whose proxies share its budgets. */
  public static List<Rule> sharedBudgetRules(RuleParameters parameters) {
    return List.of(new ColdHostSlots(parameters), new SingleDrain());
  }

  /**
   * Returns the rules that hold in addition in a fleet whose proxies use a subset of the hosts
   * each.
   */
  public static List<Rule> subsetRules(RuleParameters parameters) {
    return List.of(new SubsetFanIn(parameters), new SubsetAvailability(parameters));
  }

  /**
   * The figures of a site that the rules need, in microseconds where they are times.
   *
   * @param answerSlack by how much an answer may exceed its deadline
   * @param drainGrace how long after the report of a drain a proxy may still use the host
   * @param maxAttempts attempts that a flow may have
   * @param minProxiesPerHost the least number of proxies that use a host, where proxies use subsets
   * @param recovery how long after the last fault the system must have recovered
   * @param descriptorsAreScarce whether a proxy may have fewer descriptors than the regular clients
   *     need
   * @param demand the load that the regular clients ask for together, relative to the capacity of
   *     all hosts once they are warm
   * @param repeats the repetition rule of each class; requests of a class without one may be
   *     repeated at any time
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
   * @param never it may not be sent again
   * @param window otherwise, for how long it may be, in microseconds from the first attempt that
   *     may have run
   */
  public record Repeat(boolean never, long window) {}

  @Override
  public void onEvent(long now, Event event) {
    for (Rule rule : rules) {
      rule.onEvent(now, event);
    }
  }

  /**
   * Lets the rules check what depends on time alone. The caller calls it every {@link
   * #TICK_MICROS}.
   */
  public void onTick(long now) {
    for (Rule rule : rules) {
      rule.onTick(now);
    }
  }

  /** Lets the rules check what can be judged at the end of a run only. */
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

  /** Returns how often each rule was broken so far, in the order of the rules. */
  public Map<String, Integer> breachCounts() {
    return breachCounts;
  }

  /** Returns the first twenty breaches so far, in the order of time. */
  public List<Breach> breaches() {
    return breaches;
  }
}
