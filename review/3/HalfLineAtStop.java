import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart of one proxy with four stream hosts and 24 standing clients. Lines come in
 * pieces. Two of the four hosts hang for a second, each in the middle of a line, and then go on.
 * Every client has to be moved with MOVE.
 */
public final class HalfLineAtStop {
  private static final int HOSTS = 4;
  private static final int HANGING = 2;
  private static final int CLIENTS = 24;
  private static final long HANG_MILLIS = 1_000;
  private static final long PIECE_GAP_MILLIS = 30;
  private static final long LINE_INTERVAL_MILLIS = 2_000;

  /** The longest deadline, 3 s where it is longer, and 0.7 s. */
  private static final long KILL_MILLIS = 3_700;

  /** How long before a line of the clients that the hosts hang on the proxy is told to end. */
  private static final long TERM_BEFORE_LINE_MILLIS = 2_350;

  private static volatile long termAt = Long.MAX_VALUE;
  private static volatile boolean over;
  private static final AtomicInteger served = new AtomicInteger();
  private static final AtomicInteger moved = new AtomicInteger();
  private static final AtomicInteger broken = new AtomicInteger();

  /** Until when each host hangs. */
  private static final Map<String, Long> hangsUntil = new ConcurrentHashMap<>();

  /** The longest-standing connection of each host that is to hang. */
  private static final Map<String, String> oldest = new ConcurrentHashMap<>();

  private static final class Pieces implements Rig.Behaviour {
    @Override
    public void open(Rig.HostConnection connection, String line) throws IOException {
      oldest.putIfAbsent(connection.host.name, connection.flow);
      connection.host.up(connection);
    }

    @Override
    public void line(Rig.HostConnection connection, String line) throws IOException {
      Rig.Host host = connection.host;
      awaitEndOfHang(host);
      String text = "r " + line + "\r\n";
      int cut = 1 + text.length() / 2;
      connection.write(text.substring(0, cut));
      boolean hangs =
          Rig.TROUBLE
              && host.name.compareTo("s-" + HANGING) <= 0
              && connection.flow.equals(oldest.get(host.name))
              && Rig.millis() - 1_000 > termAt
              && !hangsUntil.containsKey(host.name);
      if (hangs) {
        hangsUntil.put(host.name, Rig.millis() + HANG_MILLIS);
        host.record.add(
            "%s has written '%s' to %s and hangs for %d ms",
            host.name, text.substring(0, cut), connection.flow, HANG_MILLIS);
      }
      Rig.pause(PIECE_GAP_MILLIS);
      awaitEndOfHang(host);
      if (hangs) {
        host.record.add("%s goes on and writes the rest", host.name);
      }
      connection.write(text.substring(cut));
    }

    private static void awaitEndOfHang(Rig.Host host) {
      Rig.pause(hangsUntil.getOrDefault(host.name, 0L) - Rig.millis());
    }
  }

  /**
   * A client that sends a line every 2 s.
   *
   * @param phase when its lines are due, in milliseconds from an even second
   */
  private static void client(int number, long phase, Rig.Proxy proxy, Rig.Record record) {
    String id = Rig.newId();
    String last = "";
    String end = "the end of the stream";
    try (Socket socket = new Socket("127.0.0.1", proxy.port)) {
      socket.setTcpNoDelay(true);
      String line =
          "OPEN " + id + " u" + number + " c=preview,t=kelvin-stone,d=3000,g=g" + number % 6;
      record.add("client %d sends %s", number, line);
      socket.getOutputStream().write(Rig.bytes(line + "\r\n"));
      Rig.Lines lines = new Rig.Lines(socket.getInputStream());
      String answer = lines.next();
      record.add("client %d gets the answer %s", number, answer);
      if (answer == null || !answer.startsWith("UP ")) {
        return;
      }
      served.incrementAndGet();
      Thread sender =
          Rig.thread(
              "sender",
              () -> {
                try {
                  for (int i = 0; !over; i++) {
                    long now = Rig.millis();
                    Rig.pause(
                        Math.floorMod(phase - now - 1, LINE_INTERVAL_MILLIS) + 1);
                    socket.getOutputStream().write(Rig.bytes("message " + i + "\r\n"));
                    record.add("client %d sends message %d", number, i);
                  }
                } catch (IOException | IllegalStateException e) {
                  // The connection has ended; the reader says how.
                }
              });
      try {
        for (String next = lines.next(); next != null; next = lines.next()) {
          record.add("client %d gets %s", number, next);
          last = next;
        }
      } catch (IOException e) {
        end = e.getMessage();
      }
      sender.interrupt();
      record.add("client %d: %s, after '%s' and '%s'", number, end, last, lines.rest());
      if (last.equals("MOVE") && lines.rest().isEmpty()) {
        moved.incrementAndGet();
      } else {
        broken.incrementAndGet();
        record.add("BROKEN: client %d (%s) was cut off without MOVE", number, id);
      }
    } catch (IOException e) {
      record.add("client %d: %s", number, e);
    }
  }

  private static int run(Path root, Rig.Record record) throws Exception {
    List<Rig.Host> hosts = new ArrayList<>();
    for (int i = 1; i <= HOSTS; i++) {
      Rig.Host host = new Rig.Host("s-" + i, "leith", record, new Pieces());
      host.weight = 4;
      hosts.add(host);
    }
    Rig.Discovery discovery = new Rig.Discovery(hosts, record);
    Rig.Proxy proxy = new Rig.Proxy(root, "n0", record, discovery, hosts);
    try {
      proxy.start();
      if (!proxy.awaitReady(30_000)) {
        return 2;
      }
      Rig.pause(4_000);
      Random random = new Random();
      List<Thread> clients = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        // Each host's first client is among the first ones; these send their lines together.
        long phase = i < 2 * HOSTS ? 0 : 400 + random.nextInt(1_200);
        clients.add(Rig.thread("client " + i, () -> client(number, phase, proxy, record)));
        Rig.pause(60);
      }
      Rig.pause(3_000);
      if (served.get() < CLIENTS) {
        return 2;
      }
      Rig.pause(
          Math.floorMod(-TERM_BEFORE_LINE_MILLIS - Rig.millis(), LINE_INTERVAL_MILLIS));
      termAt = Rig.millis();
      proxy.signal("TERM");
      boolean ended = proxy.process.waitFor(termAt + KILL_MILLIS - Rig.millis(), TimeUnit.MILLISECONDS);
      record.add("%d ms after SIGTERM the proxy %s", Rig.millis() - termAt, ended ? "has ended" : "still runs, and is killed");
      proxy.process.destroyForcibly();
      for (Thread client : clients) {
        client.join(2_000);
      }
      over = true;
      String result =
          String.format("served %d, moved %d, broken %d", served.get(), moved.get(), broken.get());
      record.add("%s", result);
      System.out.println(result);
      if (Rig.TROUBLE && hangsUntil.size() < HANGING) {
        return 2;
      }
      return broken.get() > 0 || !ended ? 1 : 0;
    } finally {
      over = true;
      proxy.end();
    }
  }

  public static void main(String[] arguments) throws IOException {
    Rig.main(arguments, HalfLineAtStop::run);
  }
}
