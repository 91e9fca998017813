package brassbank.sim.cli;

import brassbank.cli.ExitStatus;
import brassbank.cli.UsageException;
import brassbank.sim.experiment.Experiment;
import brassbank.sim.experiment.Figure;
import brassbank.sim.experiment.PairedDifference;
import brassbank.sim.experiment.Variant;
import brassbank.sim.fault.FleetScenario;
import brassbank.sim.fault.Plan;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Compares variants of a fleet on the same seeds: means, and paired differences with 95% intervals.
 */
@Command(
    name = "experiment",
    description = "Play variants of a fleet on the same seeds, and tell what differs.",
    footer = {
      "",
      "Each variant is compared with the first: the mean of the differences by seed, and the 95%"
          + " interval; * where that leaves out 0. Figures are counted at hosts and clients.",
      "",
      "Examples:",
      "  brassbank experiment ZONE --seeds 1-50 --vary off,shares",
      "  brassbank experiment JOIN --seeds 1-10 --proxies 14,56 --rate 60 --csv"
    })
public final class ExperimentCommand implements Callable<Integer> {
  private static final int MAX_SEEDS = 100_000;

  @Parameters(paramLabel = "NIGHT", description = "${COMPLETION-CANDIDATES}.")
  private FleetScenario scenario;

  @Option(
      names = "--seeds",
      paramLabel = "FIRST-LAST",
      defaultValue = "1-20",
      description = "The seeds (default: ${DEFAULT-VALUE}).")
  private String seeds;

  @Option(
      names = "--vary",
      paramLabel = "WHAT",
      split = ",",
      defaultValue = "off,shares",
      description = "What the proxies do together: off, membership, shares, subsets.")
  private List<String> vary;

  @Option(
      names = "--proxies",
      paramLabel = "N",
      split = ",",
      defaultValue = "" + FleetScenario.PROXIES,
      description = "How many proxies the same clients are dealt to (default: ${DEFAULT-VALUE}).")
  private List<Integer> proxies;

  @Option(
      names = "--hosts",
      paramLabel = "N",
      defaultValue = "" + FleetScenario.HOSTS,
      description = "Stream hosts (default: ${DEFAULT-VALUE}).")
  private int hosts;

  @Option(
      names = "--rate",
      paramLabel = "N",
      defaultValue = "" + FleetScenario.CLIENTS_PER_SECOND,
      description = "New clients a second (default: ${DEFAULT-VALUE}).")
  private double rate;

  @Option(
      names = "--seconds",
      paramLabel = "N",
      defaultValue = "" + Plan.DEFAULT_SECONDS,
      description = "Virtual seconds of each play (default: ${DEFAULT-VALUE}).")
  private int seconds;

  @Option(
      names = "--jobs",
      paramLabel = "N",
      description = "Plays at once; as many as there are cores if it is not given.")
  private int jobs = Runtime.getRuntime().availableProcessors();

  @Option(names = "--json", description = "Print every play and the differences as JSON.")
  private boolean json;

  @Option(names = "--csv", description = "Print every play as comma-separated values.")
  private boolean csv;

  private final PrintStream output = System.out;

  @Override
  public Integer call() throws InterruptedException {
    SeedRunner.Range range;
    try {
      range = SeedRunner.range(seeds);
    } catch (IllegalArgumentException e) {
      throw new UsageException("--seeds: " + e.getMessage());
    }
    require(range.count() <= MAX_SEEDS, "--seeds: at most " + MAX_SEEDS);
    require(hosts >= 1 && hosts <= 250, "--hosts must be from 1 to 250");
    require(rate > 0 && rate <= 1_000, "--rate must be above 0 and at most 1000");
    require(seconds >= Plan.MIN_SECONDS, "--seconds must be " + Plan.MIN_SECONDS + " or more");
    require(jobs >= 1 && jobs <= 256, "--jobs must be from 1 to 256");
    require(!json || !csv, "--json and --csv are mutually exclusive");
    List<Variant> variants = new ArrayList<>();
    for (int count : proxies) {
      require(count >= 1 && count <= 250, "--proxies must be from 1 to 250");
      for (String what : vary) {
        Variant variant = new Variant(fleetMode(what), count, hosts, rate);
        require(!variants.contains(variant), "twice the same variant: " + variant.text());
        variants.add(variant);
      }
    }
    Map<Variant, List<Map<Figure, Double>>> results =
        new Experiment(this::plan, jobs).run(variants, range.first(), range.last());
    output.print(json ? json(range, results) : csv ? csv(range, results) : table(range, results));
    return ExitStatus.OK;
  }

