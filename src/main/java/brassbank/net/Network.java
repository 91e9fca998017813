package brassbank.net;

import brassbank.sources.Clock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * The operating system's network as one process sees it: the interface between {@link Net} and an
 * implementation. {@code brassbank.grizzly} implements it on sockets, and the simulator in virtual
 * time.
 *
 * <p>There is one event loop with one thread. It delivers events of channels, connects and
 * listeners, tasks given to {@link #execute}, and timers, one after the other. All methods except
 * {@link #execute} and {@link #clock} are for that thread, or for the time before {@link #start}.
 */
public interface Network {
  /** A connect or call in progress. After {@link #cancel} its handler is not called any more. */
  interface Attempt {
    /** Cancels the attempt and frees its descriptor. Has no effect once the attempt is over. */
    void cancel();
  }

  /** Receives the result of a connect: exactly one of the two calls, from the event loop. */
  interface ConnectHandler {
    /** Hands over the channel; the callee sets the channel's handler before it returns. */
    void connected(Channel channel);

    /** Reports that the connect was refused or failed; its descriptor is free. */
    void failed(IOException cause);
  }

  /** A listening socket. */
  interface Listener {
    /**
     * Sets whether connections are accepted. While they are not, new connections wait in the
     * kernel's backlog and use no descriptor of this process.
     */
    void accepting(boolean on);
  }

  /** A UDP socket. It holds one descriptor from its creation to {@link #close}. */
  interface Datagrams {
    /**
     * Sends a datagram. It is lost without notice if the kernel has no buffer space or no route.
     */
    void send(InetSocketAddress to, byte[] bytes);

    /** Closes the socket and frees its descriptor; no datagram is delivered afterwards. */
    void close();
  }

  /** Receives datagrams from the event loop. */
  interface DatagramHandler {
    /**
     * Delivers one complete datagram.
     *
     * @param from the sender's address, to which a reply goes
     */
    void received(InetSocketAddress from, byte[] bytes);
  }

  /** Receives the events of an HTTP call from the event loop. */
  interface ResponseHandler {
    /** Reports that the connection is established and the request is being sent. */
    void connected();

    /** Reports that the head of the response has arrived; content may follow. */
    void statusReceived(int status);

    /**
     * Delivers a piece of the response's content, in order and without transfer coding; the bytes
     * are valid during the call only.
     *
     * @param last whether the response is complete with these bytes; no call follows then
     */
    void contentReceived(int status, ByteBuffer bytes, boolean last);

    /** Reports that the call failed; called at most once, and no call follows. */
    void failed(String why);
  }

  /**
   * Starts the event loop. From here on the implementation calls {@link EventLoop#runDueTimers}
   * whenever {@link EventLoop#nextDeadlineNanos} has been reached.
   */
  void start(EventLoop loop) throws IOException;

  /**
   * Accepts connections at exactly this address.
   *
   * @param first whether events of the listener and of its channels are delivered before other
   *     events that are ready at the same time
   * @param accepted receives each new channel and sets its handler
   */
  Listener listen(InetSocketAddress address, boolean first, Consumer<Channel> accepted)
      throws IOException;

  /** Accepts connections at exactly this address, without priority for their events. */
  default Listener listen(InetSocketAddress address, Consumer<Channel> accepted)
      throws IOException {
    return listen(address, false, accepted);
  }

  /**
   * Accepts connections from the listening socket that the process inherited as descriptor 0. The
   * listener is initially off. It is never closed: other processes share the socket and the
   * connections in its backlog.
   *
   * @throws InheritedSocketException if descriptor 0 is no listening socket
   */
  default Listener inherit(Consumer<Channel> accepted) throws IOException {
    throw new InheritedSocketException("no listening socket is inherited");
  }

  /**
   * Opens a connection. The only time limit is the kernel's, which is minutes: the caller sets a
   * shorter one by a timer.
   */
  Attempt connect(InetSocketAddress address, ConnectHandler handler);

  /**
   * Sends a GET request for JSON by HTTP/1.1, on a new connection. There is no time limit, as with
   * {@link #connect}. The attempt lasts until the response is complete; cancelling it closes the
   * connection.
   *
   * @param path path and query, as in the request line
   */
  Attempt get(InetSocketAddress address, String path, ResponseHandler handler);

  /**
   * Receives datagrams at exactly this address; for the event loop's thread, after {@link #start}.
   *
   * @throws IOException if the address cannot be bound
   */
  default Datagrams datagrams(InetSocketAddress address, DatagramHandler handler)
      throws IOException {
    throw new IOException("this network does not support datagrams");
  }

  /** Runs the task on the event loop's thread; any thread may call. */
  void execute(Runnable task);

  /** Returns how many descriptors of any kind the process holds now; -1 if unknown. */
  int descriptors();

  /** Returns the clocks of the machine. */
  Clock clock();
}
