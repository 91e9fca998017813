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
 * The way in to the network: links and calls, and the one count of the descriptors that they hold.
 * Everything but {@link #execute} is for the loop's thread, or for the time before {@link #start}.
 */
public final class Net {
  private static final Log LOG = Log.of("net");

  /** Descriptors kept for discovery's calls, an accept under way and what the runtime opens. */
  private static final int RESERVED_DESCRIPTORS = 12;

  /** Descriptors that the runtime is taken to hold where they cannot be counted. */
  private static final int DEFAULT_RUNTIME_DESCRIPTORS = 44;

  private static final int MIN_LINKS = 8;

  /** What a link reads in one turn, where nothing else is configured. */
  private static final int DEFAULT_READ_QUOTA_BYTES = 32 * 1024;

  /** What becomes of a connect: exactly one of the two is told, on a later turn. */
  public interface ConnectHandler {
    void connected(Link link);

    void failed(Throwable cause);
  }

  private final Network network;
  private final EventLoop loop;

  /** In the order of their making, so that a run can be replayed whatever walks through them. */
  private final Set<Link> links = new LinkedHashSet<>();

  /** Links of the operators' door, which have descriptors of their own and make nobody wait. */
  private final Set<Link> managementLinks = new LinkedHashSet<>();

  /** Descriptors kept back for them. */
  private int managementDescriptors;

  private final BufferPool buffers = new BufferPool(DEFAULT_READ_QUOTA_BYTES);

  private int runtimeDescriptors = DEFAULT_RUNTIME_DESCRIPTORS;
  private int maxDescriptors;
  private int maxLinks;

  /** Connects under way, each of which holds a descriptor too. */
  private int pendingConnects;

  private Network.Listener listener;
  private boolean accepting = true;

  /** False while another process takes the clients. */
  private boolean acceptClients = true;

  public Net(int sockets, Network network) {
    this.network = network;
    loop = new EventLoop(network.clock());
    descriptorLimit(sockets);
  }

  public void start() throws IOException {
    network.start(loop);
  }

  /** Takes clients at this address and no other. */
  public void listen(InetSocketAddress address, Consumer<Link> onAccept) throws IOException {
    listener = network.listen(address, acceptHandler(onAccept));
    countRuntimeDescriptors();
  }

  /**
   * Takes clients from the listening socket that the program inherited, once {@link #acceptClients}
   * says.
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

  /** Whether clients are taken, as far as there is room. */
  public void acceptClients(boolean on) {
    acceptClients = on;
    updateAccepting();
  }

  /** Whether clients are taken. */
  public boolean isAcceptingClients() {
    return acceptClients;
  }

  /**
   * Takes connections at one more address, apart from the clients': their events come first, and
   * they hold no more than so many descriptors, which are kept back for them. To be called before
   * {@link #listen}.
   *
   * @param onAccept gets each new link; where there is one more than that, it ends one at once, or
   *     the oldest ends without a word
   */
  public void listenManagement(InetSocketAddress address, int places, Consumer<Link> onAccept)
      throws IOException {
    this.managementDescriptors = places + 1;
    network.listen(
        address,
        true,
        channel ->
            EventLoop.runGuarded(
                () -> {
                  Link link = new Link(this, channel, null);
                  managementLinks.add(link);
                  onAccept.accept(link);
                  if (managementLinks.size() > places) {
                    managementLinks.iterator().next().release();
                  }
                }));
  }

  /** Sets how many descriptors this process may hold. */
  public void descriptorLimit(int descriptors) {
    maxDescriptors = descriptors;
    maxLinks =
        Math.max(
            MIN_LINKS,
            descriptors - runtimeDescriptors - RESERVED_DESCRIPTORS - managementDescriptors);
    updateAccepting();
  }

  /**
   * How many descriptors the process needs for what it has, where it takes no more clients: no flow
   * of it is refused under this limit.
   *
   * @param promised descriptors that are promised and not held yet
   */
  public int requiredDescriptors(int promised) {
    return runtimeDescriptors
        + RESERVED_DESCRIPTORS
        + managementDescriptors
        + usedDescriptors()
        + promised
        + MIN_LINKS;
  }

  /** The memory of all links. */
  public BufferPool buffers() {
    return buffers;
  }

  public EventLoop loop() {
    return loop;
  }

  public Clock clock() {
    return network.clock();
  }

  /** Runs a task on the loop's thread, from any other. */
  public void execute(Runnable task) {
    network.execute(() -> EventLoop.runGuarded(task));
  }

  /** Whether a link that was closed still has something to send, or waits for its peer's end. */
  public boolean hasClosingLinks() {
    return links.stream().anyMatch(Link::isClosing);
  }

  /** Whether descriptors run short: a new flow must be refused while there is room to say so. */
  public boolean isAtCapacity() {
    return isAtCapacity(0);
  }

  /**
   * As {@link #isAtCapacity()}, with so many descriptors that are promised and not held yet.
   * Nothing is kept back for refusals where no new clients come.
   */
  public boolean isAtCapacity(int promised) {
    return usedDescriptors() + promised > maxLinks - (acceptClients ? maxLinks / 8 : 0);
  }

  /** How many clients that have said nothing yet there may be. */
  public int maxSilentClients() {
    return Math.max(1, Math.min(maxLinks / 4, maxLinks - maxLinks / 8 - usedDescriptors()));
  }

  private int usedDescriptors() {
    return links.size() + pendingConnects;
  }

  private Link adopt(Channel channel, Link.LineHandler owner) {
    Link link = new Link(this, channel, owner);
    links.add(link);
    return link;
  }

  void released(Link link) {
    if (!managementLinks.remove(link)) {
      links.remove(link);
      updateAccepting();
    }
  }

  /** An accept without a descriptor would end the listening socket: the backlog waits instead. */
  private void updateAccepting() {
    boolean room = usedDescriptors() < maxLinks;
    boolean wanted = room && acceptClients;
    if (wanted == accepting || listener == null) {
      return;
    }
    accepting = wanted;
    if (!room) {
      LOG.warn("descriptors-short", value("open", usedDescriptors()));
    }
    listener.accepting(wanted);
  }

  /** Opens a connection of lines; it has a time limit, since a silent machine never answers. */
  public Network.Attempt connect(
      InetSocketAddress address, long limitMicros, Link.LineHandler owner, ConnectHandler then) {
    TimedConnect dial =
        new TimedConnect() {
          @Override
          Network.Attempt attempt() {
            return network.connect(
                address,
                new Network.ConnectHandler() {
                  @Override
                  public void connected(Channel channel) {
                    settled();
                    EventLoop.runGuarded(() -> then.connected(adopt(channel, owner)));
                  }

                  @Override
                  public void failed(IOException cause) {
                    lost(cause);
                  }
                });
          }

          @Override
          void failed(Throwable cause) {
            then.failed(cause);
          }
        };
    dial.start(limitMicros);
    return dial;
  }

  /** Asks by HTTP, see {@link Network#get}; its connect has a time limit. */
  public Network.Attempt get(
      InetSocketAddress address, String path, long connectMicros, Network.ResponseHandler answer) {
    TimedConnect dial =
        new TimedConnect() {
          @Override
          Network.Attempt attempt() {
            return network.get(
                address,
                path,
                new Network.ResponseHandler() {
                  @Override
                  public void connected() {
                    settled();
                    EventLoop.runGuarded(answer::connected);
                  }

                  @Override
                  public void statusReceived(int status) {
                    EventLoop.runGuarded(() -> answer.statusReceived(status));
                  }

                  @Override
                  public void contentReceived(int status, ByteBuffer bytes, boolean last) {
                    EventLoop.runGuarded(() -> answer.contentReceived(status, bytes, last));
                  }

                  @Override
                  public void failed(String why) {
                    settled();
                    EventLoop.runGuarded(() -> answer.failed(why));
                  }
                });
          }

          @Override
          void failed(Throwable cause) {
            answer.failed(cause.getMessage());
          }
        };
    dial.start(connectMicros);
    return dial;
  }

  /**
   * Takes datagrams, see {@link Network#datagrams}. The one descriptor comes out of those that are
   * kept for the runtime: no client waits for it.
   */
  public Network.Datagrams datagrams(InetSocketAddress address, Network.DatagramHandler heard)
      throws IOException {
    return network.datagrams(
        address, (from, bytes) -> EventLoop.runGuarded(() -> heard.received(from, bytes)));
  }

  /** A connect within its time limit; it counts as a descriptor until it is settled. */
  private abstract class TimedConnect implements Network.Attempt {
    private Network.Attempt attempt;
    private EventLoop.Timer limit;
    private boolean settled;

    abstract Network.Attempt attempt();

    abstract void failed(Throwable cause);

    void start(long limitMicros) {
      pendingConnects++;
      limit = loop.schedule(limitMicros, () -> lost(new IOException("not up in time")));
      attempt = attempt();
    }

    /** The one place where a connect's descriptor is no longer counted. */
    void settled() {
      if (!settled) {
        settled = true;
        limit.cancel();
        pendingConnects--;
      }
    }

    void lost(Throwable cause) {
      cancel();
      EventLoop.runGuarded(() -> failed(cause));
    }

    @Override
    public void cancel() {
      settled();
      attempt.cancel();
    }
  }
}
