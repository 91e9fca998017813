package brassbank.sim.cli;

import brassbank.cli.ExitStatus;
import brassbank.cli.UsageException;
import brassbank.sim.Shrinker;
import brassbank.sim.SimulationRun;
import brassbank.sim.check.Breach;
import brassbank.sim.fault.FaultKind;
import brassbank.sim.fault.FaultKinds;
import brassbank.sim.fault.Plan;
import brassbank.sim.fault.Script;
import brassbank.sim.fault.ScriptException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.UnaryOperator;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs whole proxies in virtual time with faults drawn from seeds or written in a script. */
@Command(
    name = "simulate",
    description = "Run whole proxies in virtual time against faults drawn from seeds.",
    footer = {
      "",
      "Examples:",
      "  brassbank simulate --seeds 1-1000 --jobs 8",
      "  brassbank simulate --seeds 1-100 --night JOIN",
      "  brassbank simulate --seed 77 --trace | less",
      "  brassbank simulate --shrink 77",
      "  brassbank simulate --script seed-77.toml --trace"
    })
public final class SimulateCommand implements Callable<Integer> {
  private static final int MAX_JOBS = 256;
  private static final int MAX_PROXIES = 250;

  /** What to run; exactly one option must be given. */
  private static final class RunTarget {
    @Option(
        names = "--seeds",
        paramLabel = "FIRST-LAST",
        description = "Run these seeds and print a summary.")
    private String seeds;

    @Option(names = "--seed", paramLabel = "SEED", description = "Run one seed.")
    private Long seed;

    @Option(
        names = "--shrink",
        paramLabel = "SEED",
        description = "Take faults and clients away while the seed still fails; write the rest.")
    private Long shrink;

    @Option(names = "--script", paramLabel = "FILE", description = "Run a script.")
    private Path script;

    @Option(names = "--kinds", description = "List the kinds of fault.")
    private boolean kinds;
  }

  @ArgGroup(multiplicity = "1")
  private RunTarget target;

  @Option(
      names = "--jobs",
      paramLabel = "N",
      description = "Seeds that run at once; as many as there are cores if it is not given.")
  private int jobs = Runtime.getRuntime().availableProcessors();

  @Option(names = "--trace", description = "Print every event of the run.")
  private boolean trace;

  @Option(names = "--json", description = "Print the summary as JSON.")
  private boolean json;

  @Option(
      names = "--out",
      paramLabel = "FILE",
      description = "Where --shrink writes its script; seed-SEED.toml if it is not given.")
  private Path out;

  @Mixin private SiteOptions site;

  private final PrintStream output = System.out;
  private final PrintStream notes = System.err;

  @Override
  public Integer call() throws IOException {
    site.validate(MAX_PROXIES);
    require(jobs >= 1 && jobs <= MAX_JOBS, "--jobs must be from 1 to " + MAX_JOBS);
    require(
        !trace || target.seed != null || target.script != null, "--trace needs --seed or --script");
    require(out == null || target.shrink != null, "--out needs --shrink");
    require(
        !site.scenario() || target.script == null,
        "--night needs seeds: a script has its own faults");
    require(
        !site.usesFleetMode() || target.script == null,
        "--membership and --shares need seeds: a script says it itself");
    require(!json || target.seeds != null, "--json needs --seeds");
    if (target.kinds) {
      return kinds();
    }
    if (target.script != null) {
      return runOne(script());
    }
    if (target.seed != null) {
      return runOne(site.plan(target.seed));
    }
    return target.shrink != null ? shrink() : seeds();
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new UsageException(message);
    }
  }

  private Plan script() throws IOException {
    try {
      return Script.read(target.script);
    } catch (ScriptException e) {
      throw new UsageException(e.getMessage());
    }
  }

  private int kinds() {
    for (FaultKind kind : FaultKinds.ALL) {
      output.printf(
          "%-24s %-6s %s%n", kind, kind.targetType().name().toLowerCase(Locale.ROOT), kind.about());
    }
    return ExitStatus.OK;
  }

  private int runOne(Plan plan) {
    SimulationRun run = new SimulationRun(plan, UnaryOperator.identity());
    if (trace) {
      run.includeLogs();
      run.trace()
          .addListener((now, event) -> output.printf("%11.6f %s%n", now / 1e6, event.text()));
    }
    SimulationRun.Result outcome = run.execute();
    for (Breach breach : outcome.breaches()) {
      output.println(breach);
    }
    output.printf(
        "%s%nseed %d: %s; %d steps; fingerprint %016x%n",
        outcome.service().summary(),
        plan.seed(),
        outcome.isSound() ? "all rules hold" : "a rule is broken",
        outcome.steps(),
        outcome.fingerprint());
    return outcome.isSound() ? ExitStatus.OK : ExitStatus.FAILED;
  }

  private int seeds() {
    SeedRunner.Range range;
    try {
      range = SeedRunner.range(target.seeds);
    } catch (IllegalArgumentException e) {
      throw new UsageException("--seeds: " + e.getMessage());
    }
    SeedRunner.Summary summary = new SeedRunner(site::plan, jobs, notes).run(range);
    output.println(json ? summary.json() : summary.text());
    return summary.failed().isEmpty() ? ExitStatus.OK : ExitStatus.FAILED;
  }

  private int shrink() throws IOException {
    long seed = target.shrink;
    Plan plan = site.plan(seed);
    Shrinker.Shrunk shrunk =
        Shrinker.shrink(
            plan,
            smaller -> new SimulationRun(smaller, UnaryOperator.identity()).execute(),
            (faults, clients, runs) ->
                notes.printf("%d faults, %d clients left after %d runs%n", faults, clients, runs));
    if (shrunk == null) {
      output.printf("seed %d breaks no rule: there is nothing to shrink%n", seed);
      return ExitStatus.OK;
    }
    Path file = out != null ? out : Path.of("seed-" + seed + ".toml");
    Files.writeString(
        file,
        Script.write(
            shrunk.plan(), "What is left of seed " + seed + ", which breaks:\n" + shrunk.breach()));
    output.printf(
        "%s%n%d of %d faults are left after %d runs: %s%n",
        shrunk.breach(), shrunk.plan().faults().size(), plan.faults().size(), shrunk.runs(), file);
    return ExitStatus.FAILED;
  }
}
