import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Nine stream hosts, one proxy and eighty clients. What all hosts depend on makes each of them
 * three times slower for 14 s, twice. A host writes each answer, and the LOAD line that follows it
 * when the load has changed, in two pieces cut at any byte. Clients are moved meanwhile; each of
 * them has to get MOVE, between two lines.
 */
public final class MoveInMidLine {
  private static final int HOSTS = 9;
  private static final int CLIENTS = 80;
  private static final long MESSAGE_MILLIS = 55;
  private static final int SLOWDOWN = 3;
  private static final long SLOW_MILLIS = 14_000;
  private static final long LINE_INTERVAL_MILLIS = 2_000;
  private static final long LOAD_INTERVAL_MILLIS = 5_000;
  private static final long PIECE_GAP_MILLIS = 30;

  private static volatile boolean slow;
  private static volatile boolean over;

  /** The lines that hosts have sent, by flow. */
  private static final Set<String> sentLines = ConcurrentHashMap.newKeySet();

  private static final AtomicInteger moved = new AtomicInteger();
  private static final AtomicInteger served = new AtomicInteger();
  private static final AtomicInteger broken = new AtomicInteger();

  private static final class Slowing implements Rig.Behaviour {
    private final Random random = new Random();

    @Override
    public void line(Rig.HostConnection connection, String line) throws IOException {
      Rig.pause(slow ? MESSAGE_MILLIS * SLOWDOWN : MESSAGE_MILLIS);
      String text = send(connection, "r " + line);
      if (Rig.millis() - connection.loadSentAt >= LOAD_INTERVAL_MILLIS) {
        connection.loadSentAt = Rig.millis();
        int load;
        synchronized (random) {
          load = 6_000 + random.nextInt(12_000);
        }
        text += send(connection, "LOAD " + load);
      }
      int cut;
      synchronized (random) {
        cut = 1 + random.nextInt(text.length() - 1);
      }
      connection.write(text.substring(0, cut));
      Rig.pause(PIECE_GAP_MILLIS);
      connection.write(text.substring(cut));
    }

    private static String send(Rig.HostConnection connection, String line) {
      sentLines.add(connection.flow + " " + line);
      connection.host.record.add("%s sends %s: %s", connection.host.name, connection.flow, line);
      return line + "\r\n";
    }

    @Override
    public String report(Rig.Host host) {
      return (slow ? "x0=0.84" : "x0=0.28") + ",x1=0,throughput=1,errors_per_s=0";
    }
  }

  private static void client(int number, Rig.Proxy proxy, Rig.Record record) {
    Random random = new Random();
    boolean again = false;
    Rig.pause(number * 60L);
    while (!over) {
      String id = Rig.newId();
      try (Socket socket = new Socket("127.0.0.1", proxy.port)) {
        socket.setTcpNoDelay(true);
        String line =
            "OPEN " + id + " u" + number + (number % 3 == 0 ? " c=presentation" : " c=preview")
                + ",t=kelvin-stone,d=3000,g=" + (again ? id + ",again=1" : id);
        record.add("client %d sends %s", number, line);
        socket.getOutputStream().write(Rig.bytes(line + "\r\n"));
        Rig.Lines lines = new Rig.Lines(socket.getInputStream());
        String answer = lines.next();
        record.add("client %d gets the answer %s", number, answer);
        if (answer != null && answer.startsWith("UP ")) {
          served.incrementAndGet();
          session(number, id, socket, lines, record);
        }
      } catch (IOException e) {
        record.add("client %d: %s", number, e);
      }
      again = true;
      Rig.pause(51 + random.nextInt(1949));
    }
  }

  /** Sends a line every 2 s and checks each line that comes, until the connection ends. */
  private static void session(
      int number, String id, Socket socket, Rig.Lines lines, Rig.Record record) {
    Thread sender =
        Rig.thread(
            "sender",
            () -> {
              try {
                for (int i = 0; !over; i++) {
                  socket.getOutputStream().write(Rig.bytes("m " + i + "\r\n"));
                  Rig.pause(LINE_INTERVAL_MILLIS);
                }
              } catch (IOException | IllegalStateException e) {
                // The connection has ended; the reader says how.
              }
            });
    String last = "";
    String wrong = null;
    String end = "the end of the stream";
    try {
      for (String line = lines.next(); line != null; line = lines.next()) {
        record.add("client %d gets %s", number, line);
        last = line;
        if (!line.equals("MOVE") && !sentLines.contains(id + " " + line)) {
          wrong = line;
        }
      }
    } catch (IOException e) {
      end = e.getMessage();
    }
    sender.interrupt();
    if (over) {
      return;
    }
    record.add("client %d: %s, after '%s' and '%s'", number, end, last, lines.rest());
    if (last.equals("MOVE") && lines.rest().isEmpty() && wrong == null) {
      moved.incrementAndGet();
    } else {
      broken.incrementAndGet();
      record.add(
          "BROKEN: client %d (%s) was cut off without MOVE; its last line was '%s', the line that"
              + " no stream host has sent: '%s'",
          number, id, last, wrong);
    }
  }

  private static int run(Path root, Rig.Record record) throws Exception {
    List<Rig.Host> hosts = new ArrayList<>();
    for (int i = 1; i <= HOSTS; i++) {
      hosts.add(new Rig.Host("s-" + i, "leith", record, new Slowing()));
    }
    Rig.Discovery discovery = new Rig.Discovery(hosts, record);
    Rig.Proxy proxy = new Rig.Proxy(root, "n0", record, discovery, hosts);
    try {
      proxy.start();
      if (!proxy.awaitReady(30_000)) {
        return 2;
      }
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        Rig.thread("client " + i, () -> client(number, proxy, record));
      }
      Rig.pause(20_000);
      for (int i = 0; i < 2; i++) {
        record.add("all hosts %s", Rig.TROUBLE ? "become " + SLOWDOWN + " times slower" : "go on");
        slow = Rig.TROUBLE;
        Rig.pause(SLOW_MILLIS);
        record.add("all hosts are as before");
        slow = false;
        Rig.pause(10_000);
      }
      boolean alive = proxy.process.isAlive();
      over = true;
      record.add(
          "served %d, moved %d, broken %d, the proxy %s",
          served.get(), moved.get(), broken.get(), alive ? "runs" : "has ended");
      System.out.printf("served %d, moved %d, broken %d%n", served.get(), moved.get(), broken.get());
      if (served.get() < CLIENTS) {
        return 2;
      }
      return broken.get() > 0 || !alive ? 1 : 0;
    } finally {
      over = true;
      proxy.end();
    }
  }

  public static void main(String[] arguments) throws IOException {
    Rig.main(arguments, MoveInMidLine::run);
  }
}
