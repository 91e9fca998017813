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
 * Runs any number of balancers behind the line protocol. All run on one thread and share nothing
 * but the output buffer; each batch of events is answered by one batch of actions.
 */
public final class WireHost {
  /** Creates a balancer. Tests use it to run other implementations. */
  interface Factory {
    Balancer create(long now, Balancer.Settings settings, long seed, Balancer.Actions actions);
  }

  private final Factory factory;
  private final Map<Integer, HostedBalancer> balancers = new HashMap<>();
  private final WireLine line = new WireLine();
  private final WireLine entryLine = new WireLine();
  private final StringBuilder reply = new StringBuilder(1 << 16);
  private BufferedReader input;
  private long lineNumber;
  private long now;

  WireHost(Factory factory) {
    this.factory = factory;
  }

  /** Runs until the end of standard input. The only accepted argument is {@code wirehost}. */
  public static void main(String[] args) throws IOException {
    if (args.length != 1 || !args[0].equals("wirehost")) {
      System.err.println("usage: java -jar ashspar.jar wirehost");
      System.exit(2);
    }
    BufferedReader in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
    System.exit(new WireHost(Policy::new).run(in, System.out, System.err));
  }

  /**
   * Answers batches until the input ends.
   *
   * @return the exit status
   */
  int run(BufferedReader input, OutputStream out, PrintStream err) throws IOException {
    this.input = input;
    try {
      for (String text = readLine(); text != null; text = readLine()) {
        handleBatch(text);
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
      return 0;
    } catch (WireException | IllegalArgumentException e) {
      err.println("wirehost: line " + lineNumber + ": " + e.getMessage());
      return 1;
    }
  }

  private String readLine() throws IOException {
    String text = input.readLine();
    if (text != null) {
      lineNumber++;
    }
    return text;
  }

  private void handleBatch(String head) throws IOException {
    reply.setLength(0);
    line.read(head);
    if (!line.word().equals("BATCH")) {
      throw new WireException("expected 'BATCH', found '" + line.word() + "'");
    }
    now = line.integer("wall");
    long serial = line.integer("serial");
    while (true) {
      String text = readLine();
      if (text == null) {
        throw new WireException("the input ended within a batch: 'FLUSH' is missing");
      }
      if (text.equals("FLUSH")) {
        break;
      }
      line.read(text);
      handleEvent();
    }
    reply.append("READY serial=").append(serial).append('\n');
  }

  private void handleEvent() throws IOException {
    int node = (int) line.integer("node");
    switch (line.word()) {
      case "ATTACH" -> attach(node);
      case "DOWN" -> balancers.remove(node);
      case "BACKENDS_CHANGED" -> {
        Balancer.ListKind kind = listKind(line.integer("form"));
        List<Balancer.ServerEntry> entries = readEntries();
        deliver(node, b -> b.updateServers(now, kind, entries));
      }
      case "JOB_IN" -> {
        Balancer.Request request = readRequest();
        deliver(node, b -> b.requestReceived(now, request));
      }
      case "RESUMED" -> {
        Balancer.Request request = readRequest();
        String server = line.text("host");
        deliver(node, b -> b.connectionResumed(now, request, server));
      }
      case "ACCEPTED" -> {
        long id = line.integer("msg-id");
        int attempt = (int) line.integer("round-no");
        String server = line.text("host");
        long took = line.integer("took", 0);
        deliver(node, b -> b.connectionAccepted(now, id, attempt, server, took));
      }
      case "HEARTBEAT" -> {
        long id = line.integer("msg-id");
        int attempt = (int) line.integer("round-no", 0);
        String server = line.text("host");
        long sort = line.integer("sort");
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
                line.integer("msg-id"),
                (int) line.integer("round-no"),
                line.text("host"),
                status(line.integer("ending")),
                line.integer("took", 0),
                line.integer("settled", 0) != 0,
                line.numbers("metrics"));
        deliver(node, b -> b.attemptEnded(now, outcome));
      }
      case "LAPSED" -> {
        long id = line.integer("msg-id");
        deliver(node, b -> b.requestWithdrawn(now, id));
      }
      case "DUE" -> {
        long nonce = line.integer("nonce");
        deliver(node, b -> b.timerExpired(now, nonce));
      }
      case "CHECK_RESULT" -> {
        String server = line.text("host");
        Balancer.Status status = status(line.integer("ending"));
        long took = line.integer("took", 0);
        List<Double> report = line.numbers("metrics");
        deliver(node, b -> b.probeCompleted(now, server, status, took, report));
      }
      case "MEMO" -> {
        int sender = (int) line.integer("sender");
        byte[] message = bytes(line.text("msg"));
        deliver(node, b -> b.peerMessageReceived(now, sender, message));
      }
      default -> throw new WireException("unknown event '" + line.word() + "'");
    }
  }

  private void attach(int node) {
    Map<String, String> env = line.fields();
    Balancer.Settings settings = SettingsReader.read(env);
    long salt = line.integer("salt");
    HostedBalancer host = new HostedBalancer(node);
    balancers.put(node, host);
    runGuarded(node, () -> host.balancer = factory.create(now, settings, salt, host));
  }

