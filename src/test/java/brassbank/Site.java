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

/** The program as a process, and what it speaks to: targets and discovery, on free ports. */
final class Site {
  /** A target: it keeps what opens a flow, and answers that and probes as it is told to. */
  final class Target {
    final String name;
    final ServerSocket socket;

    /** The connection of each probe, as often as it brought one. */
    final BlockingQueue<Peer> probes = new LinkedBlockingQueue<>();

    final BlockingQueue<Peer> opened = new LinkedBlockingQueue<>();
    String host = "127.0.0.1";
    int port;
    volatile String stats = "PONG x0=0.1,x1=0,throughput=2,errors_per_s=0\r\n";
    volatile UnaryOperator<String> answer = line -> "UP r-1\r\n";

    /** So many probes are ended without an answer once their question has come. */
    final AtomicInteger refusedProbes = new AtomicInteger();

    Target(String name) throws IOException {
      this.name = name;
      socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      port = socket.getLocalPort();
      threads.execute(this::accept);
    }

    private void accept() {
      try {
        while (true) {
          Socket connection = socket.accept();
          threads.execute(() -> serve(connection));
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
          if (refusedProbes.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
            peer.close();
            return;
          }
          probes.add(peer.send(stats));
        }
        if (line != null && line.startsWith("OPEN")) {
          peer.first = line;
          peer.send(answer.apply(line));
          opened.add(peer);
          return;
        }
        peer.close();
      } catch (IOException e) {
        // The proxy has ended the connection.
      }
    }

    Peer opened() throws InterruptedException {
      return opened.poll(Peer.LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    JsonObject entry(String status) {
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
      socket.close();
    }
  }

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<HttpServer> discoveries = new ArrayList<>();
  private final List<Target> targets = new ArrayList<>();
  final JsonObject config;
  final InetSocketAddress address;
  InetSocketAddress management;

  /** Watches as they are opened, each to be written to; what they asked for stands beside. */
  final BlockingQueue<HttpExchange> watches = new LinkedBlockingQueue<>();

  Process process;

  /** The clients' listening socket where the site holds it and its processes inherit it. */
  SharedListener shared;

  /** The text of a file of options for the program, or null for none. */
  String options;

  /** The form of the program's log. */
  String form = "text";

  private Path file;
  private Path optionsFile;
  private int clients;

  Site() throws IOException {
    config =
        JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
    // Not 127.0.0.1: a connect to a free port there can meet itself, and then holds the port.
    InetAddress own = InetAddress.getByName("127.0.0.2");
    try (ServerSocket free = new ServerSocket(0, 1, own)) {
      address = new InetSocketAddress(own, free.getLocalPort());
    }
    config.addProperty("listen", "127.0.0.2:" + address.getPort());
    config.addProperty("discovery", discovery(watches));
    try (ServerSocket free = new ServerSocket(0, 1, own)) {
      management = new InetSocketAddress(own, free.getLocalPort());
    }
    config.addProperty("management", "127.0.0.2:" + management.getPort());
  }

  /** An operator's call, by its method and path; returns the first line of the answer. */
  String call(String call) throws IOException {
    try (Peer operator = Peer.to(management).send(call + " HTTP/1.1\r\nHost: x\r\n\r\n")) {
      return operator.line();
    }
  }

  /** A discovery of its own; its calls are for the test to answer. */
  String discovery(BlockingQueue<HttpExchange> calls) throws IOException {
    HttpServer discovery = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
    discovery.setExecutor(threads);
    discovery.createContext("/api/targets", calls::add);
    discovery.start();
    discoveries.add(discovery);
    return "127.0.0.1:" + discovery.getAddress().getPort();
  }

  /** Discovery is down: its watches end, and new calls are refused; returns its port. */
  int discoveryDown() {
    HttpServer discovery = discoveries.remove(0);
    discovery.stop(0);
    return discovery.getAddress().getPort();
  }

  /** It is back at its port. */
  void discoveryUp(int port) throws IOException {
    HttpServer discovery = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 50);
    discovery.setExecutor(threads);
    discovery.createContext("/api/targets", watches::add);
    discovery.start();
    discoveries.add(discovery);
  }

  Target target(String name) throws IOException {
    Target target = new Target(name);
    targets.add(target);
    return target;
  }

  /** The settings of the configuration, to be changed before the program starts. */
  JsonObject settings() {
    return config.getAsJsonObject("settings");
  }

  /** The settings of the class that {@link #client} asks for. */
  JsonObject preview() {
    return settings().getAsJsonArray("profiles").get(0).getAsJsonObject();
  }

  /** Starts the program with these targets known, and waits until it admits clients. */
  Site start(Target... known) throws IOException, InterruptedException {
    config.add("known", JsonParser.parseString(list(1, true, "SERVING", known)));
    launch(config.toString());
    return admitted();
  }