  private Plan plan(Variant variant, long seed) {
    return scenario
        .plan(seed, seconds, variant.proxies(), variant.hosts(), variant.rate())
        .with(variant.fleetMode());
  }

  private static Plan.FleetMode fleetMode(String what) {
    for (Plan.FleetMode mode : Plan.FleetMode.values()) {
      if (mode.key().equals(what)) {
        return mode;
      }
    }
    throw new UsageException("--vary: '" + what + "' is none of off, membership, shares, subsets");
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new UsageException(message);
    }
  }

  private static double[] values(List<Map<Figure, Double>> plays, Figure figure) {
    return plays.stream().mapToDouble(play -> play.get(figure)).toArray();
  }

  private static double mean(List<Map<Figure, Double>> plays, Figure figure) {
    return plays.stream().mapToDouble(play -> play.get(figure)).average().orElse(Double.NaN);
  }

  private String table(SeedRunner.Range range, Map<Variant, List<Map<Figure, Double>>> results) {
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            Locale.ROOT,
            "%s, seeds %d-%d, %d hosts, %.0f clients a second, %d s%n",
            scenario,
            range.first(),
            range.last(),
            hosts,
            rate,
            seconds));
    text.append(String.format("%-20s", "figure"));
    Variant base = results.keySet().iterator().next();
    for (Variant variant : results.keySet()) {
      text.append(String.format("%18s", variant.text()));
      text.append(variant == base ? "" : String.format("%22s", "difference"));
    }
    text.append(String.format("%n"));
    for (Figure figure : Figure.values()) {
      text.append(String.format("%-20s", figure.key()));
      for (Map.Entry<Variant, List<Map<Figure, Double>>> one : results.entrySet()) {
        text.append(String.format(Locale.ROOT, "%18.3f", mean(one.getValue(), figure)));
        if (one.getKey() != base) {
          PairedDifference paired =
              PairedDifference.of(
                  values(results.get(base), figure), values(one.getValue(), figure));
          text.append(
              String.format(
                  Locale.ROOT,
                  "%11.3f +-%7.3f%s",
                  paired.mean(),
                  paired.halfWidth(),
                  paired.isSignificant() ? "*" : " "));
        }
      }
      text.append(String.format("%n"));
    }
    return text.toString();
  }

  private static String csv(
      SeedRunner.Range range, Map<Variant, List<Map<Figure, Double>>> results) {
    StringBuilder text = new StringBuilder("variant,seed");
    for (Figure figure : Figure.values()) {
      text.append(',').append(figure.key());
    }
    text.append('\n');
    results.forEach(
        (variant, plays) -> {
          for (int i = 0; i < plays.size(); i++) {
            text.append(variant.text()).append(',').append(range.first() + i);
            for (Figure figure : Figure.values()) {
              text.append(String.format(Locale.ROOT, ",%.4f", plays.get(i).get(figure)));
            }
            text.append('\n');
          }
        });
    return text.toString();
  }

  private String json(SeedRunner.Range range, Map<Variant, List<Map<Figure, Double>>> results) {
    JsonObject all = new JsonObject();
    all.addProperty("night", scenario.name());
    all.addProperty("first", range.first());
    all.addProperty("last", range.last());
    JsonArray variants = new JsonArray();
    Variant base = results.keySet().iterator().next();
    results.forEach(
        (variant, plays) -> {
          JsonObject one = new JsonObject();
          one.addProperty("variant", variant.text());
          for (Figure figure : Figure.values()) {
            JsonObject figureJson = new JsonObject();
            figureJson.addProperty("about", figure.about());
            figureJson.addProperty("mean", mean(plays, figure));
            if (variant != base && plays.size() > 1) {
              PairedDifference paired =
                  PairedDifference.of(values(results.get(base), figure), values(plays, figure));
              figureJson.addProperty("difference", paired.mean());
              figureJson.addProperty("half_of_95_pct", paired.halfWidth());
            }
            JsonArray each = new JsonArray();
            plays.forEach(play -> each.add(play.get(figure)));
            figureJson.add("plays", each);
            one.add(figure.key(), figureJson);
          }
          variants.add(one);
        });
    all.add("variants", variants);
    return new GsonBuilder().setPrettyPrinting().create().toJson(all) + System.lineSeparator();
  }
}
