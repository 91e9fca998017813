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

/** What a reload takes, and what it turns down whole. */
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
  void aFileCutAtAnyByteIsTurnedDown() throws Exception {
    byte[] whole = text.getBytes(StandardCharsets.UTF_8);
    for (int cut = 0; cut < whole.length; cut++) {
      Files.write(file, java.util.Arrays.copyOf(whole, cut));
      assertThatThrownBy(() -> Config.reread(env, inForce))
          .as("cut at " + cut)
          .isInstanceOf(ConfigException.class);
    }
    assertThatCode(() -> reread(text)).doesNotThrowAnyException();
  }

  /** Each key of the settings, and of the whole, left out once. */
  @Test
  void aFileThatLacksAKeyIsTurnedDownAndTheKeyNamed() {
    List<String> missing = new ArrayList<>();
    leaveOut(json, missing);
    assertThat(missing).hasSizeGreaterThan(40);
  }

  private void leaveOut(JsonObject object, List<String> missing) {
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
        leaveOut(inner, missing);
      } else if (value instanceof JsonArray list
          && !list.isEmpty()
          && list.get(0) instanceof JsonObject first) {
        leaveOut(first, missing);
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
  void aDeadlineOrANumberOfAttemptsThatIsNoneIsTurnedDown(String value) {
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
  void whatIsNoConfigurationIsTurnedDown(String next) {
    assertThatThrownBy(() -> reread(next)).isInstanceOf(ConfigException.class);
  }

  @Test
  void classesComeAndGoChangeTheirEffectAndAttemptsGetFewer() throws Exception {
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
