package brassbank.load;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The components of a run: stub hosts, stub discovery, the proxy process and the reactors. {@link
 * #close} releases them all.
 */
final class TestBed implements AutoCloseable {
  final Options options;
  final BulkPattern pattern;
  final Reactor clients = new Reactor("clients");

  /** A separate thread for the slow clients, so that they do not delay the measured sessions. */
  final Reactor slowClients = new Reactor("slow clients");

  final Route direct;
  final Route proxy;

  /** The proxy's process, or null if {@code --proxy} was given without {@code --pid}. */
  final ProcessStats proxyProcess;

  private final Reactor hostReactor = new Reactor("hosts");
  private final List<StubHost> hosts = new ArrayList<>();
  private final StubDiscovery discovery;
  private final ProxyProcess startedProxy;
  private final ReferenceRelayProcess referenceRelay;

  /** The route through the {@link ReferenceRelay}, or null without {@code --bare}. */
  private final Route referenceRoute;

  TestBed(Options options) {
    this.options = options;
    pattern = new BulkPattern(options.bulkLineBytes);
    for (int i = 1; i <= options.hosts; i++) {
      hosts.add(new StubHost(hostReactor, "toy-" + i, pattern, options.chunkBytes));
    }
    JsonObject base = ProxyProcess.readConfiguration(options.config);
    JsonObject settings = base.getAsJsonObject("settings");
    discovery =
        new StubDiscovery(
            options.discoveryPort, hosts, settings.get("zone").getAsString(), "fast-box");
    List<InetSocketAddress> addresses = hosts.stream().map(StubHost::address).toList();
    direct = new Route("direct", addresses, null);
    if (options.proxy == null) {
      startedProxy =
          new ProxyProcess(
              options.startCommand, base, discovery, options.memoryMib, options.sockets);
      proxyProcess = new ProcessStats(startedProxy.pid());
      proxy = new Route("proxy", List.of(startedProxy.address()), proxyProcess);
    } else {
      startedProxy = null;
      proxyProcess = options.pid > 0 ? new ProcessStats(options.pid) : null;
      proxy = new Route("proxy", List.of(Route.parseLoopback(options.proxy)), proxyProcess);
    }
    referenceRelay = options.withReferenceRelay ? new ReferenceRelayProcess(addresses) : null;
    referenceRoute = options.withReferenceRelay ? referenceRelay.route() : null;
  }

  /** Returns the routes to measure in this order; the direct one is the first. */
  List<Route> routes() {
    return referenceRoute == null ? List.of(direct, proxy) : List.of(direct, referenceRoute, proxy);
  }

  /** Returns the number of bulk bytes that all hosts have received. */
  long bulkBytesReceived() {
    return hosts.stream().mapToLong(StubHost::bulkBytesReceived).sum();
  }

  /**
   * Checks that all hosts received the expected bytes and that the reactors are running.
   *
   * @throws LoadException if a host received wrong bytes or a reactor's thread has failed
   */
  void failOnFault() {
    for (StubHost host : hosts) {
      if (host.fault() != null) {
        throw new LoadException(host.fault());
      }
    }
    for (Reactor reactor : List.of(clients, slowClients, hostReactor)) {
      if (reactor.failure() != null) {
        throw new LoadException(
            "a thread of the load tool has failed: " + reactor.failure(), reactor.failure());
      }
    }
  }

  /** Blocks the calling thread. */
  static void sleep(double millis) {
    try {
      Thread.sleep((long) millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new LoadException("interrupted", e);
    }
  }

  @Override
  public void close() {
    clients.close();
    slowClients.close();
    if (startedProxy != null) {
      startedProxy.close();
    }
    if (referenceRelay != null) {
      referenceRelay.close();
    }
    discovery.close();
    hostReactor.close();
  }
}
