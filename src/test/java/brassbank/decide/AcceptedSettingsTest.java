package brassbank.decide;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.config.Config;
import brassbank.config.ConfigException;
import brassbank.sources.Clock;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Settings that a reload accepts must also be applicable: an odd value is either rejected when the
 * file is read or harmless, but never causes a failure after the settings are in force.
 */
class AcceptedSettingsTest {
  private static final List<String> ODD_VALUES =
      List.of(
          "0", "-1", "0.5", "1e-9", "1e12", "1e300", "\"x\"", "\"\"", "null", "[]", "{}", "true");

  private long nanos = 1;
  private final FlowClock clock =
      new FlowClock(
          new Clock() {
            @Override
            public long nanos() {
              return nanos;
            }

            @Override
            public long unixMillis() {
              return 1_800_000_000_000L + nanos / 1_000_000;
            }
          });

  /** Collects the paths of all settings; of a list only those of its first entry. */
  private static void collectPaths(String path, JsonElement element, List<String> paths) {
    if (element instanceof JsonObject object) {
      for (Map.Entry<String, JsonElement> entry : object.entrySet()) {
        collectPaths(path + "/" + entry.getKey(), entry.getValue(), paths);
      }
    } else if (element instanceof JsonArray array && !array.isEmpty()) {
      collectPaths(path + "/0", array.get(0), paths);
    }
    paths.add(path);
  }

  private static void put(JsonObject root, String path, JsonElement value) {
    String[] parts = path.substring(1).split("/");
    JsonElement parent = root;
    for (int i = 0; i < parts.length - 1; i++) {
      parent =
          parent instanceof JsonObject object
              ? object.get(parts[i])
              : parent.getAsJsonArray().get(0);
    }
    if (parent instanceof JsonObject object) {
      object.add(parts[parts.length - 1], value);
    } else {
      parent.getAsJsonArray().set(0, value);
    }
  }

  @Test
  void acceptedSettingsCanBeApplied() throws Exception {
    JsonObject valid =
        JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
    List<String> paths = new ArrayList<>();
    collectPaths("/settings", valid.get("settings"), paths);
    List<String> failures = new ArrayList<>();
    int accepted = 0;
    for (String path : paths) {
      for (String odd : ODD_VALUES) {
        JsonObject changed = valid.deepCopy();
        put(changed, path, JsonParser.parseString(odd));
        Config next;
        try {
          next = Config.of(changed.toString());
        } catch (ConfigException e) {
          continue;
        }
        accepted++;
        try {
          exercise(Config.of(valid.toString()), next);
        } catch (RuntimeException e) {
          failures.add(path + " = " + odd + ": " + e + " at " + e.getStackTrace()[0]);
        }
      }
    }
    assertThat(accepted).isGreaterThan(100);
    assertThat(failures).as("of %s accepted", accepted).isEmpty();
  }

  /** Runs a reload between flows, the arrival of a cold host, and a planned stop. */
  private void exercise(Config first, Config next) {
    Decider decider = new Decider(first.settings(), 1, first.knownTargets(), clock);
    flows(decider, 1, first);
    decider.report(new NetworkEvent.SettingsChanged(next.settings()));
    flows(decider, 100, next);
    TargetList.Entry known = first.knownTargets().entries().get(0);
    TargetList.Entry joining =
        new TargetList.Entry(
            "cold",
            known.address(),
            known.zone(),
            known.type(),
            0,
            TargetList.Status.SERVING,
            1,
            clock.now() / 1000);
    decider.report(new NetworkEvent.TargetsListed(new TargetList(9, false, List.of(joining))));
    flows(decider, 200, next);
    decider.report(new NetworkEvent.StopRequested(clock.now() + 3_000_000));
    for (int i = 0; i < 40; i++) {
      nanos += 100_000_000L;
      decider.tick(clock.now());
    }
  }

  private void flows(Decider decider, long from, Config config) {
    String type = config.settings().classes().get(0).name();
    for (long id = from; id < from + 12; id++) {
      List<Decision> decided =
          new ArrayList<>(
              decider.pick(
                  new Flow(id, "k", type, "kelvin-stone", "g", 2_000_000, 0, false, false, null)));
      nanos += 70_000_000L;
      decided.addAll(decider.tick(clock.now()));
      decided.forEach(decision -> carryOut(decider, decision));
    }
  }

  private static void carryOut(Decider decider, Decision decision) {
    if (decision instanceof Decision.Probe probe) {
      decider.report(
          new NetworkEvent.ProbeCompleted(
              probe.target().name(), Outcome.SERVED, 1_000, List.of(0.1, 0.0, 2.0, 0.0)));
    } else if (decision instanceof Decision.Forward forward && forward.flow() % 3 == 0) {
      decider.report(new NetworkEvent.ForwardEnded(forward.flow(), Outcome.RESET));
    } else if (decision instanceof Decision.Forward forward) {
      decider.report(new NetworkEvent.FlowEstablished(forward.flow()));
    }
  }
}
