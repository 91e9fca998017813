package brassbank.gateway.link;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.gateway.link.frame.Answer;
import brassbank.gateway.link.frame.GatewayName;
import brassbank.gateway.link.frame.Leave;
import brassbank.gateway.link.frame.Room;
import brassbank.gateway.link.mux.Attempt;
import brassbank.gateway.link.mux.Ending;
import brassbank.gateway.link.mux.LinkLimits;
import brassbank.gateway.link.mux.Session;
import brassbank.gateway.link.tls.Guards;
import brassbank.gateway.link.tls.Keys;
import brassbank.gateway.link.tls.TlsGuards;
import brassbank.grizzly.GrizzlyNetwork;
import brassbank.log.Event;
import brassbank.log.Log;
import brassbank.net.Net;
import brassbank.sources.Randomness;
import brassbank.sources.SystemClock;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/**
 * A gateway on real sockets with a loop of its own. What others send over it answers with UP and
 * sends back what comes.
 */
public final class Gateway implements AutoCloseable, LinksOwner {
  private static final TlsGuards.Preference CIPHER =
      TlsGuards.Preference.valueOf(System.getProperty("cipher", "AES"));

  private static final AtomicInteger STARTS = new AtomicInteger();

  public final GatewayName name;
  public final int port;
  final List<String> told = new CopyOnWriteArrayList<>();
  final List<Event> events = new CopyOnWriteArrayList<>();
  final List<Echo> echoes = Collections.synchronizedList(new ArrayList<>());
  public final Links links;

  /** Whether what comes is sent back; it is thrown away otherwise. */
  volatile boolean echoing = true;

  private final GrizzlyNetwork network = new GrizzlyNetwork(new SystemClock());
  private final Net net = new Net(20_000, network);
  private final ExecutorService worker =
      Executors.newSingleThreadExecutor(
          task -> {
            Thread thread = new Thread(task, "tls");
            thread.setDaemon(true);
            return thread;
          });

  /** Sends back what comes; while it does not read, it keeps nothing and owes all. */
  final class Echo implements Session.Handler {
    final Session session;
    volatile Ending ending;
    volatile boolean reads = true;

    Echo(Session session) {
      this.session = session;
    }

    @Override
    public void came(Session from, ByteBuffer bytes) {
      int count = bytes.remaining();
      if (reads) {
        if (echoing) {
          from.send(bytes);
        }
        from.taken(count);
      }
    }

    @Override
    public void took(Session from, int bytes) {}

    @Override
    public void ended(Session from) {
      from.finish();
    }

    @Override
    public void over(Session from, Ending how) {
      ending = how;
    }
  }

  /** A client of the near side: sends lines and counts what comes back. */
  public static class Caller implements Session.Handler {
    public volatile Session session;
    public volatile boolean up;
    public volatile long came;
    public volatile long sent;
    volatile Ending ending;
    final AtomicInteger endings = new AtomicInteger();
    volatile Runnable whenCame = () -> {};

    @Override
    public void up(Session from, Answer answer) {
      up = true;
    }

    @Override
    public void came(Session from, ByteBuffer bytes) {
      came += bytes.remaining();
      from.taken(bytes.remaining());
      whenCame.run();
    }

    @Override
    public void took(Session from, int bytes) {}

    @Override
    public void ended(Session from) {}

    @Override
    public void over(Session from, Ending how) {
      ending = how;
      endings.incrementAndGet();
    }

    /** On the loop's thread. */
    public void send(int bytes) {
      ByteBuffer line = ByteBuffer.wrap(("x".repeat(bytes - 1) + "\n").getBytes(US));
      sent += bytes;
      session.send(line);
    }
  }

  private static final java.nio.charset.Charset US = StandardCharsets.US_ASCII;

  public Gateway(String name, LinkLimits limits, Keys keys, LinkSettings.Peer... peers)
      throws Exception {
    this(GatewayName.of(name), limits, keys, List.of(peers), STARTS.incrementAndGet());
  }

  Gateway(GatewayName name, LinkLimits limits, Keys keys, List<LinkSettings.Peer> peers, long start)
      throws Exception {
    this(name, keys, settings(peers, limits), start);
  }

  private Gateway(GatewayName name, Keys keys, LinkSettings settings, long start) throws Exception {
    this.name = name;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    links =
        new Links(
            network,
            net.loop(),
            settings,
            keys == null ? Guards.plain(name) : guards(keys),
            start,
            new Randomness(start),
            this);
    links.listen(new InetSocketAddress("127.0.0.1", port));
    net.execute(() -> Log.setThreadSink(events::add));
    net.start();
  }

