package brassbank.sim.members;

import brassbank.cli.ExitStatus;
import brassbank.cli.UsageException;
import brassbank.log.Log;
import brassbank.membership.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures, in virtual time, how fast the views of a fleet converge and the network cost. */
@Command(
    name = "simulate-members",
    description = "Play scenes on fleets of members without proxies, in virtual time.",
    footer = {
      "",
      "Examples:",
      "  brassbank simulate-members --members 14 --seeds 1-100",
      "  brassbank simulate-members --members 1000 --scene CUT --seeds 1-3",
      "",
      "Status 1: a view broke a rule, somebody was falsely declared dead, or a view was not right"
          + " within 40 s."
    })
public final class SimulateMembersCommand implements Callable<Integer> {
  private static final int MAX_MEMBERS = 1_500;
  private static final Pattern RANGE = Pattern.compile("(\\d{1,9})-(\\d{1,9})");

  @Option(
      names = "--members",
      paramLabel = "N",
      defaultValue = "14",
      description = "Members of the fleet (default: ${DEFAULT-VALUE}).")
  private int members;

  @Option(
      names = "--seeds",
      paramLabel = "FIRST-LAST",
      defaultValue = "1-20",
      description = "What all is drawn from (default: ${DEFAULT-VALUE}).")
  private String seeds;

  @Option(
      names = "--scene",
      paramLabel = "NAME",
      split = ",",
      description = "What is done to it, all of them if not given: ${COMPLETION-CANDIDATES}.")
  private List<MembershipScenario> scenarios = new ArrayList<>();

  @Option(
      names = "--suspicion-ms",
      paramLabel = "MS",
      defaultValue = "1000",
      description = "The least time for a refutation (default: ${DEFAULT-VALUE}).")
  private long suspicionMillis;

  @Override
  public Integer call() {
    Matcher range = RANGE.matcher(seeds);
    if (members < 2 || members > MAX_MEMBERS) {
      throw new UsageException("--members must be from 2 to " + MAX_MEMBERS);
    }
    if (suspicionMillis < 100 || suspicionMillis > 60_000) {
      throw new UsageException("--suspicion-ms must be from 100 to 60000");
    }
    if (!range.matches() || Long.parseLong(range.group(1)) > Long.parseLong(range.group(2))) {
      throw new UsageException("--seeds must be FIRST-LAST");
    }
    Settings settings = Settings.DEFAULTS.withMinSuspicion(suspicionMillis * 1_000);
    boolean sound = true;
    System.out.printf(
        "%-12s %8s %8s %8s %8s %8s %8s %8s %8s%n",
        "scene", "times", "median", "99%", "most", "never", "false", "broken", "stopped");
    for (MembershipScenario scenario :
        scenarios.isEmpty() ? Arrays.asList(MembershipScenario.values()) : scenarios) {
      List<MembershipScenario.Result> results =
          LongStream.rangeClosed(Long.parseLong(range.group(1)), Long.parseLong(range.group(2)))
              .parallel()
              .mapToObj(seed -> playWithoutLog(scenario, seed, settings))
              .toList();
      sound &= printResults(scenario, results);
    }
    return sound ? ExitStatus.OK : ExitStatus.FAILED;
  }

  private MembershipScenario.Result playWithoutLog(
      MembershipScenario scenario, long seed, Settings settings) {
    Log.setThreadSink(event -> {});
    try {
      return scenario.play(seed, members, scenario.adjust(settings), UnaryOperator.identity());
    } finally {
      Log.setThreadSink(null);
    }
  }

  private static boolean printResults(
      MembershipScenario scenario, List<MembershipScenario.Result> results) {
    List<Double> seconds = new ArrayList<>();
    results.forEach(result -> seconds.addAll(result.convergenceSeconds));
    Collections.sort(seconds);
    int never = results.stream().mapToInt(result -> result.unconverged).sum();
    int falseDeaths = results.stream().mapToInt(result -> result.falseDeaths).sum();
    List<String> broken = results.stream().flatMap(result -> result.violations.stream()).toList();
    System.out.printf(
        Locale.ROOT,
        "%-12s %8d %8s %8s %8s %8d %8d %8d %8d%n",
        scenario,
        seconds.size(),
        percentile(seconds, 0.5),
        percentile(seconds, 0.99),
        percentile(seconds, 1),
        never,
        falseDeaths,
        broken.size(),
        results.stream().mapToInt(result -> result.pausedDeaths).sum());
    results.stream()
        .filter(result -> result.falseDeaths > 0)
        .limit(2)
        .forEach(result -> System.out.println("  false death at " + result.firstFalseDeath));
    broken.stream().limit(2).forEach(what -> System.out.println("  " + what));
    double bytes =
        results.stream()
            .flatMap(result -> result.bytesPerMemberSecond.stream())
            .mapToDouble(d -> d)
            .average()
            .orElse(0);
    if (bytes > 0) {
      double messages =
          results.stream()
              .flatMap(result -> result.datagramsPerMemberSecond.stream())
              .mapToDouble(d -> d)
              .average()
              .orElse(0);
      System.out.printf(
          Locale.ROOT, "  each member: %.0f bytes, %.1f datagrams a second%n", bytes, messages);
    }
    return never == 0 && falseDeaths == 0 && broken.isEmpty();
  }

  private static String percentile(List<Double> sorted, double share) {
    if (sorted.isEmpty()) {
      return "-";
    }
    int index = (int) Math.ceil(share * sorted.size()) - 1;
    return String.format(Locale.ROOT, "%.2f s", sorted.get(Math.max(0, index)));
  }
}
