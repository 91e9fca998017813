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
 * The keys of a configuration, which a configuration that replaces it must also have. This detects
 * a file that was read while it was being written. Creating an instance also checks that deadlines
 * and numbers of attempts are valid numbers.
 *
 * @param keys the paths of all keys; for a list, the keys that all of its entries have
 */
record RequiredKeys(Set<String> keys) {
  /** The known targets may be outdated or missing: discovery reports them again. */
  private static final String KNOWN_TARGETS = "known";

  /** About 31 years: longer than any deadline of a client. */
  private static final BigDecimal MAX_DEADLINE_MICROS = BigDecimal.valueOf(1_000_000_000_000_000L);

  private static final BigDecimal MAX_ATTEMPTS = BigDecimal.valueOf(1_000_000);

  /**
   * Returns the keys of a configuration.
   *
   * @throws ConfigException if a deadline or a number of attempts is no positive whole number
   */
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
      requirePositiveWhole("settings.allowed.send-cap", allowed.get("send-cap"), MAX_ATTEMPTS);
    }
    if (settings.get("profiles") instanceof JsonArray profiles) {
      for (int i = 0; i < profiles.size(); i++) {
        JsonElement deadline =
            profiles.get(i) instanceof JsonObject profile ? profile.get("give-up") : null;
        requirePositiveWhole("settings.profiles." + i + ".give-up", deadline, MAX_DEADLINE_MICROS);
      }
    }
  }

  /**
   * Checks a number that is present; a missing one is reported where it is read. A string that
   * looks like a number is rejected.
   */
  private static void requirePositiveWhole(String key, JsonElement value, BigDecimal max)
      throws ConfigException {
    if (value == null) {
      return;
    }
    boolean isValid = false;
    if (value instanceof JsonPrimitive primitive && primitive.isNumber()) {
      try {
        BigDecimal number = primitive.getAsBigDecimal();
        // The range is checked first: stripping the zeros of a number with an exponent of a billion
        // would expand it.
        isValid =
            number.signum() > 0
                && number.compareTo(max) <= 0
                && number.stripTrailingZeros().scale() <= 0;
      } catch (NumberFormatException e) {
        isValid = false;
      }
    }
    if (!isValid) {
      throw new ConfigException("'" + key + "' is not a valid whole number above 0: " + value);
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
   * Returns a key that this configuration has and the next one lacks, or null. The keys of the
   * entries of a list are not required of a list that has become empty.
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
