package brassbank.gateway.link;

import brassbank.gateway.link.mux.LinkLimits;
import brassbank.gateway.link.mux.Session;
import brassbank.gateway.link.tls.Authority;
import brassbank.gateway.link.tls.Keys;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * What a pair of gateways costs on loopback, in one process with a loop's thread for each: the
 * round trip of a line, lines of many sessions, bulk data, and many idle sessions, with and without
 * TLS. Processor time is that of the two threads. Arguments: seconds for each measure (5).
 *
 * <p>{@code mvn -q -Pbench -Dbench.main=brassbank.gateway.link.LinkBench}; with {@code
 * JAVA_TOOL_OPTIONS="-XX:TieredStopAtLevel=1 -Dcipher=CHACHA20"} under the compiler of
 * deploy/serve.sh and with the cipher that suits it.
 */
public final class LinkBench {
  private static final String DALKEITH = "brassbank://dalkeith/gw-1";
  private static final String LEITH = "brassbank://leith/gw-1";
  private static final int LINE = 42;
  private static final int MANY = 10_000;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private final Gateway near;
  private final Gateway far;
  private final long nanos;
  private long flow;

  private LinkBench(Gateway near, Gateway far, long nanos) {
    this.near = near;
    this.far = far;
    this.nanos = nanos;
  }

  public static void main(String[] args) throws Exception {
    long nanos = (args.length > 0 ? Long.parseLong(args[0]) : 5) * 1_000_000_000L;
    direct(nanos);
    Path directory = Files.createTempDirectory("link-bench");
    Authority authority = new Authority("bench");
    for (boolean tls : new boolean[] {false, true, false, true}) {
      System.out.println(tls ? "with TLS" : "without TLS");
      Keys nearKeys = tls ? authority.keys(directory, DALKEITH, authority) : null;
      Keys farKeys = tls ? authority.keys(directory, LEITH, authority) : null;
      LinkLimits limits = LinkLimits.DEFAULTS;
      try (Gateway far = new Gateway(LEITH, limits, farKeys, Gateway.peer(DALKEITH, 0, 1));
          Gateway near =
              new Gateway(DALKEITH, limits, nearKeys, Gateway.peer(LEITH, far.port, 4))) {
        LinkBench bench = new LinkBench(near, far, nanos);
        bench.roundTrip();
        bench.setUp();
        bench.lines(16);
        bench.lines(500);
        bench.bulk();
        bench.many();
      }
    }
    System.exit(0);
  }

  /** Processor time of both loops' threads. */
  private long cpu() {
    long sum = 0;
    for (Gateway gateway : List.of(near, far)) {
      long thread = gateway.on(() -> Thread.currentThread().getId());
      sum += THREADS.getThreadCpuTime(thread);
    }
    return sum;
  }

  private static String spread(long[] times, int count) {
    Arrays.sort(times, 0, count);
    return String.format(
        "p50 %.1f us, p99 %.1f us", times[count / 2] / 1e3, times[count * 99 / 100] / 1e3);
  }

  /** A line to an echo by a blocking socket, with no gateway between. */
  private static void direct(long nanos) throws IOException {
    try (ServerSocket listening = new ServerSocket(0);
        Socket socket = new Socket("127.0.0.1", listening.getLocalPort());
        Socket echo = listening.accept()) {
      socket.setTcpNoDelay(true);
      echo.setTcpNoDelay(true);
      Thread thread =
          new Thread(
              () -> {
                try {
                  InputStream in = echo.getInputStream();
                  byte[] bytes = new byte[LINE];
                  while (in.readNBytes(bytes, 0, LINE) == LINE) {
                    echo.getOutputStream().write(bytes);
                  }
                } catch (IOException e) {
                  // The end of the measure.
                }
              });
      thread.setDaemon(true);
      thread.start();
      InputStream in = socket.getInputStream();
      OutputStream out = socket.getOutputStream();
      byte[] line = new byte[LINE];
      long[] times = new long[1 << 20];
      int count = 0;
      long end = System.nanoTime() + nanos;
      while (System.nanoTime() < end && count < times.length) {
        long from = System.nanoTime();
        out.write(line);
        in.readNBytes(line, 0, LINE);
        times[count++] = System.nanoTime() - from;
      }
      System.out.println("direct, blocking sockets: line and answer " + spread(times, count));
    }
  }

  private void roundTrip() throws InterruptedException {
    Gateway.Caller caller = near.standing(far, flow++);
    long[] times = new long[1 << 20];
    int[] count = {0};
    long[] from = {0};
    long end = System.nanoTime() + nanos;
    caller.whenCame =
        () -> {
          long now = System.nanoTime();
          if (count[0] < times.length && now < end) {
            times[count[0]++] = now - from[0];
            from[0] = now;
            caller.send(LINE);
          }
        };
    near.run(
        () -> {
          from[0] = System.nanoTime();
          caller.send(LINE);
        });
    Thread.sleep(nanos / 1_000_000 + 50);
    System.out.println("  one session: line and answer " + spread(times, count[0]));
    near.run(caller.session::finish);
  }