  private void deliver(int node, java.util.function.Consumer<Balancer> event) {
    HostedBalancer host = balancers.get(node);
    if (host == null) {
      throw new WireException("field 'node': " + node + " has not been attached");
    }
    if (host.balancer != null) {
      runGuarded(node, () -> event.accept(host.balancer));
    }
  }

  /**
   * Runs a call into the module. If it throws, the balancer is removed and the error is reported to
   * the peer; the other balancers are not affected.
   */
  private void runGuarded(int node, Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      balancers.get(node).balancer = null;
      String text = (e + " at " + (e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "?"));
      reply.append("INTERNAL_ERROR node=").append(node).append(" reason-text=");
      reply.append(text.replace('\n', ' ').replace('\r', ' ')).append('\n');
    }
  }

  private Balancer.Request readRequest() {
    long flags = line.integer("flags", 0);
    String tenant = line.optional("project");
    return new Balancer.Request(
        line.integer("msg-id"),
        line.optional("entity"),
        line.optional("team-id"),
        line.text("lane"),
        tenant == null || tenant.equals("0") ? null : tenant,
        line.integer("left"),
        (flags & 1) != 0 ? line.number("size-hint", 0) : 0,
        (flags & 2) != 0,
        (flags & 8) != 0,
        (flags & 16) != 0);
  }

  private List<Balancer.ServerEntry> readEntries() throws IOException {
    int count = (int) line.integer("elements", 0);
    if (count < 0) {
      throw new WireException("field 'elements' is negative: " + count);
    }
    List<Balancer.ServerEntry> entries = new ArrayList<>(Math.min(count, 4096));
    for (int i = 0; i < count; i++) {
      String text = readLine();
      if (text == null) {
        throw new WireException("the input ended within a list of servers");
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
              (int) entryLine.integer("group", 0),
              state(entryLine.integer("lifecycle")),
              entryLine.number("size", 1),
              entryLine.integer("since", 0)));
    }
    return entries;
  }

  private static Balancer.ListKind listKind(long code) {
    return switch ((int) code) {
      case 0 -> Balancer.ListKind.DELTA;
      case 1 -> Balancer.ListKind.FULL;
      case 2 -> Balancer.ListKind.CACHED;
      case 3 -> Balancer.ListKind.FAILED;
      default -> throw new WireException("field 'form' is not a known kind of list: " + code);
    };
  }

  private static Balancer.State state(long code) {
    return switch ((int) code) {
      case 0 -> Balancer.State.GONE;
      case 1 -> Balancer.State.READY;
      case 2 -> Balancer.State.DRAINING;
      default -> throw new WireException("field 'lifecycle' is not a known state: " + code);
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
      default -> throw new WireException("field 'ending' is not a known outcome: " + code);
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

  /** A balancer and the writer of its actions. */
  private final class HostedBalancer implements Balancer.Actions {
    private final int node;
    private Balancer balancer;

    HostedBalancer(int node) {
      this.node = node;
    }

    private StringBuilder startAction(String word) {
      return reply.append(word).append(" node=").append(node);
    }

    @Override
    public void send(long id, String server, long abandonAt) {
      startAction("DELIVER").append(" msg-id=").append(id).append(" host=").append(server);
      if (abandonAt > 0) {
        reply.append(" abandon-at=").append(abandonAt);
      }
      reply.append('\n');
    }

    @Override
    public void refuse(long id, long retryAfter) {
      startAction("PUSH_BACK").append(" msg-id=").append(id);
      if (retryAfter > 0) {
        reply.append(" retry-in=").append(retryAfter);
      }
      reply.append('\n');
    }

    @Override
    public void fail(long id) {
      startAction("FAIL").append(" msg-id=").append(id).append('\n');
    }

    @Override
    public void cancel(long id, int attempt) {
      startAction("CANCEL").append(" msg-id=").append(id).append(" round-no=").append(attempt);
      reply.append('\n');
    }

    @Override
    public void move(long id) {
      startAction("REDIRECT").append(" msg-id=").append(id).append('\n');
    }

    @Override
    public void startTimer(long delay, long token) {
      startAction("DEFER").append(" after=").append(delay).append(" nonce=").append(token);
      reply.append('\n');
    }

    @Override
    public void probe(String server) {
      startAction("ASK_LOAD").append(" host=").append(server).append('\n');
    }

    @Override
    public void watchDiscovery(boolean on) {
      startAction("OBSERVE").append(" want=").append(on ? 1 : 0).append('\n');
    }

    @Override
    public void fetchServers() {
      startAction("PULL").append('\n');
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
      startAction("WRITE_PEER")
          .append(" recipient=")
          .append(peer < 0 ? "all" : String.valueOf(peer));
      reply.append(" msg=").append(message.length == 0 ? "-" : HexFormat.of().formatHex(message));
      reply.append('\n');
    }

    @Override
    public void log(String text) {
      startAction("TRACE").append(" reason-text=").append(text.replace('\n', ' ')).append('\n');
    }
  }
}