  /** Waits until the program admits clients. */
  Site admitted() throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Peer.LIMIT_MILLIS);
    while (System.nanoTime() < end && process.isAlive()) {
      try (Peer front = Peer.to(address).send("PING\r\n")) {
        if ("PONG".equals(front.line())) {
          return this;
        }
      } catch (java.net.ConnectException e) {
        Thread.sleep(10);
      }
    }
    throw new AssertionError("the program does not serve: " + Files.readString(log()));
  }

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
    if (options != null) {
      optionsFile = Files.createTempFile("brassbank", ".toml");
      Files.writeString(optionsFile, options);
      command.addAll(List.of("--config", optionsFile.toString()));
    }
    launch(text, new ProcessBuilder(command));
  }

  /** Starts the program by this command, with a configuration file of this text. */
  void launch(String text, ProcessBuilder builder) throws IOException {
    file = Files.createTempFile("brassbank", ".json");
    Files.writeString(file, text);
    builder.environment().put("LB_CONFIG", file.toString());
    builder.environment().put("LB_DISCOVERY", config.get("discovery").getAsString());
    builder.environment().put("BRASSBANK_LOG", form);
    if (shared != null) {
      shared.inheritedBy(builder);
    }
    process = builder.redirectErrorStream(true).redirectOutput(log().toFile()).start();
  }

  /**
   * Starts the program once more, beside the one that serves and with an address of its own for
   * operators; the first is returned and lives on, the site is the second's from here on.
   */
  Process beside() throws IOException {
    Process first = process;
    try (ServerSocket free = new ServerSocket(0, 1, management.getAddress())) {
      management = new InetSocketAddress(management.getAddress(), free.getLocalPort());
    }
    config.addProperty("management", "127.0.0.2:" + management.getPort());
    launch(config.toString());
    return first;
  }

  /** Whether the program that was started last is up, and on standby. */
  boolean standsBy() throws IOException {
    try {
      return state().startsWith("standby");
    } catch (java.net.ConnectException e) {
      return false;
    }
  }

  /** What the proxy says it is: the last line of its status. */
  String state() throws IOException {
    try (Peer operator = Peer.to(management).send("GET /status HTTP/1.1\r\nHost: x\r\n\r\n")) {
      String last = "";
      for (String line = operator.line(); line != null; line = operator.line()) {
        last = line;
      }
      return last;
    }
  }

  /** Waits until the operators' door says that this process takes clients. */
  void serving() throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Peer.LIMIT_MILLIS);
    while (System.nanoTime() < end && process.isAlive()) {
      try {
        if (call("GET /status").startsWith("HTTP/1.1 200")) {
          return;
        }
      } catch (java.net.ConnectException e) {
        // It has not come so far yet.
      }
      Thread.sleep(10);
    }
    throw new AssertionError("the program does not take clients: " + Files.readString(log()));
  }

  /** Replaces the configuration and tells the program. */
  void reload(String text) throws IOException, InterruptedException {
    Files.writeString(file, text);
    signal("HUP");
  }

  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  /** Replaces the file of options and tells the program. */
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
        throw new AssertionError("what was waited for has not come");
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** How the class that {@link #client} asks for may be repeated. */
  void repeats(String effect, String group, long windowMillis) {
    preview().addProperty("effect", effect);
    preview().addProperty("group", group);
    preview().addProperty("window", windowMillis * 1000);
  }

  /**
   * The proxy has one thread: once a later connection is answered, it has read what came before.
   */
  void heardAll() throws IOException {
    try (Peer bad = Peer.to(address).send("GET /\r\n")) {
      String line = bad.line();
      if (line == null || !line.startsWith("ERR")) {
        throw new AssertionError("a bad client was told " + line);
      }
    }
  }

  /** Waits for a line of the program's log with this in it; null where none came in time. */
  String logged(String part) throws IOException, InterruptedException {
    long start = System.nanoTime();
    while (millisSince(start) < Peer.LIMIT_MILLIS) {
      for (String line : Files.readAllLines(log())) {
        if (line.contains(part)) {
          return line;
        }
      }
      Thread.sleep(5);
    }
    return null;
  }

  Path log() {
    return file.resolveSibling(file.getFileName() + ".log");
  }

  static String list(long index, boolean whole, String status, Target... of) {
    JsonObject list = new JsonObject();
    list.addProperty("index", index);
    list.addProperty("snapshot", whole);
    JsonArray entries = new JsonArray();
    for (Target target : of) {
      entries.add(target.entry(status));
    }
    list.add("endpoints", entries);
    return list.toString();
  }

  /** The next watch that the program opens. */
  HttpExchange watch() throws InterruptedException {
    return next(watches);
  }

  static HttpExchange next(BlockingQueue<HttpExchange> calls) throws InterruptedException {
    HttpExchange watch = calls.poll(Peer.LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    if (watch == null) {
      throw new AssertionError("no watch was opened");
    }
    return watch;
  }

  static void tell(HttpExchange watch, String line) throws IOException {
    if (watch.getResponseCode() < 0) {
      watch.sendResponseHeaders(200, 0);
    }
    OutputStream body = watch.getResponseBody();
    body.write((line + "\n").getBytes(StandardCharsets.UTF_8));
    body.flush();
  }

  /** A client that has sent its first line, with an id of its own. */
  Peer client(String more) throws IOException {
    return client(Integer.toHexString(0x9b1f + clients++), more);
  }

  Peer client(String id, String more) throws IOException {
    String line = "OPEN " + id + " key-1 c=preview,t=kelvin-stone," + more + "\r\n";
    return Peer.to(address).send(line);
  }

  void close() throws IOException, InterruptedException {
    if (process != null) {
      process.destroyForcibly().waitFor();
      Files.deleteIfExists(log());
      Files.deleteIfExists(file);
      if (optionsFile != null) {
        Files.deleteIfExists(optionsFile);
      }
    }
    discoveries.forEach(discovery -> discovery.stop(0));
    for (Target target : targets) {
      target.close();
    }
    threads.shutdownNow();
  }
}
