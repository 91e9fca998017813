package brassbank.sim;

import brassbank.sim.check.Breach;
import brassbank.sim.fault.Fault;
import brassbank.sim.fault.IndexSet;
import brassbank.sim.fault.Plan;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Reduces a plan that breaks a rule: removes faults and clients for as long as the same rule is
 * still broken, first whole halves, then smaller parts ("delta debugging", Zeller and Hildebrandt,
 * IEEE TSE 28(2), 2002). Since every fault and client draws from a random stream of its own, those
 * that remain behave as before.
 */
public final class Shrinker {
  /** Maximum number of runs for one plan. */
  private static final int MAX_RUNS = 2_000;

  /** Receives the progress of a reduction. */
  public interface Progress {
    /** Reports the faults and clients that remain after this many runs. */
    void onProgress(int faults, int clients, int runs);
  }

  /** The smallest plan found, and the breach that it causes. */
  public record Shrunk(Plan plan, Breach breach, int runs) {}

  private final Function<Plan, SimulationRun.Result> runner;
  private final Progress progress;
  private Plan best;
  private Breach breach;
  private int runs;

  private Shrinker(Function<Plan, SimulationRun.Result> runner, Progress progress) {
    this.runner = runner;
    this.progress = progress;
  }

  /**
   * Reduces a plan.
   *
   * @param runner runs a plan, each time in the same way
   * @return null where the plan breaks no rule
   */
  public static Shrunk shrink(
      Plan plan, Function<Plan, SimulationRun.Result> runner, Progress progress) {
    Shrinker shrinker = new Shrinker(runner, progress);
    SimulationRun.Result first = shrinker.runner.apply(plan);
    if (first.isSound()) {
      return null;
    }
    shrinker.best = plan;
    shrinker.breach = first.breaches().get(0);
    shrinker.shorten();
    int before;
    do {
      before = shrinker.size();
      shrinker.reduceFaults();
      shrinker.reduceClients();
    } while (shrinker.size() < before && shrinker.runs < MAX_RUNS);
    return new Shrunk(shrinker.best, shrinker.breach, shrinker.runs);
  }

  private int size() {
    return best.faults().size() + clientsOf(best).size();
  }

  private static List<Integer> clientsOf(Plan plan) {
    // An upper bound of the clients that arrive; those after the end of the run have no effect.
    return plan.clients().below((int) (2 * plan.rate() * plan.seconds()) + 20);
  }

  /**
   * Ends the plan just after the breach: most breaches occur long before the end, and a run that
   * breaks no rule continues to its end.
   */
  private void shorten() {
    int end = (int) (breach.atMicros() / 1_000_000) + 1;
    if (end < best.seconds()) {
      reproduces(best.withSeconds(end));
    }
  }

  private void reduceFaults() {
    List<Fault> faults = best.faults();
    new DeltaDebugger<Fault>(faults) {
      @Override
      boolean breaksWith(List<Fault> some) {
        return reproduces(best.with(some));
      }
    }.reduce();
  }

  private void reduceClients() {
    new DeltaDebugger<Integer>(clientsOf(best)) {
      @Override
      boolean breaksWith(List<Integer> some) {
        return reproduces(best.with(IndexSet.of(some)));
      }
    }.reduce();
  }

  /** Returns whether a smaller plan breaks the same rule; if so, it becomes the best one. */
  private boolean reproduces(Plan smaller) {
    if (runs >= MAX_RUNS) {
      return false;
    }
    runs++;
    for (Breach found : runner.apply(smaller).breaches()) {
      if (found.rule().equals(breach.rule())) {
        best = smaller;
        breach = found;
        progress.onProgress(best.faults().size(), clientsOf(best).size(), runs);
        return true;
      }
    }
    return false;
  }

  /** The search: leaves out parts of a list, the larger parts first. */
  private abstract static class DeltaDebugger<T> {
    private List<T> remaining;

    DeltaDebugger(List<T> all) {
      remaining = all;
    }

    /** Returns whether the rule is still broken with only these elements. */
    abstract boolean breaksWith(List<T> some);

    void reduce() {
      for (int part = Math.max(1, remaining.size()); part >= 1; part /= 2) {
        for (int from = 0; from < remaining.size(); ) {
          List<T> without = new ArrayList<>(remaining.subList(0, from));
          without.addAll(
              remaining.subList(Math.min(remaining.size(), from + part), remaining.size()));
          if (without.size() < remaining.size() && breaksWith(without)) {
            remaining = without;
          } else {
            from += part;
          }
        }
      }
    }
  }
}
