package ashspar.wire;

import ashspar.Balancer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Turns the flat settings of an ATTACH line into {@link Balancer.Settings}; unknown keys pass by.
 */
public final class SettingsReader {
  private final Map<String, String> env;

  private SettingsReader(Map<String, String> env) {
    this.env = env;
  }

  /** The settings in these path=value pairs; throws {@link WireException} on what is malformed. */
  public static Balancer.Settings read(Map<String, String> env) {
    return new SettingsReader(env).settings();
  }

  private Balancer.Settings settings() {
    return new Balancer.Settings(
        (int) whole("rank"),
        (int) whole("balancers"),
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
            (int) whole("allowed.send-cap"),
            whole("allowed.max-retry-after", 0)),
        new Balancer.SafetyRules(
            whole("safety.answer-slack"),
            whole("safety.ask-within", Long.MAX_VALUE),
            whole("safety.drain-grace"),
            number("safety.cold-share", 1),
            whole("safety.warm-up", 0),
            number("safety.fall-multiple", 1),
            whole("safety.overload-for", 0)),
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
        whole("resolution", 1),
        flag("extra.tells-delay"));
  }

  private List<Balancer.RequestClass> classes() {
    int count = (int) whole("profiles.count");
    List<String> messageAims = list("extra.message-aim");
    List<Balancer.RequestClass> classes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String at = "profiles." + i + ".";
      classes.add(
          new Balancer.RequestClass(
              required(at + "name"),
              whole(at + "aim"),
              whole(at + "give-up"),
              number(at + "value", 1),
              effect(at + "effect"),
              group(at + "group"),
              whole(at + "window", 0),
              i < messageAims.size()
                  ? WireLine.number("extra.message-aim", messageAims.get(i))
                  : 0));
    }
    return classes;
  }

  private List<Balancer.Tenant> tenants() {
    List<String> connections = list("extra.tenant-quota-connections");
    List<Balancer.Tenant> tenants = new ArrayList<>();
    for (int i = 0; i < whole("realms.count", 0); i++) {
      String at = "realms." + i + ".";
      tenants.add(
          new Balancer.Tenant(
              required(at + "name"),
              number(at + "share", 0),
              number(at + "quota-rps", 0),
              i < connections.size() ? quota(connections.get(i)) : 0));
    }
    return tenants;
  }

  /** A quota that a site leaves open is written as null. */
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
      case "x0" -> meaning("extra.report-x0", "load", Balancer.Metric.LOAD, Balancer.Metric.OTHER);
      case "x1" ->
          meaning("extra.report-x1", "seconds", Balancer.Metric.BACKLOG_S, Balancer.Metric.OTHER);
      default -> Balancer.Metric.OTHER;
    };
  }

  private Balancer.Metric meaning(
      String key, String start, Balancer.Metric then, Balancer.Metric otherwise) {
    return text(key, start).startsWith(start) ? then : otherwise;
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
      default -> throw new WireException("field '" + key + "' is no known effect");
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
    String value = env.get(key);
    if (value == null) {
      throw new WireException("field '" + key + "' is missing");
    }
    return value;
  }

  private String text(String key, String absent) {
    return env.getOrDefault(key, absent);
  }

  private boolean flag(String key) {
    String value = text(key, "false");
    return value.equals("true") || value.equals("1");
  }

  private long whole(String key) {
    return WireLine.whole(key, required(key));
  }

  private long whole(String key, long absent) {
    String value = env.get(key);
    return value == null ? absent : WireLine.whole(key, value);
  }

  private double number(String key, double absent) {
    String value = env.get(key);
    return value == null || value.isEmpty() ? absent : WireLine.number(key, value);
  }

  private List<String> list(String key) {
    String value = text(key, "");
    return value.isEmpty() ? List.of() : List.of(value.split(","));
  }
}
