import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for clients, stream hosts, discovery and the platform, and the common part of the
 * cases. They follow the protocol page. Every address is a loopback address.
 */
class Rig {
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  static final Path ROOT = Path.of(System.getProperty("root")).toAbsolutePath().normalize();
  static final Path CASE = Path.of(System.getProperty("case")).toAbsolutePath().normalize();
  static final long START_NANOS = System.nanoTime();
  static final Random RANDOM = new Random();
  static final List<ProxyProcess> PROXIES = new CopyOnWriteArrayList<>();
  static BufferedWriter record;
  static Path temp;

  /** The body of a case. */
  interface Body {
    /** Returns what broke the rule, one line each; empty if it held. */
    List<String> run() throws Exception;
  }

  /** Thrown if the case could not be set up. */
  static class CannotRun extends Exception {
    CannotRun(String message) {
      super(message);
    }
  }

  /** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  static void play(Body body) {
    int status = 2;
    try {
      record = Files.newBufferedWriter(CASE.resolve("record.txt"));
      Files.deleteIfExists(CASE.resolve("proxy.log"));
      temp = Files.createTempDirectory("review-case-");
      Runtime.getRuntime().addShutdownHook(new Thread(Rig::cleanUp));
      note("trouble " + (TROUBLE ? "on" : "off"));
      List<String> broken = body.run();
      broken.forEach(line -> say("broken: " + line));
      say(broken.isEmpty() ? "the rule held" : "the rule was broken");
      status = broken.isEmpty() ? 0 : 1;
    } catch (CannotRun e) {
      say("could not run: " + e.getMessage());
    } catch (Exception e) {
      say("could not run: " + e);
      e.printStackTrace();
    }
    System.exit(status);
  }

  private static void cleanUp() {
    PROXIES.forEach(p -> p.process.destroyForcibly());
    try {
      record.close();
      try (var files = Files.walk(temp)) {
        files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
      }
    } catch (IOException e) {
      System.err.println(e.getMessage());
    }
  }

  static long nowMillis() {
    return (System.nanoTime() - START_NANOS) / 1_000_000;
  }

  /** Writes a line to record.txt. */
  static void note(String text) {
    synchronized (Rig.class) {
      try {
        record.write(String.format("%8.3f %s%n", nowMillis() / 1000.0, text));
        record.flush();
      } catch (IOException e) {
        // The record is closed: the case is over.
      }
    }
  }

  /** Writes a line to record.txt and to standard output. */
  static void say(String text) {
    note(text);
    System.out.println(text);
  }

  static void sleep(long millis) throws InterruptedException {
    if (millis > 0) {
      Thread.sleep(millis);
    }
  }

