package brassbank.sim.proxy;

import brassbank.sim.actor.Site;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.List;

/** Writes the configuration file that the platform would give a proxy of the simulated site. */
public final class ProxyConfig {
  private static final long MILLI = 1_000;

  private ProxyConfig() {}

  /**
   * Returns the text of the file.
   *
   * @param known the host list, as JSON, that this proxy last received from discovery
   */
  public static String text(
      Site site,
      String name,
      int rank,
      String zone,
      String listen,
      String discovery,
      long seed,
      int sockets,
      String known) {
    JsonObject json = new JsonObject();
    json.addProperty("name", name);
    json.addProperty("listen", listen);
    json.addProperty("discovery", discovery);
    json.addProperty("seed", Long.toHexString(seed));
    JsonObject limits = new JsonObject();
    limits.addProperty("cores", 1.0);
    limits.addProperty("memory_mb", 192);
    limits.addProperty("sockets", sockets);
    json.add("limits", limits);
    json.add("known", JsonParser.parseString(known));
    json.add("settings", settings(site, rank, zone));
    return json.toString();
  }

  /** Returns the first two thirds of a file, as left by a writer that was interrupted. */
  public static String truncated(String text) {
    return text.substring(0, text.length() * 2 / 3);
  }

  private static JsonObject settings(Site site, int rank, String zone) {
    JsonObject settings = new JsonObject();
    settings.addProperty("rank", rank);
    settings.addProperty("balancers", site.proxies());
    settings.addProperty("zone", zone);
    settings.add("failure-domains", strings(site.zones()));
    settings.addProperty("discovery", "ask");
    settings.addProperty("weights", "nominal");
    settings.addProperty("resolution", 4_000);
    settings.addProperty("over-share-worth", 0.1);
    JsonObject allowed = new JsonObject();
    allowed.addProperty("cancel", true);
    allowed.addProperty("dial-timeout", 200 * MILLI);
    allowed.addProperty("keepalive", 5_000 * MILLI);
    allowed.addProperty("max-retry-after", 2_000 * MILLI);
    allowed.addProperty("probes", true);
    allowed.addProperty("retry-after", true);
    allowed.addProperty("second-copies", false);
    allowed.addProperty("send-cap", 4);
    settings.add("allowed", allowed);
    JsonObject extra = new JsonObject();
    extra.addProperty("groups", true);
    extra.addProperty("mode", "proxy");
    JsonArray aims = new JsonArray();
    site.classes().forEach(c -> aims.add(c.messageMillis() * MILLI));
    extra.add("message-aim", aims);
    extra.addProperty("report-x0", "load asked of the server over what it can do");
    extra.addProperty("report-x1", "seconds of work piled up");
    settings.add("extra", extra);
    JsonObject prices = new JsonObject();
    prices.addProperty("cross-zone", 0.16);
    prices.addProperty("moves", 0.026);
    prices.addProperty("probe", 0.0016);
    prices.addProperty("waste", 0.046);
    settings.add("prices", prices);
    JsonArray classes = new JsonArray();
    for (Site.FlowClass c : site.classes()) {
      JsonObject type = new JsonObject();
      type.addProperty("name", c.name());
      type.addProperty("aim", c.aimMillis() * MILLI);
      type.addProperty("give-up", c.deadlineMillis() * MILLI);
      type.addProperty("effect", c.repeat().effect());
      type.addProperty("group", c.repeat().group());
      type.addProperty("value", c.value());
      type.addProperty("window", c.repeat().windowMillis() * MILLI);
      classes.add(type);
    }
    settings.add("profiles", classes);
    JsonArray tenants = new JsonArray();
    for (Site.Tenant t : site.tenants()) {
      JsonObject tenant = new JsonObject();
      tenant.addProperty("name", t.name());
      tenant.addProperty("quota-rps", 2 * t.share() * site.rate());
      tenant.addProperty("share", t.share());
      tenants.add(tenant);
    }
    settings.add("realms", tenants);
    JsonObject report = new JsonObject();
    report.add("fields", strings(List.of("x0", "x1", "throughput", "errors_per_s")));
    report.addProperty("source", "probe");
    settings.add("report", report);
    JsonObject safety = new JsonObject();
    safety.addProperty("answer-slack", site.answerSlack());
    safety.addProperty("ask-within", 10_000 * MILLI);
    safety.addProperty("cold-share", site.coldShare());
    safety.addProperty("drain-grace", site.drainGrace());
    safety.addProperty("fall-multiple", site.fallMultiple());
    safety.addProperty("overload-for", site.fallWindow());
    safety.addProperty("warm-up", site.warmUp());
    settings.add("safety", safety);
    return settings;
  }

  private static JsonArray strings(List<String> values) {
    JsonArray array = new JsonArray();
    values.forEach(array::add);
    return array;
  }
}
