package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Membership as operators meet it: files, deploy/serve.sh and the command, on loopback. */
class FleetIT {
  private final List<Process> started = new ArrayList<>();
  private Path folder;

  @BeforeEach
  void folder() throws IOException {
    folder = Files.createTempDirectory("brassbank-fleet");
  }

  @AfterEach
  void end() throws Exception {
    for (Process one : started) {
      one.destroyForcibly().waitFor();
    }
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }

  /** A free port, for streams and for datagrams. */
  private static int port() throws IOException {
    try (var socket = new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private Process serve(String name, int port, int management, String... arguments)
      throws IOException {
    List<String> command = new ArrayList<>(List.of("sh", "deploy/serve.sh"));
    command.addAll(List.of(arguments));
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve(name + ".log").toFile());
    builder.environment().put("LB_CONFIG", "example/config.json");
    builder.environment().put("LB_NAME", name);
    builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("LB_MANAGEMENT", "127.0.0.1:" + management);
    builder.environment().put("JAVA_TOOL_OPTIONS", "-Xlog:class+load:stdout");
    Process process = builder.start();
    started.add(process);
    return process;
  }

  private Path file(String text) throws IOException {
    return Files.writeString(Files.createTempFile(folder, "own", ".toml"), text);
  }

  /** Status, and what was said on both streams. */
  private String members(int expected, String... arguments) throws Exception {
    List<String> command = new ArrayList<>(List.of("bin/brassbank", "members"));
    command.addAll(List.of(arguments));
    Path said = Files.createTempFile(folder, "said", ".txt");
    Process process =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(said.toFile()).start();
    assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
    String text = Files.readString(said);
    assertThat(process.exitValue()).as(text).isEqualTo(expected);
    return text;
  }

  /** Asks until the view has these members, alive, and is settled. */
  private JsonObject settled(int management, int live) throws Exception {
    JsonObject view = null;
    for (int i = 0; i < 40; i++) {
      Thread.sleep(200);
      try {
        view =
            JsonParser.parseString(members(0, "127.0.0.1:" + management, "--json"))
                .getAsJsonObject();
      } catch (AssertionError notYet) {
        continue;
      }
      int count = 0;
      for (JsonElement one : view.getAsJsonArray("members")) {
        count += one.getAsJsonObject().get("state").getAsString().equals("alive") ? 1 : 0;
      }
      if (count == live && view.get("settled").getAsBoolean()) {
        return view;
      }
    }
    throw new AssertionError("no settled view of " + live + ": " + view);
  }

  @Test
  void threeMeetOneSaysGoodbyeAndRubbishIsDropped() throws Exception {
    int[] ports = {port(), port(), port()};
    int[] doors = {port(), port(), port()};
    Path own = file("[membership]\nfleet = \"it\"\nseeds = [\"127.0.0.1:" + ports[0] + "\"]\n");
    for (int i = 0; i < 3; i++) {
      serve("m" + i, ports[i], doors[i], "--config", own.toString());
    }
    settled(doors[2], 3);
    try (DatagramSocket stranger = new DatagramSocket()) {
      for (int length : new int[] {0, 1, 100, 1_200, 3_000}) {
        stranger.send(
            new java.net.DatagramPacket(
                new byte[length], length, new InetSocketAddress("127.0.0.1", ports[1])));
      }
    }
    started.get(0).destroy();
    assertThat(started.get(0).waitFor(10, TimeUnit.SECONDS)).isTrue();
    JsonObject view = settled(doors[1], 2);
    JsonArray members = view.getAsJsonArray("members");
    assertThat(members.get(0).getAsJsonObject().get("state").getAsString()).isEqualTo("left");
    assertThat(view.getAsJsonObject("figures").get("dropped_foreign").getAsInt()).isEqualTo(5);
    assertThat(members(0, "127.0.0.1:" + doors[1]))
        .contains("m1 sees, version", "settled", "m0  ", "left", "alive");
  }

  @Test
  void nothingOfItIsLoadedOpenOrAnsweredWhereItIsOff() throws Exception {
    int port = port();
    int door = port();
    serve("off", port, door);
    String said = "";
    for (int i = 0; i < 50 && !said.contains("404"); i++) {
      Thread.sleep(100);
      try {
        said = members(1, "127.0.0.1:" + door);
      } catch (AssertionError notYet) {
        said = "";
      }
    }
    assertThat(said).contains("404").contains("keeps no view of a fleet");
    assertThat(Files.readString(folder.resolve("off.log")))
        .contains("brassbank.net.Net source")
        .doesNotContain("brassbank.membership", "brassbank.shares", "org.apache.commons.math3")
        .doesNotContain("brassbank.fleet", "brassbank.subsets", "org.apache.commons.codec")
        .doesNotContain("Datagram");
    // Nobody has the port for datagrams.
    new DatagramSocket(port, InetAddress.getLoopbackAddress()).close();
  }

  @Test
  void aFileThatCannotBeUsedIsToldBeforeTheStart() throws Exception {
    Process none =
        serve(
            "bad",
            port(),
            port(),
            "--config",
            file("[membership]\nseeds = [\"localhost:1\", \"10.0.0.1:0\"]\n").toString());
    assertThat(none.waitFor(10, TimeUnit.SECONDS)).isTrue();
    assertThat(none.exitValue()).isEqualTo(2);
    assertThat(Files.readString(folder.resolve("bad.log")))
        .contains("membership.seeds must be a list");
    Process anywhere =
        serve(
            "any",
            port(),
            port(),
            "--config",
            file("[membership]\nfleet = \"x\"\nlisten = \"0.0.0.0:7075\"\n").toString());
    assertThat(anywhere.waitFor(10, TimeUnit.SECONDS)).isTrue();
    assertThat(anywhere.exitValue()).isEqualTo(2);
    assertThat(Files.readString(folder.resolve("any.log")))
        .contains("membership.advertise is needed");
  }
}
