package brassbank;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/**
 * Runs the program as a process, together with the servers that it connects to: targets and
 * discovery, on free ports of the loopback interface.
 */
final class ProxyFixture {
  /** A target that answers first lines and probes as the test sets, and keeps the flows. */
  final class Target {
    final String name;
    final ServerSocket listener;

    /** The connection of each probe, added once for each probe on it. */
    final BlockingQueue<Peer> probes = new LinkedBlockingQueue<>();

    /** The connections that have opened a flow, in the order of their arrival. */
    final BlockingQueue<Peer> flows = new LinkedBlockingQueue<>();

    String host = "127.0.0.1";
    int port;
    volatile String probeResponse = "PONG x0=0.1,x1=0,throughput=2,errors_per_s=0\r\n";
    volatile UnaryOperator<String> openResponse = line -> "UP r-1\r\n";

    /** How many further probes are closed without an answer after their request has been read. */
    final AtomicInteger probesToRefuse = new AtomicInteger();

    Target(String name) throws IOException {
      this.name = name;
      listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      port = listener.getLocalPort();
      executor.execute(this::accept);
    }

    private void accept() {
      try {
        while (true) {
          Socket connection = listener.accept();
          executor.execute(() -> serve(connection));
        }
      } catch (IOException e) {
        // The target has been closed.
      }
    }

    private void serve(Socket connection) {
      try {
        Peer peer = new Peer(connection);
        String line = peer.line();
        for (; line != null && line.equals("STATS"); line = peer.line()) {
          if (probesToRefuse.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
            peer.close();
            return;
          }
          probes.add(peer.send(probeResponse));
        }
        if (line != null && line.startsWith("OPEN")) {
          peer.openingLine = line;
          peer.send(openResponse.apply(line));
          flows.add(peer);
          return;
        }
        peer.close();
      } catch (IOException e) {
        // The proxy has ended the connection.
      }
    }

    /** Waits for the next flow; returns null if none is opened in time. */
    Peer nextFlow() throws InterruptedException {
      return flows.poll(Peer.LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the entry of this target in a target list. */
    JsonObject listEntry(String status) {
      JsonObject entry = new JsonObject();
      entry.addProperty("name", name);
      entry.addProperty("address", host + ":" + port);
      entry.addProperty("zone", "leith");
      entry.addProperty("type", "fast-box");
      entry.addProperty("group", 0);
      entry.addProperty("status", status);
      entry.addProperty("weight", 1.0);
      entry.addProperty("since_ms", 0);
      return entry;
    }

    void close() throws IOException {
      listener.close();
    }
  }

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final List<HttpServer> discoveries = new ArrayList<>();
  private final List<Target> targets = new ArrayList<>();
  final JsonObject config;
  final InetSocketAddress clientAddress;
  InetSocketAddress managementAddress;

  /** The calls to discovery, watches and requests of the whole list, in the order of arrival. */
  final BlockingQueue<HttpExchange> watches = new LinkedBlockingQueue<>();

  Process process;

  /** The listening socket that the processes inherit, or null if they open one themselves. */
  SharedListener sharedListener;

  /** The text of the options file of the program, or null if it is started without one. */
  String optionsText;

  /** The value of BRASSBANK_LOG. */
  String logFormat = "text";

  private Path configFile;
  private Path optionsFile;
  private int clientCount;

  ProxyFixture() throws IOException {
    config =
        JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
    // Not 127.0.0.1: a connect to a free port there may connect to itself and occupy the port.
    InetAddress proxyAddress = InetAddress.getByName("127.0.0.2");
    try (ServerSocket free = new ServerSocket(0, 1, proxyAddress)) {
      clientAddress = new InetSocketAddress(proxyAddress, free.getLocalPort());
    }
    config.addProperty("listen", "127.0.0.2:" + clientAddress.getPort());
    config.addProperty("discovery", startDiscovery(watches));
    try (ServerSocket free = new ServerSocket(0, 1, proxyAddress)) {
      managementAddress = new InetSocketAddress(proxyAddress, free.getLocalPort());
    }
    config.addProperty("management", "127.0.0.2:" + managementAddress.getPort());
  }

  /**
   * Sends a management request and returns the status line of the response.
   *
   * @param request the method and the path, separated by a blank
   */
  String managementCall(String request) throws IOException {
    try (Peer operator =
        Peer.to(managementAddress).send(request + " HTTP/1.1\r\nHost: x\r\n\r\n")) {
      return operator.line();
    }
  }

  /**
   * Starts a discovery server whose calls the test answers.
   *
   * @return the address of the server, as host and port
   */
  String startDiscovery(BlockingQueue<HttpExchange> calls) throws IOException {
    HttpServer discovery = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
    discovery.setExecutor(executor);
    discovery.createContext("/api/targets", calls::add);
    discovery.start();
    discoveries.add(discovery);
    return "127.0.0.1:" + discovery.getAddress().getPort();
  }

  /** Stops discovery: its watches end and new calls are refused. Returns its port. */
  int stopDiscovery() {
    HttpServer discovery = discoveries.remove(0);
    discovery.stop(0);
    return discovery.getAddress().getPort();
  }

  /** Starts discovery again at its port. */
  void restartDiscovery(int port) throws IOException {
    HttpServer discovery = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 50);
    discovery.setExecutor(executor);
    discovery.createContext("/api/targets", watches::add);
    discovery.start();
    discoveries.add(discovery);
  }

