package brassbank.net;

import brassbank.sources.Clock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * The machine and its network, as one program sees them: the contract between the network code, of
 * which {@link Net} is the way in, and what carries it. {@code brassbank.grizzly} is the real one;
 * a simulated one can stand in for it, and nothing above can tell.
 *
 * <p>There is one loop with one thread. A turn of it is an event of a channel, of a connect or of a
 * listener, a task given to {@link #execute}, or a timer. Everything but {@link #execute} and
 * {@link #clock} is for that thread, or for the time before {@link #start}.
 */
public interface Network {
  /** An attempt that can be given up. After {@link #cancel} nothing of it is told. */
  interface Attempt {
    /** Gives the attempt up, with its descriptor. After its end this does nothing. */
    void cancel();
  }

  /** What becomes of a connect; exactly one of the two is told, on a later turn. */
  interface ConnectHandler {
    /** The channel is the callee's, who sets its handler before it returns. */
    void connected(Channel channel);

    /** The connect was refused or came to nothing; its descriptor is free. */
    void failed(IOException cause);
  }

  /** A socket that takes connections. */
  interface Listener {
    /** While off, new connections wait in the backlog and take no descriptor of ours. */
    void accepting(boolean on);
  }

  /** A socket for datagrams. It holds one descriptor, from its making to {@link #close}. */
  interface Datagrams {
    /** Sends one, or loses it where the kernel has no room or no way: nobody is told. */
    void send(InetSocketAddress to, byte[] bytes);

    /** Gives the descriptor back; nothing is told after it. */
    void close();
  }

  /** Who is told of datagrams, each on a turn of the loop. */
  interface DatagramHandler {
    /**
     * One has come, whole as it was sent.
     *
     * @param from where an answer goes
     */
    void received(InetSocketAddress from, byte[] bytes);
  }

  /** What comes of an HTTP call, on later turns each. */
  interface ResponseHandler {
    /** The connection is up and the call is being sent. */
    void connected();

    /** The answer has begun: its head has come, and content may follow at any time. */
    void statusReceived(int status);

    /**
     * A part of the answer's content, in order and without any transfer coding; the bytes are valid
     * during the call only.
     *
     * @param last the answer is whole with these bytes; nothing is told after it
     */
    void contentReceived(int status, ByteBuffer bytes, boolean last);

    /** The call has come to nothing or has broken off; told once, and nothing after it. */
    void failed(String why);
  }

  /**
   * Begins to turn. From here on the implementation runs {@link EventLoop#runDueTimers} whenever
   * {@link EventLoop#nextDeadlineNanos} has come.
   */
  void start(EventLoop loop) throws IOException;

  /**
   * Takes connections at this address and no other; the callee sets each channel's handler.
   *
   * @param first whether what the listener and its channels tell goes before all else that is to be
   *     told at the same time
   */
  Listener listen(InetSocketAddress address, boolean first, Consumer<Channel> accepted)
      throws IOException;

  /** As above, in no order. */
  default Listener listen(InetSocketAddress address, Consumer<Channel> accepted)
      throws IOException {
    return listen(address, false, accepted);
  }

  /**
   * Takes connections from the listening socket that the program was started with as descriptor 0.
   * It is off from the start, and is never closed: other processes hold it too, and what waits in
   * its queue is theirs as well.
   *
   * @throws InheritedSocketException where descriptor 0 is no listening socket
   */
  default Listener inherit(Consumer<Channel> accepted) throws IOException {
    throw new InheritedSocketException("no listening socket is inherited");
  }

  /**
   * Opens a connection. There is no time limit but the kernel's, which is minutes: whoever asks
   * sets one by a timer.
   */
  Attempt connect(InetSocketAddress address, ConnectHandler then);

  /**
   * Asks by HTTP/1.1 for JSON, on a connection of its own. There is no time limit, as with {@link
   * #connect}. The attempt lasts until the answer has come, and cancelling it closes the
   * connection.
   *
   * @param path path and query, as they stand in the request line
   */
  Attempt get(InetSocketAddress address, String path, ResponseHandler answer);

  /**
   * Takes datagrams at this address and no other; for the loop's thread, after {@link #start}.
   *
   * @throws IOException where the address cannot be had
   */
  default Datagrams datagrams(InetSocketAddress address, DatagramHandler heard) throws IOException {
    throw new IOException("this network carries no datagrams");
  }

  /** Runs the task on a turn of its own; any thread may call. */
  void execute(Runnable task);

  /** How many descriptors the program holds now, of whatever kind; -1 where it cannot be told. */
  int descriptors();

  /** The machine's clocks. */
  Clock clock();
}
