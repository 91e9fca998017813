package ashspar.wire;

import ashspar.Balancer;
import ashspar.Policy;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * Hosts any number of balancers on the wire: one thread, a reply per batch, nothing shared between
 * balancers but the output buffer.
 */
public final class WireHost {
  /** Makes one balancer; lets the tests put another module behind the wire. */
  interface Factory {
    Balancer create(long now, Balancer.Settings settings, long seed, Balancer.Actions actions);
  }

  private final Factory factory;
  private final Map<Integer, Host> hosts = new HashMap<>();
  private final WireLine line = new WireLine();
  private final WireLine entryLine = new WireLine();
  private final StringBuilder reply = new StringBuilder(1 << 16);
  private BufferedReader in;
  private long lineNumber;
  private long now;

  WireHost(Factory factory) {
    this.factory = factory;
  }

  /** Runs until the end of standard input; the only command is {@code wirehost}. */
  public static void main(String[] args) throws IOException {
    if (args.length != 1 || !args[0].equals("wirehost")) {
      System.err.println("usage: java -jar ashspar.jar wirehost");
      System.exit(2);
    }
    BufferedReader in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
    System.exit(new WireHost(Policy::new).run(in, System.out, System.err));
  }

  /** Answers batches until the input ends; returns the exit status. */
  int run(BufferedReader input, OutputStream out, PrintStream err) throws IOException {
    in = input;
    try {
      for (String text = next(); text != null; text = next()) {
        batch(text);
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
      return 0;
    } catch (WireException | IllegalArgumentException e) {
      err.println("wirehost: line " + lineNumber + ": " + e.getMessage());
      return 1;
    }
  }

  private String next() throws IOException {
    String text = in.readLine();
    if (text != null) {
      lineNumber++;
    }
    return text;
  }

  private void batch(String head) throws IOException {
    reply.setLength(0);
    line.read(head);
    if (!line.word().equals("BATCH")) {
      throw new WireException("expected 'BATCH', found '" + line.word() + "'");
    }
    now = line.whole("wall");
    long serial = line.whole("serial");
    while (true) {
      String text = next();
      if (text == null) {
        throw new WireException("the input ends within a batch: 'FLUSH' is missing");
      }
      if (text.equals("FLUSH")) {
        break;
      }
      line.read(text);
      event();
    }
    reply.append("READY serial=").append(serial).append('\n');
  }

  private void event() throws IOException {
    int node = (int) line.whole("node");
    switch (line.word()) {
      case "ATTACH" -> attach(node);
      case "DOWN" -> hosts.remove(node);
      case "BACKENDS_CHANGED" -> {
        Balancer.ListKind kind = listKind(line.whole("form"));
        List<Balancer.ServerEntry> entries = entries();
        deliver(node, b -> b.updateServers(now, kind, entries));
      }
      case "JOB_IN" -> {
        Balancer.Request request = request();
        deliver(node, b -> b.requestReceived(now, request));
      }
      case "RESUMED" -> {
        Balancer.Request request = request();
        String server = line.text("host");
        deliver(node, b -> b.connectionResumed(now, request, server));
      }
      case "ACCEPTED" -> {
        long id = line.whole("msg-id");
        int attempt = (int) line.whole("round-no");
        String server = line.text("host");
        long took = line.whole("took", 0);
        deliver(node, b -> b.connectionAccepted(now, id, attempt, server, took));
      }
      case "HEARTBEAT" -> {
        long id = line.whole("msg-id");
        int attempt = (int) line.whole("round-no", 0);
        String server = line.text("host");
        long sort = line.whole("sort");
        double level = line.number("level", 0);
        if (sort == 1 || sort == 2) {
          Balancer.MeasurementKind kind =
              sort == 1 ? Balancer.MeasurementKind.LOAD : Balancer.MeasurementKind.DELAY;
          deliver(node, b -> b.connectionMeasured(now, id, attempt, server, kind, level));
        }
      }
      case "RESULT" -> {
        Balancer.Outcome outcome =
            new Balancer.Outcome(
                line.whole("msg-id"),
                (int) line.whole("round-no"),
                line.text("host"),
                status(line.whole("ending")),
                line.whole("took", 0),
                line.whole("settled", 0) != 0,
                line.row("metrics"));
        deliver(node, b -> b.attemptEnded(now, outcome));
      }
      case "LAPSED" -> {
        long id = line.whole("msg-id");
        deliver(node, b -> b.requestWithdrawn(now, id));
      }
      case "DUE" -> {
        long nonce = line.whole("nonce");
        deliver(node, b -> b.timerExpired(now, nonce));
      }
      case "CHECK_RESULT" -> {
        String server = line.text("host");
        Balancer.Status status = status(line.whole("ending"));
        long took = line.whole("took", 0);
        List<Double> report = line.row("metrics");
        deliver(node, b -> b.probeCompleted(now, server, status, took, report));
      }
      case "MEMO" -> {
        int sender = (int) line.whole("sender");
        byte[] message = bytes(line.text("msg"));
        deliver(node, b -> b.peerMessageReceived(now, sender, message));
      }
      default -> throw new WireException("unknown event '" + line.word() + "'");
    }
  }

  private void attach(int node) {
    Map<String, String> env = line.all();
    Balancer.Settings settings = SettingsReader.read(env);
    long salt = line.whole("salt");
    Host host = new Host(node);
    hosts.put(node, host);
    guarded(node, () -> host.balancer = factory.create(now, settings, salt, host));
  }

  private void deliver(int node, java.util.function.Consumer<Balancer> event) {
    Host host = hosts.get(node);
    if (host == null) {
      throw new WireException("field 'node': " + node + " has not been attached");
    }
    if (host.balancer != null) {
      guarded(node, () -> event.accept(host.balancer));
    }
  }

  /** An exception in the module ends that balancer and is told on the wire; it never spreads. */
  private void guarded(int node, Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      hosts.get(node).balancer = null;
      String text = (e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
      reply.append("INTERNAL_ERROR node=").append(node).append(" reason-text=");
      reply.append(text.replace('\n', ' ').replace('\r', ' ')).append('\n');
    }
  }

  private Balancer.Request request() {
    long flags = line.whole("flags", 0);
    String tenant = line.optional("project");
    return new Balancer.Request(
        line.whole("msg-id"),
        line.optional("entity"),
        line.optional("team-id"),
        line.text("lane"),
        tenant == null || tenant.equals("0") ? null : tenant,
        line.whole("left"),
        (flags & 1) != 0 ? line.number("size-hint", 0) : 0,
        (flags & 2) != 0,
        (flags & 8) != 0,
        (flags & 16) != 0);
  }

  private List<Balancer.ServerEntry> entries() throws IOException {
    int count = (int) line.whole("elements", 0);
    if (count < 0) {
      throw new WireException("field 'elements' is negative: " + count);
    }
    List<Balancer.ServerEntry> entries = new ArrayList<>(Math.min(count, 4096));
    for (int i = 0; i < count; i++) {
      String text = next();
      if (text == null) {
        throw new WireException("the input ends within a list of servers");
      }
      entryLine.read(text);
      if (!entryLine.word().equals("M")) {
        throw new WireException("expected a list entry 'M', found '" + entryLine.word() + "'");
      }
      entries.add(
          new Balancer.ServerEntry(
              entryLine.text("host"),
              entryLine.optional("zone"),
              entryLine.optional("family-type"),
              (int) entryLine.whole("group", 0),
              state(entryLine.whole("lifecycle")),
              entryLine.number("size", 1),
              entryLine.whole("since", 0)));
    }
    return entries;
  }

  private static Balancer.ListKind listKind(long code) {
    return switch ((int) code) {
      case 0 -> Balancer.ListKind.DELTA;
      case 1 -> Balancer.ListKind.FULL;
      case 2 -> Balancer.ListKind.CACHED;
      case 3 -> Balancer.ListKind.FAILED;
      default -> throw new WireException("field 'form' is no known kind of list: " + code);
    };
  }

  private static Balancer.State state(long code) {
    return switch ((int) code) {
      case 0 -> Balancer.State.GONE;
      case 1 -> Balancer.State.READY;
      case 2 -> Balancer.State.DRAINING;
      default -> throw new WireException("field 'lifecycle' is no known state: " + code);
    };
  }

  private static Balancer.Status status(long code) {
    return switch ((int) code) {
      case 0 -> Balancer.Status.ERROR;
      case 1 -> Balancer.Status.OK;
      case 2 -> Balancer.Status.FULL;
      case 3 -> Balancer.Status.TIMEOUT;
      case 4 -> Balancer.Status.CONNECT_FAILED;
      case 5 -> Balancer.Status.RESET;
      case 6 -> Balancer.Status.CANCELLED;
      case 7 -> Balancer.Status.MOOT;
      default -> throw new WireException("field 'ending' is no known outcome: " + code);
    };
  }

  private static byte[] bytes(String hex) {
    if (hex.equals("-")) {
      return new byte[0];
    }
    try {
      return HexFormat.of().parseHex(hex);
    } catch (IllegalArgumentException e) {
      throw new WireException("field 'msg' is not hex: '" + hex + "'");
    }
  }

  /** One balancer and the writer of its actions. */
  private final class Host implements Balancer.Actions {
    private final int node;
    private Balancer balancer;

    Host(int node) {
      this.node = node;
    }

    private StringBuilder action(String word) {
      return reply.append(word).append(" node=").append(node);
    }

    @Override
    public void send(long id, String server, long abandonAt) {
      action("DELIVER").append(" msg-id=").append(id).append(" host=").append(server);
      if (abandonAt > 0) {
        reply.append(" abandon-at=").append(abandonAt);
      }
      reply.append('\n');
    }

    @Override
    public void refuse(long id, long retryAfter) {
      action("PUSH_BACK").append(" msg-id=").append(id);
      if (retryAfter > 0) {
        reply.append(" retry-in=").append(retryAfter);
      }
      reply.append('\n');
    }

    @Override
    public void fail(long id) {
      action("FAIL").append(" msg-id=").append(id).append('\n');
    }

    @Override
    public void cancel(long id, int attempt) {
      action("CANCEL").append(" msg-id=").append(id).append(" round-no=").append(attempt);
      reply.append('\n');
    }

    @Override
    public void move(long id) {
      action("REDIRECT").append(" msg-id=").append(id).append('\n');
    }

    @Override
    public void startTimer(long delay, long token) {
      action("DEFER").append(" after=").append(delay).append(" nonce=").append(token);
      reply.append('\n');
    }

    @Override
    public void probe(String server) {
      action("ASK_LOAD").append(" host=").append(server).append('\n');
    }

    @Override
    public void watchDiscovery(boolean on) {
      action("OBSERVE").append(" want=").append(on ? 1 : 0).append('\n');
    }

    @Override
    public void fetchServers() {
      action("PULL").append('\n');
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
      action("WRITE_PEER").append(" recipient=").append(peer < 0 ? "all" : String.valueOf(peer));
      reply.append(" msg=").append(message.length == 0 ? "-" : HexFormat.of().formatHex(message));
      reply.append('\n');
    }

    @Override
    public void log(String text) {
      action("TRACE").append(" reason-text=").append(text.replace('\n', ' ')).append('\n');
    }
  }
}
