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
 * Whatever a reload accepts can be worked with: a setting that is odd is refused when the file is
 * read, or does no harm, but never fails in the midst of being applied.
 */
class AcceptedSettingsTest {
  private static final List<String> ODD =
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

  /** The paths of all settings; of a list's entries those of the first. */
  private static void paths(String path, JsonElement element, List<String> into) {
    if (element instanceof JsonObject object) {
      for (Map.Entry<String, JsonElement> entry : object.entrySet()) {
        paths(path + "/" + entry.getKey(), entry.getValue(), into);
      }
    } else if (element instanceof JsonArray array && !array.isEmpty()) {
      paths(path + "/0", array.get(0), into);
    }
    into.add(path);
  }

  private static void put(JsonObject root, String path, JsonElement value) {
    String[] parts = path.substring(1).split("/");
    JsonElement at = root;
    for (int i = 0; i < parts.length - 1; i++) {
      at = at instanceof JsonObject object ? object.get(parts[i]) : at.getAsJsonArray().get(0);
    }
    if (at instanceof JsonObject object) {
      object.add(parts[parts.length - 1], value);
    } else {
      at.getAsJsonArray().set(0, value);
    }
  }

  @Test
  void whatIsAcceptedCanBeWorkedWith() throws Exception {
    JsonObject sound =
        JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
    List<String> paths = new ArrayList<>();
    paths("/settings", sound.get("settings"), paths);
    List<String> failures = new ArrayList<>();
    int accepted = 0;
    for (String path : paths) {
      for (String odd : ODD) {
        JsonObject changed = sound.deepCopy();
        put(changed, path, JsonParser.parseString(odd));
        Config next;
        try {
          next = Config.of(changed.toString());
        } catch (ConfigException e) {
          continue;
        }
        accepted++;
        try {
          work(Config.of(sound.toString()), next);
        } catch (RuntimeException e) {
          failures.add(path + " = " + odd + ": " + e + " at " + e.getStackTrace()[0]);
        }
      }
    }
    assertThat(accepted).isGreaterThan(100);
    assertThat(failures).as("of %s accepted", accepted).isEmpty();
  }

  /** A reload in the midst of flows, a host that joins cold, and a planned stop. */
  private void work(Config first, Config next) {
    Decider decider = new Decider(first.settings(), 1, first.knownTargets(), clock);
    flows(decider, 1, first);
    decider.report(new NetworkEvent.SettingsChanged(next.settings()));
    flows(decider, 100, next);
    TargetList.Entry known = first.knownTargets().entries().get(0);
    TargetList.Entry joins =
        new TargetList.Entry(
            "cold",
            known.address(),
            known.zone(),
            known.type(),
            0,
            TargetList.Status.SERVING,
            1,
            clock.now() / 1000);
    decider.report(new NetworkEvent.TargetsListed(new TargetList(9, false, List.of(joins))));
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
      decided.forEach(one -> carryOut(decider, one));
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
