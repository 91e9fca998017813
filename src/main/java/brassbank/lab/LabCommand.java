package brassbank.lab;

import brassbank.cli.ExitStatus;
import brassbank.cli.UsageException;
import brassbank.sim.cli.SiteOptions;
import brassbank.sim.fault.Plan;
import brassbank.sim.fault.Script;
import brassbank.sim.fault.ScriptException;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs a whole site on loopback: real proxy processes, and all other actors in this process. */
@Command(
    name = "lab",
    description = "Run a script or a night on real processes on loopback, checked by all rules.",
    footer = {
      "",
      "Examples:",
      "  brassbank lab src/test/resources/lab/one-is-killed.toml",
      "  brassbank lab --night ZONE --seed 7 --logs logs",
      "  brassbank lab --seed 77 --proxies 5 --trace | less",
      "",
      "Exit status 3: the lab itself was late, twice, so there is no verdict on the rules."
    })
public final class LabCommand implements Callable<Integer> {
  private static final int MAX_PROXIES = 64;

  @Parameters(
      arity = "0..1",
      paramLabel = "SCRIPT",
      description = "A script as for simulate; without one, the faults are drawn from the seed.")
  private Path script;

  @Option(
      names = "--seed",
      paramLabel = "SEED",
      defaultValue = "1",
      description = "Seed of all random draws (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Mixin private SiteOptions site;

  @Option(
      names = "--logs",
      paramLabel = "DIR",
      description = "Where to keep the proxies' logs; without it, they are removed with the lab.")
  private Path logs;

  @Option(names = "--trace", description = "Print every event, and what the proxies log.")
  private boolean trace;

  @Option(names = "--json", description = "Print the result as JSON.")
  private boolean json;

  @Option(
      names = "--keep",
      description = "Keep a site that broke a rule running until Ctrl-C, for inspection.")
  private boolean keep;

  private final PrintStream output = System.out;
  private final PrintStream notes = System.err;

  @Override
  public Integer call() throws IOException {
    Plan plan = plan();
    for (int attempt = 1; ; attempt++) {
      try (Lab lab = new Lab(plan, root(), logs)) {
        if (trace) {
          lab.includeLogsInTrace();
          lab.trace()
              .addListener((now, event) -> output.printf("%11.6f %s%n", now / 1e6, event.text()));
        }
        Lab.Outcome outcome = lab.play(new ProgressLine(notes));
        if (outcome.isVoid() && attempt == 1) {
          notes.printf(
              "void: the lab was %.0f ms late at %.1f s, the limit is %.0f ms; running again%n",
              outcome.maxLatenessMicros() / 1e3,
              Lab.seconds(outcome.maxLatenessAtMicros()),
              Lab.MAX_LATENESS_MICROS / 1e3);
          continue;
        }
        output.println(json ? Report.json(outcome) : Report.text(outcome));
        if (keep && !outcome.holdsAllRules()) {
          notes.println(Report.describeKeptSite(lab));
          lab.keepRunning();
        }
        return outcome.isVoid()
            ? ExitStatus.INVALID_RUN
            : outcome.holdsAllRules() ? ExitStatus.OK : ExitStatus.FAILED;
      } catch (LabException e) {
        notes.println("lab: " + e.getMessage());
        return ExitStatus.FAILED;
      }
    }
  }

  private Plan plan() throws IOException {
    require(script == null || !site.scenario(), "a script has its own faults: no --night with it");
    if (script != null) {
      require(
          !site.hasSize() && !site.usesFleetMode(),
          "a script says itself how many proxies, hosts and clients there are, and what they do");
      try {
        Plan parsed = Script.read(script);
        require(parsed.proxies() <= MAX_PROXIES, "a lab has at most " + MAX_PROXIES + " proxies");
        require(
            parsed.faults().equals(parsed.withoutClockSteps().faults()),
            script + ": clock-step cannot be played on real processes");
        return parsed;
      } catch (ScriptException e) {
        throw new UsageException(e.getMessage());
      }
    }
    site.validate(MAX_PROXIES);
    return site.plan(seed).withoutClockSteps();
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new UsageException(message);
    }
  }

  /** Returns the folder in which this program was built, which holds {@code deploy/serve.sh}. */
  static Path root() {
    for (String entry : System.getProperty("java.class.path").split(File.pathSeparator)) {
      for (Path folder = Path.of(entry).toAbsolutePath();
          folder != null;
          folder = folder.getParent()) {
        if (Files.exists(folder.resolve("deploy/serve.sh"))) {
          return folder;
        }
      }
    }
    throw new LabException(
        "deploy/serve.sh not found in any folder above the class path:"
            + " run the lab where it was built");
  }
}
