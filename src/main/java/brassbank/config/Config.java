package brassbank.config;

import ashspar.Balancer;
import ashspar.wire.SettingsReader;
import ashspar.wire.WireException;
import brassbank.decide.TargetList;
import brassbank.sources.Randomness;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration of a proxy. The settings of the decision module are read by the same {@link
 * SettingsReader} as those of the simulator's protocol, so that the module gets the same values in
 * both.
 *
 * @param name the name of this proxy
 * @param listen the address for clients
 * @param management the address for management requests, or null for none
 * @param handover the lock file through which processes that share an inherited listening socket
 *     coordinate; null if the proxy opens its own socket
 * @param discovery the address of the discovery service
 * @param seed the seed of all randomness of the process
 * @param descriptorLimit the most file descriptors that the process may hold
 * @param knownTargets the targets to start with, before discovery answers
 * @param settings the settings of the decision module
 * @param reportFields the names of the values of a load report, in the order in which stream hosts
 *     send them
 * @param connectTimeoutMicros the time limit for connects to stream hosts
 * @param idleTimeoutMicros how long an unused connection to a stream host is kept
 * @param requiredKeys the keys that a configuration replacing this one must have
 */
public record Config(
    String name,
    InetSocketAddress listen,
    InetSocketAddress management,
    Path handover,
    InetSocketAddress discovery,
    long seed,
    int descriptorLimit,
    TargetList knownTargets,
    Balancer.Settings settings,
    List<String> reportFields,
    long connectTimeoutMicros,
    long idleTimeoutMicros,
    RequiredKeys requiredKeys) {

  private static final int DEFAULT_DESCRIPTOR_LIMIT = 1024;

  /**
   * Reads the file that {@code LB_CONFIG} names. The other variables override its values.
   *
   * @throws ConfigException if the file cannot be read or is invalid
   */
  public static Config read(Map<String, String> env) throws ConfigException {
    return read(env, false);
  }

  /**
   * Reads the file again for a reload. The address of discovery may change at run time and the
   * environment cannot, so that here {@code discovery} of the file overrides the variable.
   *
   * @throws ConfigException if the file is invalid or lacks a key that {@code inForce} has: it may
   *     be written in part, and none of it is used
   */
  public static Config reread(Map<String, String> env, Config inForce) throws ConfigException {
    Config next = read(env, true);
    String missing = inForce.requiredKeys.missingIn(next.requiredKeys);
    if (missing != null) {
      throw new ConfigException(
          "key '" + missing + "' of the configuration in force is missing in the new one");
    }
    return next;
  }

  private static Config read(Map<String, String> env, boolean isReload) throws ConfigException {
    String path = env.get("LB_CONFIG");
    if (path == null || path.isBlank()) {
      throw new ConfigException("LB_CONFIG is not set: it names the configuration file");
    }
    String text;
    try {
      text = Files.readString(Path.of(path));
    } catch (IOException | IllegalArgumentException e) {
      throw new ConfigException("cannot read the configuration " + path + ": " + e.getMessage());
    }
    return of(env, path, text, isReload);
  }

  /**
   * Reads a configuration from a text, without the environment variables.
   *
   * @throws ConfigException if the text is invalid
   */
  public static Config of(String text) throws ConfigException {
    return of(Map.of(), "text", text, false);
  }

  /**
   * Returns a copy for a proxy whose listening socket is inherited.
   *
   * @param lockFile the lock file through which the processes on that socket coordinate
   */
  public Config withInheritedListener(Path lockFile) {
    return new Config(
        name,
        listen,
        management,
        lockFile,
        discovery,
        seed,
        descriptorLimit,
        knownTargets,
        settings,
        reportFields,
        connectTimeoutMicros,
        idleTimeoutMicros,
        requiredKeys);
  }

  private static Config of(Map<String, String> env, String path, String text, boolean isReload)
      throws ConfigException {
    try {
      JsonReader reader = new JsonReader(new StringReader(text));
      // The lenient mode accepts unquoted words as strings and NaN as a number.
      reader.setStrictness(Strictness.STRICT);
      JsonObject json = JsonParser.parseReader(reader).getAsJsonObject();
      if (reader.peek() != JsonToken.END_DOCUMENT) {
        throw new ConfigException(
            "the configuration " + path + " has further content after the JSON object");
      }
      return parse(env, json, isReload);
    } catch (JsonParseException
        | IOException
        | IllegalStateException
        | UnsupportedOperationException
        | ClassCastException
        | WireException
        | IllegalArgumentException e) {
      throw new ConfigException("the configuration " + path + " is not valid: " + e.getMessage());
    }
  }

  private static Config parse(Map<String, String> env, JsonObject json, boolean isReload)
      throws ConfigException {
    if (!json.has("settings")) {
      throw new ConfigException("the configuration has no 'settings'");
    }
    Map<String, String> flat = new LinkedHashMap<>();
    flatten("", json.get("settings"), flat);
    // Stream hosts do not report delay on sockets; the setting concerns the simulator's protocol.
    flat.put("extra.tells-delay", "false");
    RequiredKeys requiredKeys = RequiredKeys.of(json);
    Balancer.Settings settings = SettingsReader.read(flat);
    TargetList known =
        json.has("known") && json.get("known").isJsonObject()
            ? TargetList.parse(json.getAsJsonObject("known"))
            : new TargetList(0, true, List.of());
    JsonObject limits = json.has("limits") ? json.getAsJsonObject("limits") : new JsonObject();
    return new Config(
        requiredValue(env, "LB_NAME", json, "name"),
        address("listen", requiredValue(env, "LB_LISTEN", json, "listen")),
        management(env, json),
        handover(env, json),
        address(
            "discovery",
            requiredValue(
                isReload && json.has("discovery") ? Map.of() : env,
                "LB_DISCOVERY",
                json,
                "discovery")),
        seed(json),
        limits.has("sockets") ? limits.get("sockets").getAsInt() : DEFAULT_DESCRIPTOR_LIMIT,
        known,
        settings,
        reportFields(flat),
        micros(flat, "allowed.dial-timeout", 200_000),
        micros(flat, "allowed.keepalive", 5_000_000),
        requiredKeys);
  }

  private static String requiredValue(
      Map<String, String> env, String variable, JsonObject json, String key)
      throws ConfigException {
    String value = optionalValue(env, variable, json, key);
    if (value.isBlank()) {
      throw new ConfigException("neither " + variable + " nor '" + key + "' is given");
    }
    return value;
  }

  private static String optionalValue(
      Map<String, String> env, String variable, JsonObject json, String key) {
    String value = env.get(variable);
    if (value != null && !value.isBlank()) {
      return value;
    }
    return json.has(key) && !json.get(key).isJsonNull() ? json.get(key).getAsString() : "";
  }

  private static Path handover(Map<String, String> env, JsonObject json) throws ConfigException {
    String descriptor = env.getOrDefault("LB_LISTEN_FD", "");
    if (descriptor.isBlank()) {
      return null;
    }
    if (!descriptor.equals("0")) {
      throw new ConfigException(
          "LB_LISTEN_FD is '" + descriptor + "': only descriptor 0 can be inherited");
    }
    String listen =
        requiredValue(env, "LB_LISTEN", json, "listen").replaceAll("[^0-9A-Za-z.]", "-");
    return Path.of(env.getOrDefault("TMPDIR", "/tmp"), "brassbank-" + listen + ".handover");
  }

  private static InetSocketAddress management(Map<String, String> env, JsonObject json)
      throws ConfigException {
    String value = optionalValue(env, "LB_MANAGEMENT", json, "management");
    return value.isBlank() ? null : address("management", value);
  }

  private static InetSocketAddress address(String key, String text) throws ConfigException {
    try {
      return TargetList.address(text);
    } catch (IllegalArgumentException e) {
      throw new ConfigException("'" + key + "' is not an address:port: " + text);
    }
  }

  private static long seed(JsonObject json) {
    String text = json.has("seed") ? json.get("seed").getAsString() : "";
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      return text.isEmpty() ? Randomness.freshSeed() : text.hashCode();
    }
  }

  private static long micros(Map<String, String> flat, String key, long defaultMicros) {
    String value = flat.get(key);
    return value == null ? defaultMicros : (long) Double.parseDouble(value);
  }

  private static List<String> reportFields(Map<String, String> flat) {
    String fields = flat.getOrDefault("report.fields", "");
    return fields.isEmpty() ? List.of() : List.of(fields.split(","));
  }

  /**
   * Flattens the nested settings into path=value pairs, the form of the simulator's ATTACH line.
   */
  private static void flatten(String path, JsonElement element, Map<String, String> into) {
    if (element.isJsonObject()) {
      for (Map.Entry<String, JsonElement> entry : element.getAsJsonObject().entrySet()) {
        flatten(
            path.isEmpty() ? entry.getKey() : path + "." + entry.getKey(), entry.getValue(), into);
      }
    } else if (element.isJsonArray()) {
      JsonArray array = element.getAsJsonArray();
      if (!array.isEmpty() && array.get(0).isJsonObject()) {
        into.put(path + ".count", String.valueOf(array.size()));
        for (int i = 0; i < array.size(); i++) {
          flatten(path + "." + i, array.get(i), into);
        }
      } else {
        List<String> values = new ArrayList<>();
        array.forEach(value -> values.add(scalarText(value)));
        into.put(path, String.join(",", values));
      }
    } else if (!element.isJsonNull()) {
      into.put(path, scalarText(element));
    }
  }

  private static String scalarText(JsonElement element) {
    if (element instanceof JsonPrimitive primitive) {
      String text = primitive.getAsString();
      return primitive.isString() ? text.replace(' ', '_').replace(',', '_') : text;
    }
    return String.valueOf(element);
  }
}
