import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for the platform, and the start of the real proxy, for the cases of the review: stream
 * hosts, discovery, clients and the record of a run. Everything listens on 127.0.0.1, on free
 * ports. The proxy is the program itself, started by the command {@code run} of the deploy file.
 */
public final class Rig {
  private Rig() {}

  static final long START_NANOS = System.nanoTime();

  /** Whether the run includes the disruption; {@code TROUBLE=0} leaves it out. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  static long millis() {
    return (System.nanoTime() - START_NANOS) / 1_000_000;
  }

  static void pause(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static Thread thread(String name, Runnable work) {
    Thread thread = new Thread(work, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** The record of a run: a line for everything that was sent, answered or run. */
  static final class Record implements Closeable {
    private final PrintWriter out;

    Record(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    synchronized void add(String format, Object... values) {
      out.printf("%8.3f ", (System.nanoTime() - START_NANOS) / 1e9);
      out.printf(format, values);
      out.println();
      out.flush();
    }

    @Override
    public synchronized void close() {
      out.close();
    }
  }

  /** Reads lines and keeps what follows the last line end. */
  static final class Lines {
    private final InputStream in;
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

    Lines(InputStream in) {
      this.in = in;
    }

    /** Returns the next line without its end, or null at the end of the stream. */
    String next() throws IOException {
      partial.reset();
      for (int b = in.read(); b >= 0; b = in.read()) {
        if (b == '\n') {
          String line = partial.toString(StandardCharsets.ISO_8859_1);
          partial.reset();
          return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
        }
        partial.write(b);
      }
      return null;
    }

