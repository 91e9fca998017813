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
  private static final int RESERVE = 12;

  /** Descriptors that the runtime is taken to hold where they cannot be counted. */
  private static final int RUNTIME = 44;

  private static final int LEAST = 8;

  /** What a link reads in one turn, where nothing else is configured. */
  private static final int TURN = 32 * 1024;

  /** What becomes of a connect: exactly one of the two is told, on a later turn. */
  public interface Connected {
    void up(Link link);

    void failed(Throwable cause);
  }

  private final Network network;
  private final Loop loop;

  /** In the order of their making, so that a run can be replayed whatever walks through them. */
  private final Set<Link> links = new LinkedHashSet<>();

  /** Links of the operators' door, which have descriptors of their own and make nobody wait. */
  private final Set<Link> apart = new LinkedHashSet<>();

  /** Descriptors kept back for them. */
  private int places;

  private final Buffers buffers = new Buffers(TURN);

  private int runtime = RUNTIME;
  private int sockets;
  private int most;

  /** Connects under way, each of which holds a descriptor too. */
  private int connecting;

  private Network.Listener listener;
  private boolean accepting = true;

  /** False while another process takes the clients. */
  private boolean open = true;

  public Net(int sockets, Network network) {
    this.network = network;
    loop = new Loop(network.clock());
    limit(sockets);
  }

  public void start() throws IOException {
    network.start(loop);
  }

  /** Takes clients at this address and no other. */
  public void listen(InetSocketAddress address, Consumer<Link> onAccept) throws IOException {
    listener = network.listen(address, taking(onAccept));
    opened();
  }

  /**
   * Takes clients from the listening socket that the program inherited, once {@link #open} says.
   */
  public void inherit(Consumer<Link> onAccept) throws IOException {
    listener = network.inherit(taking(onAccept));
    open = false;
    accepting = false;
    opened();
  }

  private Consumer<Channel> taking(Consumer<Link> onAccept) {
    return channel ->
        Loop.guarded(
            () -> {
              onAccept.accept(adopt(channel, null));
              admit();
            });
  }

  private void opened() {
    int held = network.descriptors();
    runtime = held < 0 ? RUNTIME : held;
    limit(sockets);
  }

  /** Whether clients are taken, as far as there is room. */
  public void open(boolean on) {
    open = on;
    admit();
  }

  /** Whether clients are taken. */
  public boolean isOpen() {
    return open;
  }

  /**
   * Takes connections at one more address, apart from the clients': their events come first, and
   * they hold no more than so many descriptors, which are kept back for them. To be called before
   * {@link #listen}.
   *
   * @param onAccept gets each new link; where there is one more than that, it ends one at once, or
   *     the oldest ends without a word
   */
  public void listenApart(InetSocketAddress address, int places, Consumer<Link> onAccept)
      throws IOException {
    this.places = places + 1;
    network.listen(
        address,
        true,
        channel ->
            Loop.guarded(
                () -> {
                  Link link = new Link(this, channel, null);
                  apart.add(link);
                  onAccept.accept(link);
                  if (apart.size() > places) {
                    apart.iterator().next().release();
                  }
                }));
  }

  /** Sets how many descriptors this process may hold. */
  public void limit(int descriptors) {
    sockets = descriptors;
    most = Math.max(LEAST, descriptors - runtime - RESERVE - places);
    admit();
  }

  /**
   * How many descriptors the process needs for what it has, where it takes no more clients: no flow
   * of it is refused under this limit.
   *
   * @param promised descriptors that are promised and not held yet
   */
  public int needs(int promised) {
    return runtime + RESERVE + places + used() + promised + LEAST;
  }

  /** The memory of all links. */
  public Buffers buffers() {
    return buffers;
  }

  public Loop loop() {
    return loop;
  }

  public Clock clock() {
    return network.clock();
  }

  /** Runs a task on the loop's thread, from any other. */
  public void execute(Runnable task) {
    network.execute(() -> Loop.guarded(task));
  }

  /** Whether a link that was closed still has something to send, or waits for its peer's end. */
  public boolean closing() {
    return links.stream().anyMatch(Link::isClosing);
  }

  /** Whether descriptors run short: a new flow must be refused while there is room to say so. */
  public boolean full() {
    return full(0);
  }

  /**
   * As {@link #full()}, with so many descriptors that are promised and not held yet. Nothing is
   * kept back for refusals where no new clients come.
   */
  public boolean full(int promised) {
    return used() + promised > most - (open ? most / 8 : 0);
  }

  /** How many clients that have said nothing yet there may be. */
  public int silentRoom() {
    return Math.max(1, Math.min(most / 4, most - most / 8 - used()));
  }

  private int used() {
    return links.size() + connecting;
  }

  private Link adopt(Channel channel, Link.Owner owner) {
    Link link = new Link(this, channel, owner);
    links.add(link);
    return link;
  }

  void released(Link link) {
    if (!apart.remove(link)) {
      links.remove(link);
      admit();
    }
  }

  /** An accept without a descriptor would end the listening socket: the backlog waits instead. */
  private void admit() {
    boolean room = used() < most;
    boolean wanted = room && open;
    if (wanted == accepting || listener == null) {
      return;
    }
    accepting = wanted;
    if (!room) {
      LOG.warn("descriptors-short", value("open", used()));
    }
    listener.accepting(wanted);
  }

  /** Opens a connection of lines; it has a time limit, since a silent machine never answers. */
  public Network.Attempt connect(
      InetSocketAddress address, long limitMicros, Link.Owner owner, Connected then) {
    Dial dial =
        new Dial() {
          @Override
          Network.Attempt attempt() {
            return network.connect(
                address,
                new Network.Connected() {
                  @Override
                  public void up(Channel channel) {
                    settled();
                    Loop.guarded(() -> then.up(adopt(channel, owner)));
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
      InetSocketAddress address, String path, long connectMicros, Network.Answer answer) {
    Dial dial =
        new Dial() {
          @Override
          Network.Attempt attempt() {
            return network.get(
                address,
                path,
                new Network.Answer() {
                  @Override
                  public void connected() {
                    settled();
                    Loop.guarded(answer::connected);
                  }

                  @Override
                  public void begun(int status) {
                    Loop.guarded(() -> answer.begun(status));
                  }

                  @Override
                  public void content(int status, ByteBuffer bytes, boolean last) {
                    Loop.guarded(() -> answer.content(status, bytes, last));
                  }

                  @Override
                  public void failed(String why) {
                    settled();
                    Loop.guarded(() -> answer.failed(why));
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
  public Network.Datagrams datagrams(InetSocketAddress address, Network.Heard heard)
      throws IOException {
    return network.datagrams(
        address, (from, bytes) -> Loop.guarded(() -> heard.heard(from, bytes)));
  }

  /** A connect within its time limit; it counts as a descriptor until it is settled. */
  private abstract class Dial implements Network.Attempt {
    private Network.Attempt attempt;
    private Loop.Timer limit;
    private boolean settled;

    abstract Network.Attempt attempt();

    abstract void failed(Throwable cause);

    void start(long limitMicros) {
      connecting++;
      limit = loop.after(limitMicros, () -> lost(new IOException("not up in time")));
      attempt = attempt();
    }

    /** The one place where a connect's descriptor is no longer counted. */
    void settled() {
      if (!settled) {
        settled = true;
        limit.cancel();
        connecting--;
      }
    }

    void lost(Throwable cause) {
      cancel();
      Loop.guarded(() -> failed(cause));
    }

    @Override
    public void cancel() {
      settled();
      attempt.cancel();
    }
  }
}