  Target addTarget(String name) throws IOException {
    Target target = new Target(name);
    targets.add(target);
    return target;
  }

  /** Returns the settings of the configuration, to be changed before the program starts. */
  JsonObject settings() {
    return config.getAsJsonObject("settings");
  }

  /** Returns the settings of the class that {@link #connectClient} requests. */
  JsonObject previewClass() {
    return settings().getAsJsonArray("profiles").get(0).getAsJsonObject();
  }

  /**
   * Starts the program and waits until it admits clients.
   *
   * @param known the targets in the configuration
   */
  ProxyFixture start(Target... known) throws IOException, InterruptedException {
    config.add("known", JsonParser.parseString(targetList(1, true, "SERVING", known)));
    launch(config.toString());
    return awaitAdmission();
  }

  /** Waits until the program admits clients. */
  ProxyFixture awaitAdmission() throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Peer.LIMIT_MILLIS);
    while (System.nanoTime() < end && process.isAlive()) {
      try (Peer client = Peer.to(clientAddress).send("PING\r\n")) {
        if ("PONG".equals(client.line())) {
          return this;
        }
      } catch (java.net.ConnectException e) {
        Thread.sleep(10);
      }
    }
    throw new AssertionError("the program does not serve: " + Files.readString(logFile()));
  }

  /** Starts the program with a configuration file of this text. */
  void launch(String text) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-XX:MaxDirectMemorySize=16m",
                "-cp",
                System.getProperty("java.class.path"),
                "brassbank.Main",
                "serve"));
    if (optionsText != null) {
      optionsFile = Files.createTempFile("brassbank", ".toml");
      Files.writeString(optionsFile, optionsText);
      command.addAll(List.of("--config", optionsFile.toString()));
    }
    launch(text, new ProcessBuilder(command));
  }

  /** Starts the program by the given command, with a configuration file of this text. */
  void launch(String text, ProcessBuilder builder) throws IOException {
    configFile = Files.createTempFile("brassbank", ".json");
    Files.writeString(configFile, text);
    builder.environment().put("LB_CONFIG", configFile.toString());
    builder.environment().put("LB_DISCOVERY", config.get("discovery").getAsString());
    builder.environment().put("BRASSBANK_LOG", logFormat);
    if (sharedListener != null) {
      sharedListener.passTo(builder);
    }
    process = builder.redirectErrorStream(true).redirectOutput(logFile().toFile()).start();
  }

  /**
   * Starts the program once more with a management address of its own. The fixture refers to the
   * new process from here on.
   *
   * @return the process that was started before, which keeps running
   */
  Process startSuccessor() throws IOException {
    Process previous = process;
    try (ServerSocket free = new ServerSocket(0, 1, managementAddress.getAddress())) {
      managementAddress =
          new InetSocketAddress(managementAddress.getAddress(), free.getLocalPort());
    }
    config.addProperty("management", "127.0.0.2:" + managementAddress.getPort());
    launch(config.toString());
    return previous;
  }

  /** Returns whether the process that was started last is running on standby. */
  boolean isOnStandby() throws IOException {
    try {
      return statusText().startsWith("standby");
    } catch (java.net.ConnectException e) {
      return false;
    }
  }

  /** Returns the text of the response to GET /status. */
  String statusText() throws IOException {
    try (Peer operator =
        Peer.to(managementAddress).send("GET /status HTTP/1.1\r\nHost: x\r\n\r\n")) {
      String last = "";
      for (String line = operator.line(); line != null; line = operator.line()) {
        last = line;
      }
      return last;
    }
  }

  /** Waits until the management interface reports that the process accepts clients. */
  void awaitServing() throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Peer.LIMIT_MILLIS);
    while (System.nanoTime() < end && process.isAlive()) {
      try {
        if (managementCall("GET /status").startsWith("HTTP/1.1 200")) {
          return;
        }
      } catch (java.net.ConnectException e) {
        // The process does not listen on its management address yet.
      }
      Thread.sleep(10);
    }
    throw new AssertionError("the program does not accept clients: " + Files.readString(logFile()));
  }

  /** Replaces the configuration file and sends SIGHUP to the program. */
  void reload(String text) throws IOException, InterruptedException {
    Files.writeString(configFile, text);
    signal("HUP");
  }

  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  /** Replaces the options file and sends SIGHUP to the program. */
  void reloadOptions(String text) throws IOException, InterruptedException {
    Files.writeString(optionsFile, text);
    signal("HUP");
  }

  static long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }

  static void await(CountDownLatch latch) {
    try {
      if (!latch.await(Peer.LIMIT_MILLIS, TimeUnit.MILLISECONDS)) {
        throw new AssertionError("the latch was not released in time");
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sets how flows of the class that {@link #connectClient} requests may be repeated. */
  void configureRepeats(String effect, String group, long windowMillis) {
    previewClass().addProperty("effect", effect);
    previewClass().addProperty("group", group);
    previewClass().addProperty("window", windowMillis * 1000);
  }

  /**
   * Waits until the proxy has processed all input that was sent before this call. The proxy has one
   * thread, so that the answer to a later connection proves it.
   */
  void awaitInputProcessed() throws IOException {
    try (Peer malformed = Peer.to(clientAddress).send("GET /\r\n")) {
      String line = malformed.line();
      if (line == null || !line.startsWith("ERR")) {
        throw new AssertionError("a malformed request was answered with " + line);
      }
    }
  }

  /** Waits for a line of the program's log that contains the text; returns null on a time-out. */
  String awaitLogLine(String text) throws IOException, InterruptedException {
    long start = System.nanoTime();
    while (millisSince(start) < Peer.LIMIT_MILLIS) {
      for (String line : Files.readAllLines(logFile())) {
        if (line.contains(text)) {
          return line;
        }
      }
      Thread.sleep(5);
    }
    return null;
  }

  Path logFile() {
    return configFile.resolveSibling(configFile.getFileName() + ".log");
  }

  /**
   * Returns a message of discovery.
   *
   * @param index the version of the list
   * @param snapshot whether the message holds the whole list, rather than the changed entries
   * @param status the status of all targets in the message
   */
  static String targetList(long index, boolean snapshot, String status, Target... targets) {
    JsonObject list = new JsonObject();
    list.addProperty("index", index);
    list.addProperty("snapshot", snapshot);
    JsonArray entries = new JsonArray();
    for (Target target : targets) {
      entries.add(target.listEntry(status));
    }
    list.add("endpoints", entries);
    return list.toString();
  }

  /** Waits for the next call to the first discovery server. */
  HttpExchange nextWatch() throws InterruptedException {
    return nextCall(watches);
  }

  /** Waits for the next call to a discovery server. */
  static HttpExchange nextCall(BlockingQueue<HttpExchange> calls) throws InterruptedException {
    HttpExchange call = calls.poll(Peer.LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    if (call == null) {
      throw new AssertionError("no call to discovery has arrived in time");
    }
    return call;
  }

  /** Sends a line of the response body, after the head if that has not been sent. */
  static void sendLine(HttpExchange watch, String line) throws IOException {
    if (watch.getResponseCode() < 0) {
      watch.sendResponseHeaders(200, 0);
    }
    OutputStream body = watch.getResponseBody();
    body.write((line + "\n").getBytes(StandardCharsets.UTF_8));
    body.flush();
  }

  /** Connects a client and sends a first line with a unique id. */
  Peer connectClient(String parameters) throws IOException {
    return connectClient(Integer.toHexString(0x9b1f + clientCount++), parameters);
  }

  /** Connects a client and sends a first line with the given id and additional parameters. */
  Peer connectClient(String id, String parameters) throws IOException {
    String line = "OPEN " + id + " key-1 c=preview,t=kelvin-stone," + parameters + "\r\n";
    return Peer.to(clientAddress).send(line);
  }

  void close() throws IOException, InterruptedException {
    if (process != null) {
      process.destroyForcibly().waitFor();
      Files.deleteIfExists(logFile());
      Files.deleteIfExists(configFile);
      if (optionsFile != null) {
        Files.deleteIfExists(optionsFile);
      }
    }
    discoveries.forEach(discovery -> discovery.stop(0));
    for (Target target : targets) {
      target.close();
    }
    executor.shutdownNow();
  }
}