    /** Returns the bytes received after the last line end. */
    String rest() {
      return partial.toString(StandardCharsets.ISO_8859_1);
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** One connection that a stream host has accepted. */
  static final class HostConnection {
    final Host host;
    final Socket socket;
    final OutputStream out;

    /** The id of the flow, null for probes. */
    volatile String flow;

    volatile boolean endedByHost;
    long loadSentAt;
    int received;

    HostConnection(Host host, Socket socket) throws IOException {
      this.host = host;
      this.socket = socket;
      this.out = socket.getOutputStream();
      socket.setTcpNoDelay(true);
    }

    void write(String text) throws IOException {
      write(bytes(text));
    }

    synchronized void write(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }
  }

  /** What a stream host does with an opening line and with the lines of a session. */
  interface Behaviour {
    /** Answers an OPEN line; the default serves it. */
    default void open(HostConnection connection, String line) throws IOException {
      connection.host.up(connection);
    }

    /** Answers a client's line; the default returns a line at once. */
    default void line(HostConnection connection, String line) throws IOException {
      connection.write("r " + line + "\r\n");
    }

    /** The load report of a probe. */
    default String report(Host host) {
      return "x0=0.3,x1=0,throughput=1,errors_per_s=0";
    }
  }

  /** A stream host. */
  static final class Host {
    final String name;
    final String zone;
    final ServerSocket server;
    final Record record;
    final Behaviour behaviour;
    final List<HostConnection> connections = new CopyOnWriteArrayList<>();
    final AtomicLong receipts = new AtomicLong();
    volatile String status = "SERVING";
    volatile long sinceMillis;

    /** The registered size. */
    volatile double weight = 1;

    Host(String name, String zone, Record record, Behaviour behaviour) throws IOException {
      this.name = name;
      this.zone = zone;
      this.record = record;
      this.behaviour = behaviour;
      server = new ServerSocket();
      server.bind(new InetSocketAddress("127.0.0.1", 0), 512);
      thread(name, this::accept);
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
      while (true) {
        try {
          HostConnection connection = new HostConnection(this, server.accept());
          thread(name + " connection", () -> serve(connection));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(HostConnection connection) {
      try (Socket socket = connection.socket) {
        Lines lines = new Lines(socket.getInputStream());
        for (String line = lines.next(); line != null; line = lines.next()) {
          if (connection.flow == null) {
            if (line.equals("PING")) {
              connection.write("PONG\r\n");
            } else if (line.equals("STATS")) {
              connection.write("PONG " + behaviour.report(this) + "\r\n");
            } else if (line.startsWith("OPEN ")) {
              connection.flow = line.split(" ")[1];
              connections.add(connection);
              record.add("%s gets %s", name, line);
              behaviour.open(connection, line);
            } else {
              record.add("%s gets what no client sent: %s", name, line);
              connection.write("SYNTAX\r\n");
            }
          } else {
            connection.received++;
            behaviour.line(connection, line);
          }
          if (connection.endedByHost) {
            return;
          }
        }
        if (connection.flow != null) {
          record.add("%s sees the end of %s", name, connection.flow);
        }
      } catch (IOException e) {
        if (connection.flow != null) {
          record.add("%s sees a broken connection of %s: %s", name, connection.flow, e.getMessage());
        }
      } finally {
        connections.remove(connection);
      }
    }

    void up(HostConnection connection) throws IOException {
      String receipt = name + "-" + receipts.incrementAndGet();
      record.add("%s answers %s: UP %s", name, connection.flow, receipt);
      connection.write("UP " + receipt + "\r\n");
    }

    String json() {
      return String.format(
          Locale.ROOT,
          "{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"type\":\"fast-box\",\"group\":0,"
              + "\"status\":\"%s\",\"weight\":%.1f,\"since_ms\":%d}",
          name,
          address(),
          zone,
          status,
          weight,
          sinceMillis);
    }
  }

  /** Discovery: the whole list and watches, in the form of the protocol page. */
  static final class Discovery {
    final ServerSocket server;
    final List<Host> hosts;
    final Record record;
    private final Map<Socket, OutputStream> watches = new ConcurrentHashMap<>();
    private long index = 1;

    Discovery(List<Host> hosts, Record record) throws IOException {
      this.hosts = hosts;
      this.record = record;
      server = new ServerSocket();
      server.bind(new InetSocketAddress("127.0.0.1", 0), 64);
      thread("discovery", this::accept);
      thread("discovery heartbeat", this::heartbeat);
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized String list() {
      StringBuilder text = new StringBuilder();
      for (Host host : hosts) {
        text.append(text.isEmpty() ? "" : ",").append(host.json());
      }
      return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + text + "]}";
    }

    /** Tells all watches that a host has changed. */
    synchronized void changed(Host host) {
      index++;
      String object =
          "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + host.json() + "]}";
      record.add("discovery tells %s", object);
      watches.forEach((socket, out) -> chunk(socket, out, object + "\n"));
    }

    private void chunk(Socket socket, OutputStream out, String text) {
      try {
        synchronized (out) {
          out.write(bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
          out.flush();
        }
      } catch (IOException e) {
        watches.remove(socket);
      }
    }

    private void heartbeat() {
      while (true) {
        pause(2000);
        watches.forEach((socket, out) -> chunk(socket, out, "\n"));
      }
    }

    private void accept() {
      while (true) {
        try {
          Socket socket = server.accept();
          thread("discovery call", () -> answer(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void answer(Socket socket) {
      try {
        Lines lines = new Lines(socket.getInputStream());
        String request = lines.next();
        for (String line = request; line != null && !line.isEmpty(); line = lines.next()) {}
        if (request == null) {
          socket.close();
          return;
        }
        record.add("discovery is asked %s", request);
        OutputStream out = socket.getOutputStream();
        if (request.contains("follow=1")) {
          out.write(
              bytes(
                  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                      + "Transfer-Encoding: chunked\r\n\r\n"));
          synchronized (this) {
            watches.put(socket, out);
            chunk(socket, out, list() + "\n");
          }
        } else {
          String body = list();
          out.write(
              bytes(
                  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                      + body.length()
                      + "\r\n\r\n"
                      + body));
          out.flush();
          socket.close();
        }
      } catch (IOException e) {
        record.add("a call of discovery broke: %s", e.getMessage());
      }
    }
  }

  /** Returns a port on which nobody listens. */
  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  /** The settings of a small deployment, with the names and figures of the wire page. */
  static String settings(String classes, int rank, int balancers) {
    return "{\"rank\":" + rank + ",\"balancers\":" + balancers + ",\"zone\":\"leith\",\n"
        + "\"failure-domains\":[\"leith\",\"dalkeith\"],\"flavors\":[\"fast-box\"],\n"
        + "\"discovery\":\"ask\",\"service-type\":\"conn\",\"stage\":0,\"tiers\":[\"stream-hosts\"],\n"
        + "\"weights\":\"nominal\",\"resolution\":4000,\"over-share-worth\":0.1,\n"
        + "\"worth-by\":\"request\",\"clients\":{\"marks-retry\":true},\n"
        + "\"allowed\":{\"cancel\":true,\"dial-timeout\":200000,\"keepalive\":5000000,\n"
        + "\"max-open\":1000000,\"max-retry-after\":2000000,\"multiplex\":1048576,\n"
        + "\"peer-messages\":false,\"probes\":true,\"retry-after\":true,\n"
        + "\"second-copies\":false,\"send-cap\":4},\n"
        + "\"extra\":{\"groups\":true,\"mode\":\"proxy\",\"message-aim\":[150000.0,100000.0],\n"
        + "\"report-x0\":\"load asked of the server over what it can do\",\n"
        + "\"report-x1\":\"seconds of work piled up\",\"park\":0,\n"
        + "\"tells-load\":true,\"tells-delay\":true,\n"
        + "\"tenant-quota-connections\":[90.0,67.0]},\n"
        + "\"goal\":{\"whole\":0.65,\"worst-class\":0.2,\"worst-tenant\":0.1,\"worst-window\":0.05},\n"
        + "\"prices\":{\"cross-zone\":0.16,\"late-fail\":0.06,\"moves\":0.026,\"probe\":0.0016,\n"
        + "\"waste\":0.046,\"peer\":0.0},\n"
        + "\"profiles\":[" + classes + "],\n"
        + "\"realms\":[{\"name\":\"kelvin-stone\",\"quota-rps\":4.0,\"share\":0.6},\n"
        + "{\"name\":\"forthbank\",\"quota-rps\":3.0,\"share\":0.4}],\n"
        + "\"report\":{\"fields\":[\"x0\",\"x1\",\"throughput\",\"errors_per_s\"],\"source\":\"probe\"},\n"
        + "\"safety\":{\"answer-slack\":16000,\"ask-within\":10000000,\"cold-share\":0.12,\n"
        + "\"drain-grace\":400000,\"fall-multiple\":4.0,\"overload-for\":1500000,\n"
        + "\"warm-up\":24000000}}";
  }

  static String flowClass(String name, long aim, long giveUp, double value, String effect) {
    return String.format(
        Locale.ROOT,
        "{\"name\":\"%s\",\"aim\":%d,\"give-up\":%d,\"effect\":\"%s\",\"group\":\"all\","
            + "\"late-worth\":0.0,\"streamed\":true,\"value\":%.1f,\"window\":5000000}",
        name,
        aim,
        giveUp,
        effect,
        value);
  }

  /** The two classes of the site. */
  static final String CLASSES =
      flowClass("preview", 800000, 4800000, 1, "free")
          + ","
          + flowClass("presentation", 500000, 3000000, 3, "free");

  /** A real proxy, started by the command of the deploy file. */
  static final class Proxy {
    final String name;
    final int port;
    final Path folder;
    final Record record;
    Process process;
    private final String command;
    private final Path root;

    Proxy(Path root, String name, Record record, Discovery discovery, List<Host> known)
        throws IOException {
      this(root, name, record, discovery, known, settings(CLASSES, 0, 1));
    }

    Proxy(
        Path root,
        String name,
        Record record,
        Discovery discovery,
        List<Host> known,
        String settings)
        throws IOException {
      this.root = root;
      this.name = name;
      this.record = record;
      this.port = freePort();
      this.folder = Files.createTempDirectory("review-" + name);
      command = runCommand(root);
      StringBuilder list = new StringBuilder();
      for (Host host : known) {
        list.append(list.isEmpty() ? "" : ",").append(host.json());
      }
      Files.writeString(
          folder.resolve("config.json"),
          "{\"name\":\"" + name + "\",\"listen\":\"" + address() + "\",\"discovery\":\""
              + discovery.address() + "\",\n\"seed\":\""
              + Long.toHexString(System.nanoTime() | 1L << 60) + "\",\n"
              + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n"
              + "\"known\":{\"index\":0,\"snapshot\":true,\"endpoints\":[" + list + "]},\n"
              + "\"settings\":" + settings + "}\n");
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    /** Sets the limits in the configuration; 192 MB and 1,024 sockets otherwise. */
    void limits(int memoryMegabytes, int sockets) throws IOException {
      Path file = folder.resolve("config.json");
      Files.writeString(
          file,
          Files.readString(file)
              .replace("\"memory_mb\":192", "\"memory_mb\":" + memoryMegabytes)
              .replace("\"sockets\":1024", "\"sockets\":" + sockets));
    }

    private static String runCommand(Path root) throws IOException {
      for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
        if (line.startsWith("run = \"")) {
          return line.substring("run = \"".length(), line.lastIndexOf('"'));
        }
      }
      throw new IOException("deploy/balancer.toml has no 'run'");
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
      builder.directory(root.toFile());
      builder.environment().put("LB_CONFIG", folder.resolve("config.json").toString());
      builder.environment().put("LB_NAME", name);
      builder.environment().put("LB_LISTEN", address());
      builder.environment().put("TMPDIR", folder.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve("log.txt").toFile()));
      Process started = builder.start();
      process = started;
      // Also when this driver is itself ended.
      Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
      record.add("proxy %s is started", name);
    }

    /** Waits as the front does, until the proxy answers PING with PONG. */
    boolean awaitReady(long limitMillis) {
      long end = millis() + limitMillis;
      while (millis() < end) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
          socket.setSoTimeout(1000);
          socket.getOutputStream().write(bytes("PING\r\n"));
          if ("PONG".equals(new Lines(socket.getInputStream()).next())) {
            record.add("proxy %s is ready", name);
            return true;
          }
        } catch (IOException e) {
          // Not up yet.
        }
        pause(50);
      }
      return false;
    }

    void signal(String signal) throws IOException {
      record.add("proxy %s is sent SIG%s", name, signal);
      try {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
            .inheritIO()
            .start()
            .waitFor();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    /** Ends the process if it still runs, puts its log into the record and removes its folder. */
    void end() throws IOException {
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
      Path log = folder.resolve("log.txt");
      if (Files.exists(log)) {
        record.add("the log of proxy %s:", name);
        for (String line : Files.readAllLines(log, StandardCharsets.ISO_8859_1)) {
          record.add("  %s", line);
        }
      }
      List<Path> files = new ArrayList<>();
      try (var stream = Files.walk(folder)) {
        stream.forEach(files::add);
      }
      for (int i = files.size() - 1; i >= 0; i--) {
        Files.deleteIfExists(files.get(i));
      }
    }
  }

  private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

  static String newId() {
    return String.format("%016x", IDS.addAndGet(0x9e3779b97f4aL));
  }

  /** Runs a case and ends the process with its verdict. */
  interface Case {
    /** Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    int run(Path root, Record record) throws Exception;
  }

  static void main(String[] arguments, Case run) throws IOException {
    Path root = Path.of(arguments[0]);
    int verdict = 2;
    try (Record record = new Record(Path.of(arguments[1]))) {
      record.add("the disruption is %s", TROUBLE ? "on" : "off (TROUBLE=0)");
      try {
        verdict = run.run(root, record);
      } catch (Exception e) {
        record.add("the case could not run: %s", e);
        e.printStackTrace();
      }
      record.add("verdict %d", verdict);
    }
    System.out.println("verdict " + verdict);
    System.exit(verdict);
  }
}
