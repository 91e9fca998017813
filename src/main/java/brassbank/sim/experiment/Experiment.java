package brassbank.sim.experiment;

import brassbank.sim.SimulationRun;
import brassbank.sim.fault.Plan;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BiFunction;
import java.util.function.UnaryOperator;

/** Runs variants on the same seeds on several threads; each run stays on one thread. */
public final class Experiment {
  private final BiFunction<Variant, Long, Plan> plans;
  private final int jobs;

  /**
   * @param plans returns the plan of a variant and a seed
   * @param jobs number of concurrent runs
   */
  public Experiment(BiFunction<Variant, Long, Plan> plans, int jobs) {
    this.plans = plans;
    this.jobs = jobs;
  }

  /**
   * Runs all variants on all seeds and returns the figures of each variant in the order of the
   * seeds.
   *
   * @throws IllegalStateException if a run fails
   */
  public Map<Variant, List<Map<Figure, Double>>> run(List<Variant> variants, long first, long last)
      throws InterruptedException {
    ExecutorService workers = Executors.newFixedThreadPool(jobs);
    try {
      Map<Variant, List<Future<Map<Figure, Double>>>> pending = new LinkedHashMap<>();
      variants.forEach(variant -> pending.put(variant, new ArrayList<>()));
      for (long seed = first; seed <= last; seed++) {
        for (Variant variant : variants) {
          Plan plan = plans.apply(variant, seed);
          pending.get(variant).add(workers.submit(() -> play(plan)));
        }
      }
      Map<Variant, List<Map<Figure, Double>>> results = new LinkedHashMap<>();
      for (Variant variant : variants) {
        List<Map<Figure, Double>> all = new ArrayList<>();
        for (Future<Map<Figure, Double>> one : pending.get(variant)) {
          all.add(one.get());
        }
        results.put(variant, all);
      }
      return results;
    } catch (ExecutionException e) {
      throw new IllegalStateException("a play failed", e.getCause());
    } finally {
      workers.shutdownNow();
    }
  }

  private static Map<Figure, Double> play(Plan plan) {
    SimulationRun run = new SimulationRun(plan, UnaryOperator.identity());
    FigureCounter counter = new FigureCounter(run.capacities(), run.zones());
    run.trace().addListener(counter);
    SimulationRun.Result outcome = run.execute();
    return counter.figures(outcome.endedAt(), outcome.isSound());
  }
}
