package brassbank.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks which configurations a reload accepts and which it rejects completely. */
class ConfigTest {
  private Path file;
  private Map<String, String> env;
  private String text;
  private JsonObject json;
  private Config inForce;

  @BeforeEach
  void read() throws Exception {
    file = Files.createTempFile("brassbank", ".json");
    env = Map.of("LB_CONFIG", file.toString());
    text = Files.readString(Path.of("example/config.json")).strip();
    json = JsonParser.parseString(text).getAsJsonObject();
    Files.writeString(file, text);
    inForce = Config.read(env);
  }

  @AfterEach
  void delete() throws Exception {
    Files.delete(file);
  }

  private Config reread(String next) throws Exception {
    Files.writeString(file, next);
    return Config.reread(env, inForce);
  }

  private JsonObject profile(int index) {
    return json.getAsJsonObject("settings").getAsJsonArray("profiles").get(index).getAsJsonObject();
  }

  @Test
  void aFileTruncatedAtAnyByteIsRejected() throws Exception {
    byte[] whole = text.getBytes(StandardCharsets.UTF_8);
    for (int length = 0; length < whole.length; length++) {
      Files.write(file, java.util.Arrays.copyOf(whole, length));
      assertThatThrownBy(() -> Config.reread(env, inForce))
          .as("truncated at " + length)
          .isInstanceOf(ConfigException.class);
    }
    assertThatCode(() -> reread(text)).doesNotThrowAnyException();
  }

  /** Removes each key of the file, also in nested objects, one at a time. */
  @Test
  void aFileThatLacksAKeyIsRejectedWithTheNameOfTheKey() {
    List<String> missing = new ArrayList<>();
    removeEachKey(json, missing);
    assertThat(missing).hasSizeGreaterThan(40);
  }

  private void removeEachKey(JsonObject object, List<String> missing) {
    for (String key : List.copyOf(object.keySet())) {
      if (key.equals("known")) {
        continue;
      }
      var value = object.remove(key);
      assertThatThrownBy(() -> reread(json.toString()))
          .as("without " + key)
          .isInstanceOf(ConfigException.class)
          .hasMessageContaining(key);
      missing.add(key);
      object.add(key, value);
      if (value instanceof JsonObject inner) {
        removeEachKey(inner, missing);
      } else if (value instanceof JsonArray list
          && !list.isEmpty()
          && list.get(0) instanceof JsonObject first) {
        removeEachKey(first, missing);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "0",
        "-1",
        "-0",
        "NaN",
        "Infinity",
        "-Infinity",
        "\"3\"",
        "\"three\"",
        "\"\"",
        "null",
        "true",
        "[]",
        "{}",
        "2.5",
        "1e400",
        "1e99999",
        "99999999999999999999",
        "1e-3",
        "0x10"
      })
  void aDeadlineOrNumberOfAttemptsThatIsNoPositiveWholeNumberIsRejected(String value) {
    for (String key : List.of("\"give-up\": 3000000", "\"send-cap\": 4")) {
      String name = key.substring(0, key.indexOf(':') + 1);
      assertThat(text).contains(key);
      assertThatThrownBy(() -> reread(text.replace(key, name + value)))
          .as(name + value)
          .isInstanceOf(ConfigException.class);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"", " ", "{}", "[]", "null", "{} {}", "{\"settings\": 1}"})
  void textThatIsNoConfigurationIsRejected(String next) {
    assertThatThrownBy(() -> reread(next)).isInstanceOf(ConfigException.class);
  }

  @Test
  void aReloadAddsAndRemovesClassesAndChangesEffectsAndAttempts() throws Exception {
    JsonArray profiles = json.getAsJsonObject("settings").getAsJsonArray("profiles");
    JsonObject added = profile(0).deepCopy();
    added.addProperty("name", "review");
    added.addProperty("effect", "single_shot");
    profiles.add(added);
    profiles.remove(1);
    json.getAsJsonObject("settings").getAsJsonObject("allowed").addProperty("send-cap", 2);
    json.remove("known");
    Config next = reread(json.toString());
    assertThat(next.settings().classes()).extracting("name").containsExactly("preview", "review");
    assertThat(next.settings().permissions().maxAttempts()).isEqualTo(2);
  }
}
