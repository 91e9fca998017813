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
  public static final long EVERY = 50_000;

  private static final int MOST = 20;

  private final List<Rule> rules;
  private final List<Breach> breaches = new ArrayList<>();
  private final Map<String, Integer> counts = new LinkedHashMap<>();

  public Checks(List<Rule> rules, Truth truth) {
    this.rules = List.copyOf(rules);
    this.rules.forEach(
        rule -> {
          rule.judgedBy(this, truth);
          counts.put(rule.name(), 0);
        });
  }

  /** Every rule there is; {@code figures} are the site's. */
  public static List<Rule> all(Figures figures) {
    return List.of(
        new OneAnswer(figures),
        new AnswerFromHost(),
        new OneAttempt(),
        new FourAttempts(figures),
        new NoEffectDoubled(figures),
        new AnsweredAtOnce(figures),
        new DrainsKept(figures),
        new ColdHosts(),
        new ColdSum(),
        new HostPace(HostPace.Of.PROBES, figures),
        new HostPace(HostPace.Of.CONNECTS, figures),
        new HostPace(HostPace.Of.SETUPS, figures),
        new CallPace(figures),
        new LinesIntact(),
        new ConnectionsKept(),
        new NobodyLeft(),
        new EndsPassedOn(),
        new SilenceNoticed(),
        new BadClients(),
        new PlannedStop(),
        new StandbyEmpty(),
        new OneDoor(),
        new Descriptors(figures),
        new NoFailure(),
        new Recovery(figures));
  }

  /** Those that a fleet with a view of itself has beside them. */
  public static List<Rule> ofMembership(Figures figures, boolean shares) {
    return List.of(
        new DeathsNoticed(figures),
        new NoFalseDeath(),
        new ViewsAgree(figures),
        new ViewsGrow(),
        new MembershipPace(figures, shares));
  }

  /** Those that a fleet has besides whose proxies share its budgets. */
  public static List<Rule> ofShares(Figures figures) {
    return List.of(new ColdPlaces(figures), new OneLeaves());
  }

  /** Those that a fleet has besides whose proxies ask a part of the hosts each. */
  public static List<Rule> ofSubsets(Figures figures) {
    return List.of(new FewAsk(figures), new SubsetCostsNobody(figures));
  }

  /**
   * The site's figures that rules need, in microseconds where they are times.
   *
   * @param mostAttempts attempts that a flow may have
   * @param descriptorsBind there may be fewer descriptors than the usual clients need
   * @param demand what the usual clients ask for together, over what the fleet can do once warm
   * @param askers by how many proxies a host is asked at least, where they choose among hosts
   * @param repeats how flows of each class may be repeated; a class that is missing, at any time
   * @param recovery how long after the last fault everything must be sound again
   */
  public record Figures(
      long answerSlack,
      long drainGrace,
      int mostAttempts,
      int proxies,
      int hosts,
      int askers,
      long recovery,
      boolean descriptorsBind,
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
  public void see(long now, Event event) {
    for (Rule rule : rules) {
      rule.see(now, event);
    }
  }

  /** To be called every {@link #EVERY}. */
  public void look(long now) {
    for (Rule rule : rules) {
      rule.look(now);
    }
  }

  public void end(long now) {
    for (Rule rule : rules) {
      rule.end(now);
    }
  }

  void broken(Breach breach) {
    counts.merge(breach.rule(), 1, Integer::sum);
    if (breaches.size() < MOST) {
      breaches.add(breach);
    }
  }

  /** How often each rule was broken so far, in the rules' order. */
  public Map<String, Integer> counts() {
    return counts;
  }

  /** What was broken so far, in the order of time; no more than the first twenty. */
  public List<Breach> breaches() {
    return breaches;
  }
}
