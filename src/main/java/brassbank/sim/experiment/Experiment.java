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

/** Plays variants on the same seeds, several plays at once, each on one thread. */
public final class Experiment {
  private final BiFunction<Variant, Long, Plan> plans;
  private final int jobs;

  /**
   * @param plans the plan of a variant and a seed
   * @param jobs plays at once
   */
  public Experiment(BiFunction<Variant, Long, Plan> plans, int jobs) {
    this.plans = plans;
    this.jobs = jobs;
  }

  /** The figures of each variant, by the seeds' order. */
  public Map<Variant, List<Map<Figure, Double>>> run(List<Variant> variants, long first, long last)
      throws InterruptedException {
    ExecutorService workers = Executors.newFixedThreadPool(jobs);
    try {
      Map<Variant, List<Future<Map<Figure, Double>>>> under = new LinkedHashMap<>();
      variants.forEach(variant -> under.put(variant, new ArrayList<>()));
      for (long seed = first; seed <= last; seed++) {
        for (Variant variant : variants) {
          Plan plan = plans.apply(variant, seed);
          under.get(variant).add(workers.submit(() -> play(plan)));
        }
      }
      Map<Variant, List<Map<Figure, Double>>> results = new LinkedHashMap<>();
      for (Variant variant : variants) {
        List<Map<Figure, Double>> all = new ArrayList<>();
        for (Future<Map<Figure, Double>> one : under.get(variant)) {
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
    FigureCounter counted = new FigureCounter(run.capacities(), run.zones());
    run.trace().addListener(counted);
    SimulationRun.Result outcome = run.execute();
    return counted.figures(outcome.endedAt(), outcome.isSound());
  }
}
