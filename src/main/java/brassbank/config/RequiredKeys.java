package brassbank.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.math.BigDecimal;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What a configuration must have, whatever its values mean: the keys of the one before it, and
 * numbers where a deadline or a number of attempts stands.
 *
 * @param keys the paths of all keys; those of a list's entries are the ones that all of them have
 */
record RequiredKeys(Set<String> keys) {
  /** The last list may be old or left out: discovery tells it anew. */
  private static final String KNOWN_TARGETS = "known";

  /** Microseconds; no client waits for more than eleven days. */
  private static final BigDecimal MAX_DEADLINE_MICROS = BigDecimal.valueOf(1_000_000_000_000_000L);

  private static final BigDecimal MOST_ATTEMPTS = BigDecimal.valueOf(1_000_000);

  /** The shape of a configuration; throws where a number is none. */
  static RequiredKeys of(JsonObject json) throws ConfigException {
    JsonElement settings = json.get("settings");
    if (settings instanceof JsonObject object) {
      checkNumbers(object);
    }
    Set<String> keys = new LinkedHashSet<>();
    collect("", json, keys);
    keys.removeIf(key -> key.equals(KNOWN_TARGETS) || key.startsWith(KNOWN_TARGETS + "."));
    return new RequiredKeys(keys);
  }

  private static void checkNumbers(JsonObject settings) throws ConfigException {
    if (settings.get("allowed") instanceof JsonObject allowed) {
      requirePositiveWhole("settings.allowed.send-cap", allowed.get("send-cap"), MOST_ATTEMPTS);
    }
    if (settings.get("profiles") instanceof JsonArray profiles) {
      for (int i = 0; i < profiles.size(); i++) {
        JsonElement deadline =
            profiles.get(i) instanceof JsonObject profile ? profile.get("give-up") : null;
        requirePositiveWhole("settings.profiles." + i + ".give-up", deadline, MAX_DEADLINE_MICROS);
      }
    }
  }

  /** A missing one is told by whoever reads it; text that looks like a number is none. */
  private static void requirePositiveWhole(String key, JsonElement value, BigDecimal most)
      throws ConfigException {
    if (value == null) {
      return;
    }
    boolean good = false;
    if (value instanceof JsonPrimitive primitive && primitive.isNumber()) {
      try {
        BigDecimal number = primitive.getAsBigDecimal();
        // In this order: an exponent of a billion must not be written out.
        good =
            number.signum() > 0
                && number.compareTo(most) <= 0
                && number.stripTrailingZeros().scale() <= 0;
      } catch (NumberFormatException e) {
        good = false;
      }
    }
    if (!good) {
      throw new ConfigException("'" + key + "' is no whole number above 0: " + value);
    }
  }

  private static void collect(String path, JsonElement element, Set<String> into) {
    if (element instanceof JsonObject object) {
      for (Map.Entry<String, JsonElement> entry : object.entrySet()) {
        String key = path.isEmpty() ? entry.getKey() : path + "." + entry.getKey();
        into.add(key);
        collect(key, entry.getValue(), into);
      }
    } else if (element instanceof JsonArray array) {
      Set<String> common = null;
      for (JsonElement entry : array) {
        Set<String> keys = new TreeSet<>();
        collect(path + "[]", entry, keys);
        if (common == null) {
          common = keys;
        } else {
          common.retainAll(keys);
        }
      }
      if (common != null) {
        into.addAll(common);
      }
    }
  }

  /**
   * Compares with what is to follow.
   *
   * @return a key that this configuration has and the next one lacks, or null. An empty list has
   *     lost its entries, and not their keys
   */
  String missingIn(RequiredKeys next) {
    for (String key : keys) {
      int list = key.indexOf("[]");
      boolean emptied =
          list >= 0 && next.keys.stream().noneMatch(k -> k.startsWith(key.substring(0, list + 2)));
      if (!next.keys.contains(key) && !emptied) {
        return key;
      }
    }
    return null;
  }
}
