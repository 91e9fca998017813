package ashspar.wire;

import ashspar.Balancer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Converts the flat settings of an ATTACH line to {@link Balancer.Settings}. Unknown keys are
 * ignored.
 */
public final class SettingsReader {
  private final Map<String, String> settings;

  private SettingsReader(Map<String, String> settings) {
    this.settings = settings;
  }

  /**
   * Returns the settings in these path-value pairs.
   *
   * @throws WireException if a value is missing or malformed
   */
  public static Balancer.Settings read(Map<String, String> settings) {
    return new SettingsReader(settings).settings();
  }

  private Balancer.Settings settings() {
    return new Balancer.Settings(
        (int) integer("rank"),
        (int) integer("balancers"),
        text("zone", ""),
        list("failure-domains"),
        classes(),
        tenants(),
        new Balancer.Permissions(
            flag("allowed.probes"),
            flag("allowed.peer-messages"),
            flag("allowed.cancel"),
            flag("allowed.second-copies"),
            flag("allowed.retry-after"),
            (int) integer("allowed.send-cap"),
            integer("allowed.max-retry-after", 0)),
        new Balancer.SafetyRules(
            integer("safety.answer-slack"),
            integer("safety.ask-within", Long.MAX_VALUE),
            integer("safety.drain-grace"),
            number("safety.cold-share", 1),
            integer("safety.warm-up", 0),
            number("safety.fall-multiple", 1),
            integer("safety.overload-for", 0)),
        new Balancer.Prices(
            number("prices.cross-zone", 0),
            number("prices.waste", 0),
            number("prices.probe", 0),
            number("prices.peer", 0),
            number("prices.moves", 0)),
        reportFields(),
        sizes(),
        "ask".equals(text("discovery", "push")),
        "pass".equals(text("extra.mode", "proxy")),
        number("over-share-worth", 1),
        integer("resolution", 1),
        flag("extra.tells-delay"));
  }

  private List<Balancer.RequestClass> classes() {
    int count = (int) integer("profiles.count");
    List<String> messageAims = list("extra.message-aim");
    List<Balancer.RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String prefix = "profiles." + i + ".";
      classes.add(
          new Balancer.RequestClass(
              required(prefix + "name"),
              integer(prefix + "aim"),
              integer(prefix + "give-up"),
              number(prefix + "value", 1),
              effect(prefix + "effect"),
              group(prefix + "group"),
              integer(prefix + "window", 0),
              i < messageAims.size()
                  ? WireLine.number("extra.message-aim", messageAims.get(i))
                  : 0));
    }
    return classes;
  }

  private List<Balancer.Tenant> tenants() {
    List<String> connections = list("extra.tenant-quota-connections");
    List<Balancer.Tenant> tenants = new ArrayList<>();
    for (int i = 0; i < integer("realms.count", 0); i++) {
      String prefix = "realms." + i + ".";
      tenants.add(
          new Balancer.Tenant(
              required(prefix + "name"),
              number(prefix + "share", 0),
              number(prefix + "quota-rps", 0),
              i < connections.size() ? quota(connections.get(i)) : 0));
    }
    return tenants;
  }

  /** Parses a quota; an unlimited one is written as {@code null}. */
  private static double quota(String value) {
    return value.equals("null") ? 0 : WireLine.number("extra.tenant-quota-connections", value);
  }

  private List<Balancer.Metric> reportFields() {
    List<Balancer.Metric> fields = new ArrayList<>();
    if ("none".equals(text("report.source", "none"))) {
      return fields;
    }
    for (String name : list("report.fields")) {
      fields.add(metric(name));
    }
    return fields;
  }

  private Balancer.Metric metric(String name) {
    return switch (name) {
      case "outstanding" -> Balancer.Metric.CONNECTIONS;
      case "backlog" -> Balancer.Metric.QUEUE;
      case "utilization" -> Balancer.Metric.UTILIZATION;
      case "recent_ms" -> Balancer.Metric.LATENCY_MS;
      case "throughput" -> Balancer.Metric.RATE;
      case "errors_per_s" -> Balancer.Metric.ERRORS;
      case "x0" ->
          metricIfMarked("extra.report-x0", "load", Balancer.Metric.LOAD, Balancer.Metric.OTHER);
      case "x1" ->
          metricIfMarked(
              "extra.report-x1", "seconds", Balancer.Metric.BACKLOG_S, Balancer.Metric.OTHER);
      default -> Balancer.Metric.OTHER;
    };
  }

  /**
   * Returns {@code metric} if the value of the key starts with {@code prefix}, otherwise {@code
   * otherwise}.
   */
  private Balancer.Metric metricIfMarked(
      String key, String prefix, Balancer.Metric metric, Balancer.Metric otherwise) {
    return text(key, prefix).startsWith(prefix) ? metric : otherwise;
  }

  private Balancer.SizeMeaning sizes() {
    return switch (text("weights", "none")) {
      case "nominal" -> Balancer.SizeMeaning.NOMINAL;
      case "rough" -> Balancer.SizeMeaning.ROUGH;
      case "live" -> Balancer.SizeMeaning.LIVE;
      default -> Balancer.SizeMeaning.NONE;
    };
  }

  private Balancer.Repeatability effect(String key) {
    return switch (text(key, "single_shot")) {
      case "free" -> Balancer.Repeatability.FREE;
      case "guarded" -> Balancer.Repeatability.GUARDED;
      case "single_shot" -> Balancer.Repeatability.SINGLE_SHOT;
      default -> throw new WireException("field '" + key + "' has an unknown effect");
    };
  }

  private Balancer.DeduplicationScope group(String key) {
    return switch (text(key, "all")) {
      case "zone" -> Balancer.DeduplicationScope.ZONE;
      case "cell" -> Balancer.DeduplicationScope.CELL;
      default -> Balancer.DeduplicationScope.ALL;
    };
  }

  private String required(String key) {
    String value = settings.get(key);
    if (value == null) {
      throw new WireException("field '" + key + "' is missing");
    }
    return value;
  }

  private String text(String key, String absent) {
    return settings.getOrDefault(key, absent);
  }

  private boolean flag(String key) {
    String value = text(key, "false");
    return value.equals("true") || value.equals("1");
  }

  private long integer(String key) {
    return WireLine.integer(key, required(key));
  }

  private long integer(String key, long absent) {
    String value = settings.get(key);
    return value == null ? absent : WireLine.integer(key, value);
  }

  private double number(String key, double absent) {
    String value = settings.get(key);
    return value == null || value.isEmpty() ? absent : WireLine.number(key, value);
  }

  private List<String> list(String key) {
    String value = text(key, "");
    return value.isEmpty() ? List.of() : List.of(value.split(","));
  }
}
