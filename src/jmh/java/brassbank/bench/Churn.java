package brassbank.bench;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Measures connection churn: clients open connections one after the other and close each as soon as
 * it is set up, first directly to idle stub hosts and then through one proxy in front of the same
 * hosts. All traffic stays on loopback.
 *
 * <p>Arguments: the total number of connections (3000), the number of concurrent clients (1 and
 * 16), the time limit of a round in seconds (60). A set-up lasts from the connect to the answer UP;
 * other answers are counted as not served.
 */
public final class Churn {
  private static final int HOSTS = 8;
  private static final int TIMEOUT_MILLIS = 10_000;

  /** The result of one round; the set-up times are sorted. */
  private record RoundResult(long[] setupNanos, int refused, double seconds) {
    @Override
    public String toString() {
      return String.format(
          "%7.0f set-ups a second, p50 %6.2f ms, p99 %7.2f ms, max %7.2f ms, over 100 ms %d,"
              + " not served %d",
          setupNanos.length / seconds,
          percentileMillis(0.5),
          percentileMillis(0.99),
          percentileMillis(1),
          Arrays.stream(setupNanos).filter(t -> t > 100_000_000).count(),
          refused);
    }

    private double percentileMillis(double share) {
      int last = setupNanos.length - 1;
      return last < 0 ? Double.NaN : setupNanos[(int) Math.ceil(last * share)] / 1e6;
    }
  }

  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  private final List<InetSocketAddress> hosts = new ArrayList<>();
  private final int connections;
  private final long roundTimeoutNanos;

  private Churn(int connections, int limitSeconds) {
    this.connections = connections;
    this.roundTimeoutNanos = TimeUnit.SECONDS.toNanos(limitSeconds);
  }

  public static void main(String[] args) throws Exception {
    int connections = args.length > 0 ? Integer.parseInt(args[0]) : 3000;
    int[] clients = args.length > 1 ? new int[] {Integer.parseInt(args[1])} : new int[] {1, 16};
    Churn churn = new Churn(connections, args.length > 2 ? Integer.parseInt(args[2]) : 60);
    for (int i = 0; i < HOSTS; i++) {
      churn.startHost();
    }
    for (int count : clients) {
      System.out.printf("direct, %2d clients: %s%n", count, churn.runRound(churn.hosts, count));
    }
    for (int count : clients) {
      // A new proxy for each round, so that no round is affected by the state of an earlier one.
      System.out.printf("proxy,  %2d clients: %s%n", count, churn.runRoundThroughProxy(count));
    }
    System.exit(0);
  }

  private void startHost() throws IOException {
    ServerSocket socket = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
    hosts.add(new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort()));
    threads.execute(
        () -> {
          try {
            while (true) {
              Socket connection = socket.accept();
              threads.execute(() -> serve(connection));
            }
          } catch (IOException e) {
            System.err.println("a stub host has stopped: " + e.getMessage());
          }
        });
  }

  private static void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      BufferedReader in = reader(connection);
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.equals("STATS")) {
          send(connection, "PONG x0=0.1,x1=0,throughput=1,errors_per_s=0");
        } else {
          send(connection, line.startsWith("OPEN ") ? "UP r-1" : line);
        }
      }
    } catch (IOException e) {
      // The client has closed its connection without BYE, as the clients of this benchmark do.
    }
  }

  private static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1), 256);
  }

  private static void send(Socket socket, String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Runs one round; the connections are spread over the addresses in rotation. */
  private RoundResult runRound(List<InetSocketAddress> addresses, int clients) throws Exception {
    long start = System.nanoTime();
    List<Future<long[]>> running = new ArrayList<>();
    for (int i = 0; i < clients; i++) {
      int first = i;
      running.add(
          threads.submit(() -> runClient(addresses, first, clients, start + roundTimeoutNanos)));
    }
    long[] times = {};
    int refused = 0;
    for (Future<long[]> client : running) {
      long[] clientNanos = client.get();
      long[] served = Arrays.stream(clientNanos).filter(t -> t > 0).toArray();
      refused += clientNanos.length - served.length;
      int previousCount = times.length;
      times = Arrays.copyOf(times, previousCount + served.length);
      System.arraycopy(served, 0, times, previousCount, served.length);
    }
    double seconds = (System.nanoTime() - start) / 1e9;
    Arrays.sort(times);
    return new RoundResult(times, refused, seconds);
  }

  /**
   * Returns the nanoseconds until UP for each connection, 0 for a connection that was not served.
   */
  private long[] runClient(
      List<InetSocketAddress> addresses, int first, int step, long deadlineNanos)
      throws IOException {
    long[] times = new long[connections / step];
    for (int i = 0; i < times.length; i++) {
      long start = System.nanoTime();
      if (start > deadlineNanos) {
        return Arrays.copyOf(times, i);
      }
      int id = first + i * step;
      try (Socket socket = new Socket()) {
        socket.setTcpNoDelay(true);
        socket.connect(addresses.get(id % addresses.size()), TIMEOUT_MILLIS);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        send(socket, "OPEN " + id + " key c=preview,t=kelvin-stone,d=4800");
        String answer = reader(socket).readLine();
        times[i] = answer != null && answer.startsWith("UP") ? System.nanoTime() - start : 0;
      }
    }
    return times;
  }

  private RoundResult runRoundThroughProxy(int clients) throws Exception {
    InetAddress loopback = InetAddress.getByName("127.0.0.2");
    InetSocketAddress address;
    try (ServerSocket free = new ServerSocket(0, 1, loopback)) {
      address = new InetSocketAddress(loopback, free.getLocalPort());
    }
    Path file = Files.createTempFile("churn", ".json");
    Files.writeString(file, config(address));
    Process proxy = startProxy(file);
    try {
      awaitPong(address, proxy);
      return runRound(List.of(address), clients);
    } finally {
      proxy.destroyForcibly().waitFor();
      Files.delete(file);
    }
  }

  /** Returns the example's configuration with the stub hosts known and an unreachable discovery. */
  private String config(InetSocketAddress address) throws IOException {
    JsonObject config =
        JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
    JsonArray entries = new JsonArray();
    JsonObject known = config.getAsJsonObject("known");
    for (int i = 0; i < HOSTS; i++) {
      JsonObject entry = known.getAsJsonArray("endpoints").get(0).getAsJsonObject().deepCopy();
      entry.addProperty("name", "s-" + i);
      entry.addProperty("address", format(hosts.get(i)));
      entries.add(entry);
    }
    known.add("endpoints", entries);
    config.addProperty("listen", format(address));
    config.addProperty("discovery", "127.0.0.1:9");
    return config.toString();
  }

  private static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static Process startProxy(Path file) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xmx64m",
            "-XX:MaxDirectMemorySize=16m",
            "-cp",
            System.getProperty("java.class.path"),
            "brassbank.Main",
            "serve");
    builder.environment().keySet().removeIf(name -> name.startsWith("LB_"));
    builder.environment().put("LB_CONFIG", file.toString());
    return builder
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start();
  }

  private static void awaitPong(InetSocketAddress address, Process proxy) throws Exception {
    while (!proxy.waitFor(20, TimeUnit.MILLISECONDS)) {
      try (Socket socket = new Socket()) {
        socket.connect(address, TIMEOUT_MILLIS);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        send(socket, "PING");
        if ("PONG".equals(reader(socket).readLine())) {
          return;
        }
      } catch (java.net.ConnectException e) {
        // The proxy does not listen yet; the loop ends when its process exits.
      }
    }
    throw new IOException("the proxy exited before it answered PING");
  }
}
