package brassbank.rehearsal;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Starts the proxy on loopback and exercises what every run meets: the front's PING, flows and
 * their lines, probes, the target list and its watch, a malformed request, SIGHUP, and SIGTERM
 * while clients are connected. {@code deploy/archive.sh} runs it.
 *
 * <p>Each wait is bounded. A failed run exits with status 1, and the proxy's process is killed in
 * any case.
 */
public final class Rehearsal {
  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int POLL_INTERVAL_MILLIS = 10;

  /** Deadline of all classes; a planned stop takes 0.7 s longer than the longest one. */
  private static final long CLASS_DEADLINE_MICROS = 600_000;

  private final List<StubHost> hosts = new ArrayList<>();
  private final StubDiscovery discovery = new StubDiscovery();
  private final JsonObject config;
  private final InetSocketAddress address;
  private Process process;

  private Rehearsal(JsonObject config) throws IOException {
    this.config = config;
    // Not 127.0.0.1: a connect to a free port there can connect to itself and occupy the port.
    InetAddress own = InetAddress.getByName("127.0.0.2");
    try (ServerSocket free = new ServerSocket(0, 1, own)) {
      address = new InetSocketAddress(own, free.getLocalPort());
    }
    config.addProperty("listen", own.getHostAddress() + ":" + address.getPort());
    config.addProperty("discovery", discovery.address());
    JsonObject known = config.getAsJsonObject("known");
    for (JsonElement entry : known.getAsJsonArray("endpoints")) {
      StubHost host = new StubHost();
      hosts.add(host);
      entry.getAsJsonObject().addProperty("address", host.address());
    }
    known.addProperty("index", 1);
    discovery.setList(known.toString());
    for (JsonElement type : config.getAsJsonObject("settings").getAsJsonArray("profiles")) {
      type.getAsJsonObject().addProperty("give-up", CLASS_DEADLINE_MICROS);
    }
  }

  /** Arguments: a configuration file to take the settings from, and the command of the proxy. */
  public static void main(String[] args) throws InterruptedException {
    if (args.length < 2) {
      System.err.println("usage: Rehearsal CONFIG COMMAND...");
      System.exit(2);
    }
    int status = 1;
    try {
      rehearse(Path.of(args[0]), Arrays.asList(args).subList(1, args.length));
      status = 0;
    } catch (IOException | RuntimeException e) {
      System.err.println("the rehearsal failed: " + e);
    }
    // The threads of the stub discovery and hosts would keep this JVM alive.
    System.exit(status);
  }

  private static void rehearse(Path example, List<String> command)
      throws IOException, InterruptedException {
    JsonObject config = JsonParser.parseString(Files.readString(example)).getAsJsonObject();
    Rehearsal rehearsal = new Rehearsal(config);
    Path file = Files.createTempFile("rehearsal", ".json");
    try {
      Files.writeString(file, config.toString());
      rehearsal.start(file, command);
      rehearsal.exercise();
    } finally {
      rehearsal.killProcess();
      Files.delete(file);
    }
  }

  private void start(Path file, List<String> command) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).inheritIO();
    builder.environment().keySet().removeIf(name -> name.startsWith("LB_"));
    builder.environment().put("LB_CONFIG", file.toString());
    process = builder.start();
  }

  private void exercise() throws IOException, InterruptedException {
    awaitPong();
    try (StubClient bad = new StubClient(address, TIMEOUT_MILLIS)) {
      bad.send("nonsense");
      bad.expectLine("ERR");
    }
    List<StubClient> clients = new ArrayList<>();
    for (int i = 0; i < 2 * hosts.size(); i++) {
      StubClient client = new StubClient(address, TIMEOUT_MILLIS);
      clients.add(client);
      client.send("OPEN " + i + " key-" + i + " c=preview,t=kelvin-stone,d=600");
      client.expectLine("UP");
      client.expectLine("LOAD");
      client.send("m 1");
      client.expectLine("m 1");
    }
    signal("HUP");
    JsonArray entries = config.getAsJsonObject("known").getAsJsonArray("endpoints");
    discovery.reportDraining(entries.get(0).getAsJsonObject());
    hosts.get(hosts.size() - 1).awaitProbe(TIMEOUT_MILLIS);
    clients.remove(0).close();
    signal("TERM");
    for (StubClient client : clients) {
      client.expectLine("MOVE");
      client.close();
    }
    if (!process.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) || process.exitValue() != 0) {
      throw new IOException(
          "the proxy did not exit with status 0 within " + TIMEOUT_MILLIS + " ms of SIGTERM");
    }
  }

  private void awaitPong() throws IOException, InterruptedException {
    for (int tries = TIMEOUT_MILLIS / POLL_INTERVAL_MILLIS; tries > 0; tries--) {
      try (StubClient front = new StubClient(address, TIMEOUT_MILLIS)) {
        front.send("PING");
        front.expectLine("PONG");
        return;
      } catch (ConnectException e) {
        if (process.waitFor(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
          break;
        }
      }
    }
    throw new IOException(
        "the proxy did not answer PING within " + TIMEOUT_MILLIS + " ms, or has ended");
  }

  /** Sends a signal to the process that the command started, as the platform does. */
  private void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  private void killProcess() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
  }
}