  private void setUp() {
    long[] times = new long[2_000];
    for (int i = 0; i < times.length; i++) {
      long from = System.nanoTime();
      Gateway.Caller caller = near.call(far, flow++, 2_000_000);
      while (!caller.up) {
        Thread.onSpinWait();
      }
      times[i] = System.nanoTime() - from;
      near.run(caller.session::finish);
    }
    System.out.println(
        "  set-up until up, with the hand-over between threads " + spread(times, times.length));
  }

  private void lines(int sessions) throws InterruptedException {
    List<Gateway.Caller> callers = new ArrayList<>();
    boolean[] over = {false};
    for (int i = 0; i < sessions; i++) {
      Gateway.Caller caller = near.standing(far, flow++);
      caller.whenCame =
          () -> {
            if (!over[0]) {
              caller.send(LINE);
            }
          };
      callers.add(caller);
    }
    near.run(() -> callers.forEach(caller -> caller.send(LINE)));
    Thread.sleep(1_000);
    long cpu = cpu();
    long came = came(callers);
    long from = System.nanoTime();
    Thread.sleep(nanos / 1_000_000);
    double lines = (came(callers) - came) / (double) LINE;
    double micros = (System.nanoTime() - from) / 1e3;
    System.out.printf(
        "  %d sessions: %.0f lines with answers a second, %.2f us of both gateways for one%n",
        sessions, lines / micros * 1e6, (cpu() - cpu) / 1e3 / lines);
    over[0] = true;
    near.run(() -> callers.forEach(caller -> caller.session.finish()));
  }

  private static long came(List<Gateway.Caller> callers) {
    return callers.stream().mapToLong(caller -> caller.came).sum();
  }

  private void bulk() throws InterruptedException {
    far.echoing = false;
    long[] put = {0};
    boolean[] over = {false};
    byte[] chunk = new byte[16 * 1024];
    Session[] session = {null};
    Gateway.Caller caller =
        new Gateway.Caller() {
          @Override
          public void took(Session from, int bytes) {
            while (!over[0] && from.room() >= chunk.length) {
              from.send(ByteBuffer.wrap(chunk));
              put[0] += chunk.length;
            }
          }
        };
    session[0] = near.call(far, flow++, 2_000_000, caller).session;
    Gateway.until("up", () -> caller.up);
    near.run(() -> caller.took(session[0], 0));
    Thread.sleep(1_000);
    long cpu = cpu();
    long from = System.nanoTime();
    long before = near.on(() -> put[0]);
    Thread.sleep(nanos / 1_000_000);
    double bytes = near.on(() -> put[0]) - before;
    double seconds = (System.nanoTime() - from) / 1e9;
    System.out.printf(
        "  one session, 16 KiB a write: %.0f MB/s, %.2f ns of both gateways for a byte%n",
        bytes / seconds / 1e6, (cpu() - cpu) / bytes);
    over[0] = true;
    near.run(session[0]::finish);
    far.echoing = true;
  }

  private static long heap() throws InterruptedException {
    long least = Long.MAX_VALUE;
    for (int i = 0; i < 4; i++) {
      System.gc();
      Thread.sleep(50);
      least = Math.min(least, ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
    }
    return least;
  }

  private void many() throws InterruptedException {
    far.run(far.echoes::clear);
    long before = heap();
    long from = System.nanoTime();
    List<Gateway.Caller> callers = new ArrayList<>(MANY);
    for (int i = 0; i < MANY / 100; i++) {
      for (int j = 0; j < 100; j++) {
        callers.add(near.call(far, flow++, 2_000_000));
      }
    }
    Gateway.until("all are up", () -> callers.stream().allMatch(caller -> caller.up));
    double opened = (System.nanoTime() - from) / 1e9;
    long idle = heap();
    from = System.nanoTime();
    near.run(() -> callers.forEach(caller -> caller.send(LINE)));
    Gateway.until("all are answered", () -> came(callers) == (long) MANY * LINE);
    double answered = (System.nanoTime() - from) / 1e6;
    System.out.printf(
        "  %d sessions on %d links: open in %.2f s, a line and its answer of all in %.0f ms;%n"
            + "    idle, heap of both gateways and what drives them %.0f bytes a session%n",
        MANY, near.on(near.links::all).size(), opened, answered, (idle - before) / (double) MANY);
    near.run(() -> callers.forEach(caller -> caller.session.finish()));
    Gateway.until(
        "all are over",
        () -> near.on(() -> near.links.all().stream().mapToInt(GatewayLink::sessions).sum()) == 0);
  }
}
