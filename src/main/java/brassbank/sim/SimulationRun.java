package brassbank.sim;

import brassbank.log.Field;
import brassbank.log.Level;
import brassbank.log.Log;
import brassbank.membership.MembershipConfig;
import brassbank.net.Network;
import brassbank.sim.actor.Site;
import brassbank.sim.check.Breach;
import brassbank.sim.event.Event;
import brassbank.sim.event.Trace;
import brassbank.sim.fault.FaultKinds;
import brassbank.sim.fault.Plan;
import brassbank.sim.proxy.ProxyNode;
import brassbank.sim.time.Agenda;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * One run of a plan in virtual time: builds the environment, starts all actors, and advances the
 * time while all rules are checked.
 */
public final class SimulationRun {
  /** More steps than this at one virtual time are taken for an endless loop. */
  private static final long MAX_STEPS_AT_ONE_TIME = 1_000_000;

  /** The result of a run. */
  public record Result(
      Plan plan,
      List<Breach> breaches,
      long endedAt,
      long steps,
      long fingerprint,
      ServiceStatistics service) {
    /** Returns the virtual seconds that the run lasted, rounded up. */
    public long endedAtSecond() {
      return (endedAt + Agenda.SECOND - 1) / Agenda.SECOND;
    }

    public boolean isSound() {
      return breaches.isEmpty();
    }
  }

  private final Plan plan;
  private final ScenarioRun scenario;
  private boolean logs;

  /**
   * Creates a run.
   *
   * @param wrapping wraps the network of each proxy; the identity except where a test plants a bug
   */
  public SimulationRun(Plan plan, UnaryOperator<Network> wrapping) {
    this(plan, wrapping, UnaryOperator.identity());
  }

  /**
   * Creates a run.
   *
   * @param configured maps the site to the one that proxies are configured for; the identity except
   *     where a test plants a fault
   */
  public SimulationRun(Plan plan, UnaryOperator<Network> wrapping, UnaryOperator<Site> configured) {
    this(plan, wrapping, configured, UnaryOperator.identity());
  }

  /**
   * Creates a run.
   *
   * @param joins maps the membership settings of each proxy; the identity except where a test
   *     plants a settings file
   */
  SimulationRun(
      Plan plan,
      UnaryOperator<Network> wrapping,
      UnaryOperator<Site> configured,
      UnaryOperator<MembershipConfig> joins) {
    this(plan, wrapping, configured, joins, ScenarioRun.site(plan));
  }

  /**
   * Creates a run.
   *
   * @param stated the deployment, where it differs from the plan's own
   */
  SimulationRun(
      Plan plan,
      UnaryOperator<Network> wrapping,
      UnaryOperator<Site> configured,
      UnaryOperator<MembershipConfig> joins,
      Site stated) {
    this.plan = plan;
    Site site = configured.apply(stated);
    boolean upgraded =
        plan.faults().stream()
            .anyMatch(fault -> fault.kind().name().equals(FaultKinds.PROXY_UPGRADE));
    scenario =
        new ScenarioRun(
            plan,
            ScenarioRun.Environment.VIRTUAL,
            (world, name, rank, machine) ->
                new ProxyNode(
                    world,
                    site,
                    name,
                    rank,
                    machine,
                    wrapping,
                    upgraded,
                    plan.usesMembership()
                        ? joins.apply(SimulatedMembership.configFor(plan))
                        : null),
            stated);
  }

  /** Returns the trace. Listeners must be added before {@link #execute}. */
  public Trace trace() {
    return scenario.trace();
  }

  /** Returns the warm capacity of each host in sessions of mean load, by the host's name. */
  public Map<String, Double> capacities() {
    Map<String, Double> capacities = new TreeMap<>();
    scenario.world().hosts().forEach((name, host) -> capacities.put(name, host.capacity()));
    return capacities;
  }

  /** Returns the zones of hosts and proxies, by their names. */
  public Map<String, String> zones() {
    return scenario.zones();
  }

  /** Includes what the proxies log in the trace. */
  public void includeLogs() {
    logs = true;
  }

  /** Runs the plan to its end, or to the first breach, on the calling thread. */
  public Result execute() {
    return execute(breach -> true);
  }

  /**
   * Runs the plan to its end, or to the first breach that {@code ends} accepts: the test of one
   * rule has to continue past rules that the same bug breaks earlier.
   */
  Result execute(Predicate<Breach> ends) {
    Log.setThreadSink(this::onLogEvent);
    try {
      return run(ends);
    } finally {
      Log.setThreadSink(null);
    }
  }

  private Result run(Predicate<Breach> ends) {
    Agenda agenda = scenario.agenda();
    scenario.begin();
    long lastTime = 0;
    long stepsAtOneTime = 0;
    List<Breach> breaches = scenario.checks().breaches();
    while (breaches.stream().noneMatch(ends) && agenda.step(scenario.end())) {
      stepsAtOneTime = agenda.now() == lastTime ? stepsAtOneTime + 1 : 0;
      lastTime = agenda.now();
      if (stepsAtOneTime > MAX_STEPS_AT_ONE_TIME) {
        breaches.add(new Breach("time goes on", lastTime, "a loop that never ends"));
      }
    }
    if (breaches.isEmpty()) {
      scenario.checks().onEnd(agenda.now());
    }
    scenario.service().finish(agenda.now());
    return new Result(
        plan,
        List.copyOf(breaches),
        agenda.now(),
        agenda.steps(),
        agenda.fingerprint(),
        scenario.service());
  }

  /**
   * Publishes what a proxy logs: errors always, since a rule covers them, and the rest if logs are
   * included.
   */
  private void onLogEvent(brassbank.log.Event event) {
    String proxy = scenario.world().fabric().runningProgram().name();
    if (event.level() == Level.ERROR) {
      scenario.world().publish(new Event.ProxyFailed(proxy, text(event)));
    } else if (logs) {
      scenario.world().publish(new Event.ProxyLogged(proxy, text(event)));
    }
  }

  private static String text(brassbank.log.Event event) {
    StringBuilder text = new StringBuilder();
    text.append(event.level()).append(' ').append(event.component());
    text.append(' ').append(event.name());
    for (Field field : event.fields()) {
      text.append(' ').append(field.name()).append('=').append(field.value());
    }
    return text.append(event.cause() == null ? "" : " " + event.cause()).toString();
  }
}