  static void thread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  static ServerSocket listen() throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
    return socket;
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = listen()) {
      return socket.getLocalPort();
    }
  }

  static String hex() {
    return String.format("%016x", RANDOM.nextLong());
  }

  static void write(Socket socket, String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
  }

  /** A stream host. It answers probes, takes flows with UP and returns every other line. */
  static class Host {
    final String name;
    final ServerSocket socket = listen();
    final String address = "127.0.0.1:" + socket.getLocalPort();
    final List<Socket> connections = new CopyOnWriteArrayList<>();
    final AtomicInteger receipts = new AtomicInteger();

    /** A host that drains completes what it has and turns new flows away. */
    volatile boolean draining;

    /** The first lines that have arrived here: the time and the id. */
    final ConcurrentLinkedQueue<Map.Entry<Long, String>> opens = new ConcurrentLinkedQueue<>();

    Host(String name) throws IOException {
      this.name = name;
      thread("host " + name, this::accept);
    }

    private void accept() {
      try {
        while (true) {
          Socket connection = socket.accept();
          connection.setTcpNoDelay(true);
          connections.add(connection);
          thread("connection of " + name, () -> serve(connection));
        }
      } catch (IOException e) {
        // The host has stopped.
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        BufferedReader in = reader(connection);
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          if (!line(connection, line)) {
            return;
          }
        }
      } catch (IOException e) {
        // The connection has ended.
      } finally {
        connections.remove(connection);
      }
    }

    /** Handles a line; returns false to end the connection. */
    boolean line(Socket connection, String line) throws IOException {
      if (line.equals("PING")) {
        write(connection, "PONG");
      } else if (line.equals("STATS")) {
        write(connection, "PONG x0=0.1,x1=0,throughput=1,errors_per_s=0");
      } else if (line.startsWith("OPEN ")) {
        opens.add(Map.entry(nowMillis(), line.split(" ")[1]));
        note(name + " gets " + line);
        if (draining) {
          write(connection, "BUSY");
          return false;
        }
        write(connection, "UP r-" + name + "-" + receipts.incrementAndGet());
      } else {
        write(connection, line);
      }
      return true;
    }

    /** Stops: all connections end, and new ones are refused. */
    void stop() throws IOException {
      note(name + " stops");
      socket.close();
      for (Socket connection : connections) {
        connection.close();
      }
    }
  }

  /** Discovery: the whole list, and watches with an empty line every 2 s. */
  static class Discovery {
    final ServerSocket socket = listen();
    final String address = "127.0.0.1:" + socket.getLocalPort();
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<Socket> watches = new ArrayList<>();
    private long index = 41;
    final AtomicInteger lists = new AtomicInteger();
    final AtomicInteger watchCalls = new AtomicInteger();

    Discovery() throws IOException {
      thread("discovery", this::accept);
    }

    static String entry(String name, String address, String status, long sinceMillis) {
      return "{\"name\":\""
          + name
          + "\",\"address\":\""
          + address
          + "\",\"zone\":\"leith\",\"type\":\"fast-box\",\"group\":0,\"status\":\""
          + status
          + "\",\"weight\":1.0,\"since_ms\":"
          + sinceMillis
          + "}";
    }

    synchronized void set(String name, String address, String status) {
      set(name, address, status, 0);
    }

    /** Changes an entry and writes the change to all watches. */
    synchronized void set(String name, String address, String status, long sinceMillis) {
      String entry = entry(name, address, status, sinceMillis);
      if (status.equals("DELETED")) {
        entries.remove(name);
      } else {
        entries.put(name, entry);
      }
      index++;
      note("discovery: " + name + " is " + status + ", index " + index);
      for (Socket watch : List.copyOf(watches)) {
        try {
          chunk(watch, list(false, List.of(entry)) + "\n");
          note("discovery has written the change to a watch");
        } catch (IOException e) {
          watches.remove(watch);
        }
      }
    }

    synchronized String snapshot() {
      return list(true, new ArrayList<>(entries.values()));
    }

    private String list(boolean whole, List<String> of) {
      return "{\"index\":"
          + index
          + ",\"snapshot\":"
          + whole
          + ",\"endpoints\":["
          + String.join(",", of)
          + "]}";
    }

    private static void chunk(Socket socket, String text) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      OutputStream out = socket.getOutputStream();
      out.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
      out.flush();
    }

    /** Leaves this address: new connections are refused, and the open ones are closed. */
    synchronized void close() throws IOException {
      note("discovery at " + address + " closes");
      socket.close();
      for (Socket watch : List.copyOf(watches)) {
        watch.close();
      }
    }

    private void accept() {
      try {
        while (true) {
          Socket connection = socket.accept();
          connection.setTcpNoDelay(true);
          thread("discovery call", () -> call(connection));
        }
      } catch (IOException e) {
        // Discovery has stopped.
      }
    }

    private void call(Socket connection) {
      try (connection) {
        BufferedReader in = reader(connection);
        String request = in.readLine();
        if (request == null) {
          return;
        }
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {}
        note("discovery is asked: " + request);
        String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
        if (request.contains("follow=1")) {
          watchCalls.incrementAndGet();
          synchronized (this) {
            connection
                .getOutputStream()
                .write((head + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            chunk(connection, snapshot() + "\n");
            watches.add(connection);
          }
          while (true) {
            Thread.sleep(2_000);
            synchronized (this) {
              chunk(connection, "\n");
            }
          }
        }
        lists.incrementAndGet();
        byte[] body = snapshot().getBytes(StandardCharsets.UTF_8);
        connection
            .getOutputStream()
            .write((head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        connection.getOutputStream().write(body);
        connection.getOutputStream().flush();
      } catch (IOException | InterruptedException e) {
        // The call has ended.
      } finally {
        synchronized (this) {
          watches.remove(connection);
        }
      }
    }
  }

  /** One client's connection: it sends OPEN, waits for the answer, then a line every 2 s. */
  static class Client {
    final String id = hex();
    final Socket socket = new Socket();
    final long sentMillis;
    volatile String answer;
    volatile long answerMillis = -1;
    volatile String lastLine;
    volatile long lastLineMillis = -1;
    volatile boolean moved;
    volatile long movedMillis = -1;

    /** How the connection ended: null while it stands, "end" or "reset". */
    volatile String end;

    volatile long endMillis = -1;
    private volatile boolean stopped;

    Client(ProxyProcess proxy, String requestClass, long deadlineMillis) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress("127.0.0.1", proxy.port), 2_000);
      String line = opening(id, requestClass, deadlineMillis);
      sentMillis = nowMillis();
      note("client " + id + " sends " + line);
      write(socket, line);
      thread("client " + id, this::read);
    }

    static String opening(String id, String requestClass, long deadlineMillis) {
      return "OPEN " + id + " " + hex() + " c=" + requestClass + ",t=kelvin-stone,d=" + deadlineMillis;
    }

    private void read() {
      try {
        BufferedReader in = reader(socket);
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          received(line);
        }
        ended("end");
      } catch (IOException e) {
        ended("reset");
      }
    }

    private void received(String line) {
      lastLine = line;
      lastLineMillis = nowMillis();
      if (answer == null) {
        answerMillis = lastLineMillis;
        note("client " + id + " is answered " + line);
        answer = line;
        if (line.startsWith("UP ")) {
          thread("lines of " + id, this::sendLines);
        }
      } else if (line.equals("MOVE")) {
        moved = true;
        movedMillis = lastLineMillis;
        note("client " + id + " gets MOVE");
      }
    }

    private void sendLines() {
      try {
        for (int i = 1; end == null && !moved && !stopped; i++) {
          write(socket, "line " + i);
          Thread.sleep(2_000);
        }
      } catch (IOException | InterruptedException e) {
        // The reader sees how the connection ended.
      }
    }

    private void ended(String how) {
      endMillis = nowMillis();
      end = how;
      note("client " + id + "'s connection ends: " + how + (moved ? " after MOVE" : "") + (stopped ? " by itself" : ""));
      try {
        socket.close();
      } catch (IOException e) {
        // Closed already.
      }
    }

    boolean isUp() {
      return answer != null && answer.startsWith("UP ");
    }

    /** Waits for the answer or the end of the connection. */
    Client await(long millis) throws InterruptedException {
      for (long until = nowMillis() + millis; answer == null && end == null && nowMillis() < until; ) {
        Thread.sleep(5);
      }
      return this;
    }

    /** Leaves: ends the connection. */
    void leave() throws IOException {
      stopped = true;
      socket.close();
    }
  }

  /** A process of the proxy, started with `run` of the deploy file. */
  static class ProxyProcess {
    final Process process;
    final int port;
    final Path config;
    final Path log;

    ProxyProcess(int port, Path config, Map<String, String> env) throws IOException {
      this(port, config, env, ProcessBuilder.Redirect.PIPE);
    }

    ProxyProcess(int port, Path config, Map<String, String> env, ProcessBuilder.Redirect input)
        throws IOException {
      this.port = port;
      this.config = config;
      log = CASE.resolve("proxy.log");
      Matcher run =
          Pattern.compile("(?m)^run = \"(.*)\"").matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
      if (!run.find()) {
        throw new IOException("the deploy file has no run");
      }
      ProcessBuilder builder =
          new ProcessBuilder("/bin/sh", "-c", run.group(1))
              .directory(ROOT.toFile())
              .redirectInput(input)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      builder.environment().put("LB_CONFIG", config.toString());
      builder.environment().put("TMPDIR", temp.toString());
      builder.environment().putAll(env);
      process = builder.start();
      PROXIES.add(this);
      note("proxy process " + PROXIES.size() + " started");
    }

    /** Waits until the proxy answers PONG, as the front does before it admits it. */
    void awaitReady() throws Exception {
      for (long until = nowMillis() + 30_000; nowMillis() < until; sleep(50)) {
        if (!process.isAlive()) {
          throw new CannotRun("the proxy has ended with status " + process.exitValue());
        }
        try (Socket socket = new Socket("127.0.0.1", port)) {
          socket.setSoTimeout(2_000);
          write(socket, "PING");
          if ("PONG".equals(reader(socket).readLine())) {
            // Somebody else may have taken the port: then this process ends at once.
            sleep(200);
            if (process.isAlive()) {
              note("the proxy is ready");
              return;
            }
          }
        } catch (IOException e) {
          // Not ready yet.
        }
      }
      throw new CannotRun("the proxy is not ready after 30 s");
    }

    void signal(String name) throws Exception {
      note("the platform sends SIG" + name);
      new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }
  }

  /** The configuration of a small deployment; the settings are those of the wire page's example. */
  static String config(
      String listen, String discovery, int memoryMb, String known, String listMode, String classes) {
    return """
        {"name":"n0","listen":"LISTEN","discovery":"DISCOVERY","seed":"SEED",
         "limits":{"cores":1.0,"memory_mb":MEMORY,"sockets":1024},
         "known":KNOWN,
         "settings":{
          "rank":0,"balancers":1,"zone":"leith","failure-domains":["leith","dalkeith"],
          "flavors":["fast-box","mid-box","old-box"],
          "discovery":"LISTMODE","service-type":"conn","stage":0,"tiers":["stream-hosts"],
          "weights":"nominal","worth-by":"request","resolution":4000,"over-share-worth":0.1,
          "clients":{"marks-retry":true},
          "allowed":{"cancel":true,"cpu-us-per-request":0.0,"cpu-us-per-s":500000,
           "dial-timeout":200000,"keepalive":5000000,"max-open":1000000,
           "max-retry-after":2000000,"multiplex":1048576,"peer-messages":false,"probes":true,
           "retry-after":true,"second-copies":false,"send-cap":4},
          "extra":{"groups":true,"hint":"usual load of the connection","message-aim":[150000.0,100000.0],
           "mode":"proxy","park":0,"report-x0":"load asked of the server over what it can do",
           "report-x1":"seconds of work piled up","tells-delay":true,"tells-load":true},
          "goal":{"whole":0.65,"worst-class":0.2,"worst-tenant":0.1,"worst-window":0.05},
          "prices":{"connection":0.0,"cross-zone":0.16,"discovery":0.0,"handshake":0.0,
           "late-fail":0.06,"moves":0.026,"origin":0.0,"peer":0.0,"probe":0.0016,"waste":0.046},
          "profiles":[CLASSES],
          "realms":[{"name":"kelvin-stone","quota-rps":100.0,"share":0.6},
           {"name":"forthbank","quota-rps":100.0,"share":0.4}],
          "report":{"fields":["x0","x1","throughput","errors_per_s"],"source":"probe"},
          "safety":{"answer-slack":16000,"ask-within":10000000,"cold-share":0.12,
           "drain-grace":400000,"fall-multiple":4.0,"overload-for":1500000,"warm-up":24000000}}}
        """
        .replace("LISTEN", listen)
        .replace("DISCOVERY", discovery)
        .replace("SEED", hex())
        .replace("MEMORY", String.valueOf(memoryMb))
        .replace("LISTMODE", listMode)
        .replace("CLASSES", classes)
        .replace("KNOWN", known);
  }

  static final String CLASSES =
      """
      {"name":"preview","aim":800000,"give-up":4800000,"effect":"free","group":"all","late-worth":0.0,
       "streamed":true,"value":1.0,"window":5000000},
      {"name":"presentation","aim":500000,"give-up":3000000,"effect":"free","group":"all",
       "late-worth":0.0,"streamed":true,"value":3.0,"window":5000000}""";

  /** Writes a configuration and starts a proxy with it. */
  static ProxyProcess startProxy(Discovery discovery, int memoryMb, String listMode) throws Exception {
    int port = freePort();
    Path file = temp.resolve("config.json");
    Files.writeString(
        file,
        config("127.0.0.1:" + port, discovery.address, memoryMb, discovery.snapshot(), listMode, CLASSES));
    ProxyProcess proxy =
        new ProxyProcess(
            port,
            file,
            Map.of("LB_NAME", "n0", "LB_LISTEN", "127.0.0.1:" + port, "LB_DISCOVERY", discovery.address));
    proxy.awaitReady();
    return proxy;
  }
}
