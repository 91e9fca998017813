package brassbank.net;

import static brassbank.log.Field.value;

import brassbank.log.Log;
import brassbank.sources.Clock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Opens and accepts the connections of the proxy and accounts for the descriptors that they hold.
 * All methods except {@link #execute} are for the event loop's thread, or for the time before
 * {@link #start}.
 */
public final class Net {
  private static final Log LOG = Log.of("net");

  /** Reserve for discovery calls, an accept in progress and files that the Java runtime opens. */
  private static final int RESERVED_DESCRIPTORS = 12;

  /** Assumed number of descriptors of the Java runtime where they cannot be counted. */
  private static final int DEFAULT_RUNTIME_DESCRIPTORS = 44;

  /** Links that are possible even if the descriptor limit leaves room for fewer. */
  private static final int MIN_LINKS = 8;

  /** What a link reads per readable event unless configured otherwise. */
  private static final int DEFAULT_READ_QUOTA_BYTES = 32 * 1024;

  /** Receives the result of a connect: exactly one of the two calls, from the event loop. */
  public interface ConnectHandler {
    /** Hands over the link of the established connection. */
    void connected(Link link);

    /** Reports that the connect was refused, failed or timed out. */
    void failed(Throwable cause);
  }

  private final Network network;
  private final EventLoop loop;

  /** In the order of creation, so that iterating over them is the same in each replay of a run. */
  private final Set<Link> links = new LinkedHashSet<>();

  /**
   * Links of the management address. They have reserved descriptors, so that they never take one
   * from a client.
   */
  private final Set<Link> managementLinks = new LinkedHashSet<>();

  /** Descriptors reserved for the management links and their listener. */
  private int managementDescriptors;

  private final BufferPool buffers = new BufferPool(DEFAULT_READ_QUOTA_BYTES);

  private int runtimeDescriptors = DEFAULT_RUNTIME_DESCRIPTORS;
  private int maxDescriptors;

  /** The most links and pending connects together. */
  private int maxLinks;

  /** Connects in progress, each of which holds a descriptor too. */
  private int pendingConnects;

  private Network.Listener listener;
  private boolean accepting = true;

  /** False while another process accepts the clients. */
  private boolean acceptClients = true;

  /**
   * @param descriptors the most descriptors that the process may hold
   */
  public Net(int descriptors, Network network) {
    this.network = network;
    loop = new EventLoop(network.clock());
    descriptorLimit(descriptors);
  }

  /** Starts the event loop. */
  public void start() throws IOException {
    network.start(loop);
  }

  /** Accepts clients at exactly this address. */
  public void listen(InetSocketAddress address, Consumer<Link> onAccept) throws IOException {
    listener = network.listen(address, acceptHandler(onAccept));
    countRuntimeDescriptors();
  }

  /**
   * Accepts clients from the listening socket that the process inherited, from the call of {@link
   * #acceptClients} on.
   */
  public void inherit(Consumer<Link> onAccept) throws IOException {
    listener = network.inherit(acceptHandler(onAccept));
    acceptClients = false;
    accepting = false;
    countRuntimeDescriptors();
  }

  private Consumer<Channel> acceptHandler(Consumer<Link> onAccept) {
    return channel ->
        EventLoop.runGuarded(
            () -> {
              onAccept.accept(adopt(channel, null));
              updateAccepting();
            });
  }

  private void countRuntimeDescriptors() {
    int held = network.descriptors();
    runtimeDescriptors = held < 0 ? DEFAULT_RUNTIME_DESCRIPTORS : held;
    descriptorLimit(maxDescriptors);
  }

  /** Sets whether clients are accepted while descriptors are available. */
  public void acceptClients(boolean on) {
    acceptClients = on;
    updateAccepting();
  }

  /** Returns whether clients are accepted while descriptors are available. */
  public boolean isAcceptingClients() {
    return acceptClients;
  }

  /**
   * Accepts management connections at a further address. Their events are delivered before those of
   * other connections, and descriptors are reserved for them. Must be called before {@link
   * #listen}.
   *
   * @param maxConnections the most management connections at a time
   * @param onAccept receives each new link. If the limit is exceeded, it closes a link at once;
   *     otherwise the oldest one is closed without a reply
   */
  public void listenManagement(
      InetSocketAddress address, int maxConnections, Consumer<Link> onAccept) throws IOException {
    this.managementDescriptors = maxConnections + 1;
    network.listen(
        address,
        true,
        channel ->
            EventLoop.runGuarded(
                () -> {
                  Link link = new Link(this, channel, null);
                  managementLinks.add(link);
                  onAccept.accept(link);
                  if (managementLinks.size() > maxConnections) {
                    managementLinks.iterator().next().release();
                  }
                }));
  }

  /** Sets the most descriptors that this process may hold. */
  public void descriptorLimit(int descriptors) {
    maxDescriptors = descriptors;
    maxLinks =
        Math.max(
            MIN_LINKS,
            descriptors - runtimeDescriptors - RESERVED_DESCRIPTORS - managementDescriptors);
    updateAccepting();
  }

  /**
   * Returns the smallest descriptor limit under which a process that accepts no more clients
   * refuses none of its flows.
   *
   * @param reserved descriptors that flows will need and do not hold yet
   */
  public int requiredDescriptors(int reserved) {
    return runtimeDescriptors
        + RESERVED_DESCRIPTORS
        + managementDescriptors
        + usedDescriptors()
        + reserved
        + MIN_LINKS;
  }

  /** Returns the buffer memory of all links. */
  public BufferPool buffers() {
    return buffers;
  }

  public EventLoop loop() {
    return loop;
  }

  public Clock clock() {
    return network.clock();
  }

  /** Runs a task on the event loop's thread; any thread may call. */
  public void execute(Runnable task) {
    network.execute(() -> EventLoop.runGuarded(task));
  }

  /** Returns whether a closed link still has bytes to send or waits for its peer to close. */
  public boolean hasClosingLinks() {
    return links.stream().anyMatch(Link::isClosing);
  }

  /**
   * Returns whether new flows are to be refused for lack of descriptors. An eighth of the
   * descriptors is still free then, so that clients can be accepted and receive a refusal.
   */
  public boolean isAtCapacity() {
    return isAtCapacity(0);
  }

  /**
   * As {@link #isAtCapacity()}, counting descriptors that flows will need and do not hold yet.
   * While no new clients are accepted, nothing is set aside for refusals.
   */
  public boolean isAtCapacity(int reserved) {
    return usedDescriptors() + reserved > maxLinks - (acceptClients ? maxLinks / 8 : 0);
  }

  /**
   * Returns whether at least half of the descriptors for links are free. While no new clients are
   * accepted, no more links come, so that all of the descriptors may be used.
   */
  boolean hasSpareDescriptors() {
    return usedDescriptors() <= (acceptClients ? maxLinks / 2 : maxLinks);
  }

  /** Returns the most clients that may be connected without having sent a line yet. */
  public int maxSilentClients() {
    return Math.max(1, Math.min(maxLinks / 4, maxLinks - maxLinks / 8 - usedDescriptors()));
  }

  private int usedDescriptors() {
    return links.size() + pendingConnects;
  }

  private Link adopt(Channel channel, Link.LineHandler handler) {
    Link link = new Link(this, channel, handler);
    links.add(link);
    return link;
  }

  void released(Link link) {
    if (!managementLinks.remove(link)) {
      links.remove(link);
      updateAccepting();
    }
  }

  /**
   * Turns the listener on or off. It is off while no descriptor is free, because an accept that
   * fails for lack of one would end the listening socket; clients then wait in the backlog.
   */
  private void updateAccepting() {
    boolean hasCapacity = usedDescriptors() < maxLinks;
    boolean wanted = hasCapacity && acceptClients;
    if (wanted == accepting || listener == null) {
      return;
    }
    accepting = wanted;
    if (!hasCapacity) {
      LOG.warn("descriptors-short", value("open", usedDescriptors()));
    }
    listener.accepting(wanted);
  }

  /**
   * Opens a connection that is read line by line.
   *
   * @param timeoutMicros the time limit of the connect: a machine that is down never answers
   */
  public Network.Attempt connect(
      InetSocketAddress address,
      long timeoutMicros,
      Link.LineHandler handler,
      ConnectHandler result) {
    TimedConnect connect =
        new TimedConnect() {
          @Override
          Network.Attempt attempt() {
            return network.connect(
                address,
                new Network.ConnectHandler() {
                  @Override
                  public void connected(Channel channel) {
                    settle();
                    EventLoop.runGuarded(() -> result.connected(adopt(channel, handler)));
                  }

                  @Override
                  public void failed(IOException cause) {
                    abort(cause);
                  }
                });
          }

          @Override
          void failed(Throwable cause) {
            result.failed(cause);
          }
        };
    connect.start(timeoutMicros);
    return connect;
  }

  /**
   * Sends an HTTP request, see {@link Network#get}.
   *
   * @param connectTimeoutMicros the time limit of the connect; the response has none
   */
  public Network.Attempt get(
      InetSocketAddress address,
      String path,
      long connectTimeoutMicros,
      Network.ResponseHandler handler) {
    TimedConnect connect =
        new TimedConnect() {
          @Override
          Network.Attempt attempt() {
            return network.get(
                address,
                path,
                new Network.ResponseHandler() {
                  @Override
                  public void connected() {
                    settle();
                    EventLoop.runGuarded(handler::connected);
                  }

                  @Override
                  public void statusReceived(int status) {
                    EventLoop.runGuarded(() -> handler.statusReceived(status));
                  }

                  @Override
                  public void contentReceived(int status, ByteBuffer bytes, boolean last) {
                    EventLoop.runGuarded(() -> handler.contentReceived(status, bytes, last));
                  }

                  @Override
                  public void failed(String why) {
                    settle();
                    EventLoop.runGuarded(() -> handler.failed(why));
                  }
                });
          }

          @Override
          void failed(Throwable cause) {
            handler.failed(cause.getMessage());
          }
        };
    connect.start(connectTimeoutMicros);
    return connect;
  }

  /**
   * Receives datagrams, see {@link Network#datagrams}. The socket's descriptor is one of those
   * reserved for the Java runtime, so that clients do not compete for it.
   */
  public Network.Datagrams datagrams(InetSocketAddress address, Network.DatagramHandler handler)
      throws IOException {
    return network.datagrams(
        address, (from, bytes) -> EventLoop.runGuarded(() -> handler.received(from, bytes)));
  }

  /** A connect with a time limit. It counts as a descriptor until it succeeds, fails or ends. */
  private abstract class TimedConnect implements Network.Attempt {
    private Network.Attempt attempt;
    private EventLoop.Timer timeout;
    private boolean settled;

    abstract Network.Attempt attempt();

    abstract void failed(Throwable cause);

    void start(long timeoutMicros) {
      pendingConnects++;
      timeout = loop.schedule(timeoutMicros, () -> abort(new IOException("connect timed out")));
      attempt = attempt();
    }

    /** Stops counting the connect's descriptor; the only place that does so. */
    void settle() {
      if (!settled) {
        settled = true;
        timeout.cancel();
        pendingConnects--;
      }
    }

    void abort(Throwable cause) {
      cancel();
      EventLoop.runGuarded(() -> failed(cause));
    }

    @Override
    public void cancel() {
      settle();
      attempt.cancel();
    }
  }
}
