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

/** One run of a plan: the world is built, everybody starts, and time goes by under all checks. */
public final class SimulationRun {
  /** More steps than this at one moment are a loop that never ends. */
  private static final long MAX_STEPS_AT_ONE_TIME = 1_000_000;

  /** What came of a run. */
  public record Result(
      Plan plan,
      List<Breach> breaches,
      long endedAt,
      long steps,
      long fingerprint,
      ServiceStatistics service) {
    /** Virtual seconds that it lasted, rounded up. */
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
   * @param wrapping put round the network of each proxy; the identity but where a test plants a bug
   */
  public SimulationRun(Plan plan, UnaryOperator<Network> wrapping) {
    this(plan, wrapping, UnaryOperator.identity());
  }

  /**
   * @param told the site as the proxies are told of it; as it is but where a test plants a fault
   */
  public SimulationRun(Plan plan, UnaryOperator<Network> wrapping, UnaryOperator<Site> told) {
    this(plan, wrapping, told, UnaryOperator.identity());
  }

  /**
   * @param joins how proxies become members, where they do; as it is but where a test plants a file
   */
  SimulationRun(
      Plan plan,
      UnaryOperator<Network> wrapping,
      UnaryOperator<Site> told,
      UnaryOperator<MembershipConfig> joins) {
    this(plan, wrapping, told, joins, ScenarioRun.site(plan));
  }

  /**
   * @param stated the deployment, where it is another than the plan's own
   */
  SimulationRun(
      Plan plan,
      UnaryOperator<Network> wrapping,
      UnaryOperator<Site> told,
      UnaryOperator<MembershipConfig> joins,
      Site stated) {
    this.plan = plan;
    Site site = told.apply(stated);
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

  /** To be called before {@link #execute}, by whoever wants to see the events. */
  public Trace trace() {
    return scenario.trace();
  }

  /** What each host can hold once it is warm, by its name, in sessions of mean load. */
  public Map<String, Double> capacities() {
    Map<String, Double> capacities = new TreeMap<>();
    scenario.world().hosts().forEach((name, host) -> capacities.put(name, host.capacity()));
    return capacities;
  }

  /** The zones of hosts and proxies, by their names. */
  public Map<String, String> zones() {
    return scenario.zones();
  }

  /** Puts what the proxies log into the trace. */
  public void includeLogs() {
    logs = true;
  }

  /** Runs it to its end, or to the first breach. Nothing of it leaves the calling thread. */
  public Result execute() {
    return execute(breach -> true);
  }

  /**
   * As {@link #execute()}, but only a breach that {@code ends} says so of ends the run: a test of
   * one rule goes on past those that the same bug breaks before.
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
    long moment = 0;
    long atOnce = 0;
    List<Breach> breaches = scenario.checks().breaches();
    while (breaches.stream().noneMatch(ends) && agenda.step(scenario.end())) {
      atOnce = agenda.now() == moment ? atOnce + 1 : 0;
      moment = agenda.now();
      if (atOnce > MAX_STEPS_AT_ONE_TIME) {
        breaches.add(new Breach("time goes on", moment, "a loop that never ends"));
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

  /** What a proxy logs: a failure is a rule's business, all else the trace's. */
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
