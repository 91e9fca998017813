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

/**
 * Membership as operators use it: options files, deploy/serve.sh and the command {@code members},
 * on the loopback interface.
 */
class FleetIT {
  private final List<Process> started = new ArrayList<>();
  private Path createFolder;

  @BeforeEach
  void createFolder() throws IOException {
    createFolder = Files.createTempDirectory("brassbank-fleet");
  }

  @AfterEach
  void stopAndDelete() throws Exception {
    for (Process process : started) {
      process.destroyForcibly().waitFor();
    }
    try (Stream<Path> files = Files.list(createFolder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(createFolder);
  }

  /** Returns a port that is free for streams and datagrams. */
  private static int freePort() throws IOException {
    try (var socket = new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private Process startProxy(String name, int port, int management, String... arguments)
      throws IOException {
    List<String> command = new ArrayList<>(List.of("sh", "deploy/serve.sh"));
    command.addAll(List.of(arguments));
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(createFolder.resolve(name + ".log").toFile());
    builder.environment().put("LB_CONFIG", "example/config.json");
    builder.environment().put("LB_NAME", name);
    builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
    builder.environment().put("LB_MANAGEMENT", "127.0.0.1:" + management);
    builder.environment().put("JAVA_TOOL_OPTIONS", "-Xlog:class+load:stdout");
    Process process = builder.start();
    started.add(process);
    return process;
  }

  private Path optionsFile(String text) throws IOException {
    return Files.writeString(Files.createTempFile(createFolder, "own", ".toml"), text);
  }

  /** Runs the command, checks its exit status and returns its output on both streams. */
  private String runMembersCommand(int expected, String... arguments) throws Exception {
    List<String> command = new ArrayList<>(List.of("bin/brassbank", "members"));
    command.addAll(List.of(arguments));
    Path output = Files.createTempFile(createFolder, "output", ".txt");
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
    String text = Files.readString(output);
    assertThat(process.exitValue()).as(text).isEqualTo(expected);
    return text;
  }

  /** Queries the view until it is settled and has the given number of live members. */
  private JsonObject awaitSettledView(int management, int live) throws Exception {
    JsonObject view = null;
    for (int i = 0; i < 40; i++) {
      Thread.sleep(200);
      try {
        view =
            JsonParser.parseString(runMembersCommand(0, "127.0.0.1:" + management, "--json"))
                .getAsJsonObject();
      } catch (AssertionError notYet) {
        continue;
      }
      int count = 0;
      for (JsonElement member : view.getAsJsonArray("members")) {
        count += member.getAsJsonObject().get("state").getAsString().equals("alive") ? 1 : 0;
      }
      if (count == live && view.get("settled").getAsBoolean()) {
        return view;
      }
    }
    throw new AssertionError("no settled view of " + live + ": " + view);
  }

  @Test
  void threeProxiesFormAFleetOneLeavesAndForeignDatagramsAreDropped() throws Exception {
    int[] ports = {freePort(), freePort(), freePort()};
    int[] managementPorts = {freePort(), freePort(), freePort()};
    Path options =
        optionsFile("[membership]\nfleet = \"it\"\nseeds = [\"127.0.0.1:" + ports[0] + "\"]\n");
    for (int i = 0; i < 3; i++) {
      startProxy("m" + i, ports[i], managementPorts[i], "--config", options.toString());
    }
    awaitSettledView(managementPorts[2], 3);
    try (DatagramSocket foreign = new DatagramSocket()) {
      for (int length : new int[] {0, 1, 100, 1_200, 3_000}) {
        foreign.send(
            new java.net.DatagramPacket(
                new byte[length], length, new InetSocketAddress("127.0.0.1", ports[1])));
      }
    }
    started.get(0).destroy();
    assertThat(started.get(0).waitFor(10, TimeUnit.SECONDS)).isTrue();
    JsonObject view = awaitSettledView(managementPorts[1], 2);
    JsonArray members = view.getAsJsonArray("members");
    assertThat(members.get(0).getAsJsonObject().get("state").getAsString()).isEqualTo("left");
    assertThat(view.getAsJsonObject("figures").get("dropped_foreign").getAsInt()).isEqualTo(5);
    assertThat(runMembersCommand(0, "127.0.0.1:" + managementPorts[1]))
        .contains("m1 sees, version", "settled", "m0  ", "left", "alive");
  }

  @Test
  void loadsOpensAndAnswersNothingOfMembershipWhenItIsOff() throws Exception {
    int port = freePort();
    int managementPort = freePort();
    startProxy("off", port, managementPort);
    String output = "";
    for (int i = 0; i < 50 && !output.contains("404"); i++) {
      Thread.sleep(100);
      try {
        output = runMembersCommand(1, "127.0.0.1:" + managementPort);
      } catch (AssertionError notYet) {
        output = "";
      }
    }
    assertThat(output).contains("404").contains("keeps no view of a fleet");
    assertThat(Files.readString(createFolder.resolve("off.log")))
        .contains("brassbank.net.Net source")
        .doesNotContain("brassbank.membership", "brassbank.shares", "org.apache.commons.math3")
        .doesNotContain("brassbank.fleet", "brassbank.subsets", "org.apache.commons.codec")
        .doesNotContain("Datagram");
    // No process has bound the port for datagrams.
    new DatagramSocket(port, InetAddress.getLoopbackAddress()).close();
  }

  @Test
  void reportsAnUnusableOptionsFileBeforeItStarts() throws Exception {
    Process invalid =
        startProxy(
            "bad",
            freePort(),
            freePort(),
            "--config",
            optionsFile("[membership]\nseeds = [\"localhost:1\", \"10.0.0.1:0\"]\n").toString());
    assertThat(invalid.waitFor(10, TimeUnit.SECONDS)).isTrue();
    assertThat(invalid.exitValue()).isEqualTo(2);
    assertThat(Files.readString(createFolder.resolve("bad.log")))
        .contains("membership.seeds must be a list");
    Process wildcard =
        startProxy(
            "any",
            freePort(),
            freePort(),
            "--config",
            optionsFile("[membership]\nfleet = \"x\"\nlisten = \"0.0.0.0:7075\"\n").toString());
    assertThat(wildcard.waitFor(10, TimeUnit.SECONDS)).isTrue();
    assertThat(wildcard.exitValue()).isEqualTo(2);
    assertThat(Files.readString(createFolder.resolve("any.log")))
        .contains("membership.advertise is needed");
  }
}