  /** Returns a gateway that does not repeat a failed connection for seconds. */
  static Gateway withLateRetry(String name, LinkLimits limits, Keys keys, LinkSettings.Peer peer)
      throws Exception {
    LinkSettings usual = settings(List.of(peer), limits);
    LinkSettings late =
        new LinkSettings(
            usual.peers(),
            usual.limits(),
            usual.setupMicros(),
            usual.mostSetups(),
            usual.mostLinks(),
            usual.mostRetryMicros(),
            usual.mostRetryMicros(),
            usual.renewMicros());
    return new Gateway(GatewayName.of(name), keys, late, STARTS.incrementAndGet());
  }

  /** As usual, but ten times as quick to renew, and three times to give up what is not set up. */
  private static LinkSettings settings(List<LinkSettings.Peer> peers, LinkLimits limits) {
    LinkSettings usual = LinkSettings.of(peers);
    return new LinkSettings(
        peers,
        limits,
        usual.setupMicros() / 3,
        usual.mostSetups(),
        usual.mostLinks(),
        usual.retryMicros(),
        usual.mostRetryMicros(),
        usual.renewMicros() / 10);
  }

  Guards guards(Keys keys) {
    return new TlsGuards(keys, CIPHER, new SystemClock(), worker, network::execute);
  }

  public static LinkSettings.Peer peer(String name, int port, int links) {
    InetSocketAddress address = port == 0 ? null : new InetSocketAddress("127.0.0.1", port);
    return new LinkSettings.Peer(GatewayName.of(name), address, links);
  }

  /** Does it on the loop's thread and waits for it. */
  public <T> T on(Callable<T> task) {
    CompletableFuture<T> result = new CompletableFuture<>();
    network.execute(
        () -> {
          try {
            result.complete(task.call());
          } catch (Exception | Error e) {
            result.completeExceptionally(e);
          }
        });
    try {
      return result.get(10, TimeUnit.SECONDS);
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  public void run(Runnable task) {
    on(
        () -> {
          task.run();
          return null;
        });
  }

  /** An attempt to the peer, once a link takes it. */
  public Caller call(Gateway peer, long flow, long leaseMicros) {
    return call(peer, flow, leaseMicros, new Caller());
  }

  Caller call(Gateway peer, long flow, long leaseMicros, Caller caller) {
    Attempt attempt = new Attempt(0, flow, 1, 3, leaseMicros, 4_000_000, "S d=4000");
    until(
        "a link to " + peer.name,
        () ->
            on(
                () -> {
                  caller.session = links.open(peer.name, attempt, caller);
                  return caller.session != null;
                }));
    return caller;
  }

  public Caller standing(Gateway peer, long flow) {
    Caller caller = call(peer, flow, 2_000_000);
    until("flow " + flow + " is up", () -> caller.up);
    return caller;
  }

  public static void until(String what, BooleanSupplier holds) {
    long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (!holds.getAsBoolean()) {
      assertThat(System.nanoTime()).as("too late: " + what).isLessThan(limit);
      try {
        Thread.sleep(2);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** The values of a field in all events of the name so far. */
  List<String> logged(String event, String field) {
    return events.stream()
        .filter(e -> e.name().equals(event))
        .flatMap(e -> e.fields().stream())
        .filter(f -> f.name().equals(field))
        .map(f -> String.valueOf(f.value()))
        .toList();
  }

  @Override
  public Session.Handler opened(GatewayName from, Session session) {
    Echo echo = new Echo(session);
    echoes.add(echo);
    session.answer(new Answer(Answer.Code.UP, 0, 0, "UP r-1"));
    return echo;
  }

  @Override
  public void room(GatewayName from, long incarnation, Room room, long ageMicros) {
    told.add("room " + room.flowClass() + " " + room.room());
  }

  @Override
  public void up(GatewayName peer, GatewayLink link) {
    told.add("up " + peer.site());
  }

  @Override
  public void leaving(GatewayName peer, GatewayLink link, Leave leave) {
    told.add("leaving " + leave.code());
  }

  @Override
  public void down(GatewayName peer, GatewayLink link, LinkEnd how, int left) {
    told.add("down " + how);
  }

  int up(Gateway peer) {
    return on(() -> links.of(peer.name).size());
  }

  @Override
  public void close() {
    run(links::close);
    until("all is given back", () -> on(links::connections) == 0);
    worker.shutdown();
  }
}
