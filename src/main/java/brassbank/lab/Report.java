package brassbank.lab;

import brassbank.sim.check.Breach;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Locale;
import java.util.Map;

/** Formats the outcome of a run as text and as JSON. */
final class Report {
  private Report() {}

  static String text(Lab.Outcome outcome) {
    StringBuilder text = new StringBuilder();
    outcome
        .counts()
        .forEach(
            (rule, count) ->
                text.append(String.format("%-48s %s%n", rule, count == 0 ? "holds" : count)));
    text.append(
        String.format(
            "%n%-6s %7s %7s %8s %10s %6s %7s %9s %12s%n",
            "proxy",
            "flows",
            "served",
            "refused",
            "unanswered",
            "moved",
            "cpu s",
            "memory MB",
            "descriptors"));
    outcome
        .resourceUsage()
        .forEach(
            (proxy, use) -> {
              ClientStatistics.ProxyCounts count =
                  outcome.clientCounts().getOrDefault(proxy, new ClientStatistics.ProxyCounts());
              text.append(
                  String.format(
                      Locale.ROOT,
                      "%-6s %7d %7d %8d %10d %6d %7.1f %9.1f %12d%n",
                      proxy,
                      count.sent,
                      count.served,
                      count.refused,
                      count.unanswered(),
                      count.moved,
                      use.processorSeconds,
                      use.peakResidentKib / 1024.0,
                      use.peakDescriptors));
            });
    text.append(String.format("%n%s%n", outcome.serviceSummary()));
    if (!outcome.breaches().isEmpty()) {
      Breach first = outcome.breaches().get(0);
      text.append(String.format("%nfirst breach: %s%n", first));
      outcome.breachLog().forEach(line -> text.append("  ").append(line).append('\n'));
    }
    text.append(
        String.format(
            Locale.ROOT,
            "%nseed %d: %s; the lab was %.1f ms late at most (at %.1f s), %.1f ms at 99.9%%, and used"
                + " %.1f s of processor time",
            outcome.plan().seed(),
            verdict(outcome),
            outcome.maxLatenessMicros() / 1e3,
            Lab.seconds(outcome.maxLatenessAtMicros()),
            outcome.lateness999Micros() / 1e3,
            outcome.labProcessorSeconds()));
    return text.toString();
  }

  private static String verdict(Lab.Outcome outcome) {
    if (outcome.isVoid()) {
      return "void, twice: no verdict on the rules";
    }
    return outcome.holdsAllRules() ? "all rules hold" : "a rule is broken";
  }

  static String json(Lab.Outcome outcome) {
    JsonObject json = new JsonObject();
    json.addProperty("seed", outcome.plan().seed());
    json.addProperty(
        "verdict", outcome.isVoid() ? "void" : outcome.holdsAllRules() ? "holds" : "broken");
    json.addProperty("served_share", Math.round(outcome.servedShare() * 1e5) / 1e5);
    json.addProperty("late_most_ms", outcome.maxLatenessMicros() / 1e3);
    json.addProperty("late_most_at_s", Lab.seconds(outcome.maxLatenessAtMicros()));
    json.addProperty("late_99_9_ms", outcome.lateness999Micros() / 1e3);
    json.addProperty("lab_processor_s", Math.round(outcome.labProcessorSeconds() * 10) / 10.0);
    JsonObject rules = new JsonObject();
    outcome.counts().forEach(rules::addProperty);
    json.add("rules", rules);
    JsonArray breaches = new JsonArray();
    for (Breach breach : outcome.breaches()) {
      JsonObject item = new JsonObject();
      item.addProperty("rule", breach.rule());
      item.addProperty("at_s", breach.atMicros() / 1e6);
      item.addProperty("what", breach.description());
      breaches.add(item);
    }
    json.add("breaches", breaches);
    JsonArray log = new JsonArray();
    outcome.breachLog().forEach(log::add);
    json.add("breach_log", log);
    JsonObject proxies = new JsonObject();
    for (Map.Entry<String, ProcessMonitor.ResourceUsage> entry :
        outcome.resourceUsage().entrySet()) {
      ClientStatistics.ProxyCounts count =
          outcome.clientCounts().getOrDefault(entry.getKey(), new ClientStatistics.ProxyCounts());
      JsonObject item = new JsonObject();
      item.addProperty("flows", count.sent);
      item.addProperty("served", count.served);
      item.addProperty("refused", count.refused);
      item.addProperty("unanswered", count.unanswered());
      item.addProperty("moved", count.moved);
      item.addProperty("processor_s", Math.round(entry.getValue().processorSeconds * 100) / 100.0);
      item.addProperty("resident_kib", entry.getValue().peakResidentKib);
      item.addProperty("descriptors", entry.getValue().peakDescriptors);
      item.addProperty("waited_for_core_ms", entry.getValue().coreWaitMicros / 1e3);
      proxies.add(entry.getKey(), item);
    }
    json.add("proxies", proxies);
    return new GsonBuilder().setPrettyPrinting().create().toJson(json);
  }

  /** Describes the folder, processes and logs of a site that is kept running. */
  static String describeKeptSite(Lab lab) {
    StringBuilder text = new StringBuilder("the site keeps running until Ctrl-C; its files: ");
    text.append(lab.folder()).append('\n');
    lab.proxies()
        .values()
        .forEach(
            proxy ->
                proxy
                    .processes()
                    .forEach(
                        process ->
                            text.append(
                                String.format(
                                    "  %s: process %d, log %s%n",
                                    proxy.name(), process.pid(), process.log()))));
    return text.toString();
  }
}
