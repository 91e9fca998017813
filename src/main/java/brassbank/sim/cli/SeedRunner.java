package brassbank.sim.cli;

import brassbank.sim.SimulationRun;
import brassbank.sim.check.Breach;
import brassbank.sim.fault.Plan;
import brassbank.sources.SystemClock;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import java.util.function.UnaryOperator;

/** Runs a range of seeds on several threads; each run stays on one thread. */
final class SeedRunner {
  private static final long PROGRESS_NANOS = 200_000_000;

  /** Seeds from {@code first} to {@code last}, inclusive. */
  record Range(long first, long last) {
    long count() {
      return last - first + 1;
    }
  }

  /** Results of all runs; {@code failed} is in the order of the seeds. */
  record Summary(
      Range range,
      List<SimulationRun.Result> failed,
      long virtualSeconds,
      double wallSeconds,
      int jobs,
      long fingerprint) {

    private double speed() {
      return virtualSeconds / wallSeconds;
    }

    String text() {
      StringBuilder text = new StringBuilder();
      for (SimulationRun.Result outcome : failed) {
        Breach first = outcome.breaches().get(0);
        text.append("seed ").append(outcome.plan().seed()).append(": ").append(first).append('\n');
      }
      text.append(
          String.format(
              Locale.ROOT,
              "%d seeds (%d-%d): all rules hold in %d, %d broke one%n",
              range.count(),
              range.first(),
              range.last(),
              range.count() - failed.size(),
              failed.size()));
      text.append(
          String.format(
              Locale.ROOT,
              "%d virtual seconds in %.1f s with %d jobs: %.0f a second, %.1f seeds a second%n",
              virtualSeconds,
              wallSeconds,
              jobs,
              speed(),
              range.count() / wallSeconds));
      text.append(String.format(Locale.ROOT, "fingerprint %016x", fingerprint));
      return text.toString();
    }

    String json() {
      JsonObject json = new JsonObject();
      json.addProperty("first", range.first());
      json.addProperty("last", range.last());
      json.addProperty("seeds", range.count());
      json.addProperty("sound", range.count() - failed.size());
      JsonArray broken = new JsonArray();
      for (SimulationRun.Result outcome : failed) {
        Breach first = outcome.breaches().get(0);
        JsonObject one = new JsonObject();
        one.addProperty("seed", outcome.plan().seed());
        one.addProperty("rule", first.rule());
        one.addProperty("at_s", first.atMicros() / 1e6);
        one.addProperty("what", first.description());
        broken.add(one);
      }
      json.add("broken", broken);
      json.addProperty("virtual_seconds", virtualSeconds);
      json.addProperty("wall_seconds", Math.round(wallSeconds * 1000) / 1000.0);
      json.addProperty("virtual_per_wall", Math.round(speed() * 10) / 10.0);
      json.addProperty("jobs", jobs);
      json.addProperty("fingerprint", String.format(Locale.ROOT, "%016x", fingerprint));
      return new GsonBuilder().setPrettyPrinting().create().toJson(json);
    }
  }

  private final LongFunction<Plan> plans;
  private final int jobs;
  private final PrintStream notes;
  private final SystemClock clock = new SystemClock();
  private SimulationRun.Result[] outcomes;
  private long progressAtNanos;
  private int done;
  private int broken;

  SeedRunner(LongFunction<Plan> plans, int jobs, PrintStream notes) {
    this.plans = plans;
    this.jobs = jobs;
    this.notes = notes;
  }

  /**
   * Parses one seed or {@code FIRST-LAST}.
   *
   * @throws IllegalArgumentException if the text is neither or the range is too large
   */
  static Range range(String text) {
    if (!text.matches("\\d{1,18}(-\\d{1,18})?")) {
      throw new IllegalArgumentException("not FIRST-LAST: " + text);
    }
    int dash = text.indexOf('-');
    long first = Long.parseLong(dash < 0 ? text : text.substring(0, dash));
    long last = Long.parseLong(text.substring(dash + 1));
    if (last < first || last - first >= 10_000_000) {
      throw new IllegalArgumentException("no range of at most 10,000,000 seeds: " + text);
    }
    return new Range(first, last);
  }

  Summary run(Range range) {
    long startNanos = clock.nanos();
    outcomes = new SimulationRun.Result[(int) range.count()];
    AtomicLong next = new AtomicLong(range.first());
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < Math.min(jobs, range.count()); i++) {
      Thread thread = new Thread(() -> work(next, range), "seeds-" + i);
      threads.add(thread);
      thread.start();
    }
    try {
      for (Thread thread : threads) {
        thread.join();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted", e);
    }
    printProgress(range, true);
    return summary(range, Math.max(1, clock.nanos() - startNanos) / 1e9);
  }

  private void work(AtomicLong next, Range range) {
    for (long seed = next.getAndIncrement(); seed <= range.last(); seed = next.getAndIncrement()) {
      SimulationRun.Result outcome =
          new SimulationRun(plans.apply(seed), UnaryOperator.identity()).execute();
      synchronized (this) {
        outcomes[(int) (seed - range.first())] = outcome;
        done++;
        broken += outcome.isSound() ? 0 : 1;
        printProgress(range, false);
      }
    }
  }

  /** Prints the progress on a terminal, at most five times a second. */
  private void printProgress(Range range, boolean last) {
    if (System.console() == null || (!last && clock.nanos() - progressAtNanos < PROGRESS_NANOS)) {
      return;
    }
    progressAtNanos = clock.nanos();
    notes.printf("\r%d of %d seeds, %d broken ", done, range.count(), broken);
    if (last) {
      notes.println();
    }
    notes.flush();
  }

  private Summary summary(Range range, double wallSeconds) {
    List<SimulationRun.Result> failed = new ArrayList<>();
    long seconds = 0;
    long fingerprint = 0;
    for (SimulationRun.Result outcome : outcomes) {
      seconds += outcome.endedAtSecond();
      fingerprint = fingerprint * 0x100000001b3L + outcome.fingerprint();
      if (!outcome.isSound()) {
        failed.add(outcome);
      }
    }
    return new Summary(range, failed, seconds, wallSeconds, jobs, fingerprint);
  }
}
