package brassbank.load;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/**
 * Opens sessions as a client does, and passes each open session to a handler of the measurement.
 */
final class SessionOpener {
  private static final int MAX_CONCURRENT_SETUPS = 32;

  private static final long DEFAULT_RETRY_NANOS = 20_000_000;
  private static final long OPEN_ALL_TIMEOUT_SECONDS = 60;

  /** Shared by all measurements, since two open flows must not have the same id. */
  private static long lastFlowNumber;

  private final Reactor reactor;
  private final Route route;
  private final Options options;
  private final int receiveBufferBytes;

  /**
   * Creates an opener for one route.
   *
   * @param receiveBufferBytes the size of the kernel's receive buffer, or 0 for the system's
   *     default
   */
  SessionOpener(Reactor reactor, Route route, Options options, int receiveBufferBytes) {
    this.reactor = reactor;
    this.route = route;
    this.options = options;
    this.receiveBufferBytes = receiveBufferBytes;
  }

  private static synchronized long nextFlowNumber() {
    return ++lastFlowNumber;
  }

  /**
   * Opens sessions and blocks until all are open. A refused set-up is retried after the delay that
   * the answer asks for. Must not be called on the reactor's thread.
   *
   * @param count the number of sessions
   * @param mode the mode of {@link StubHost} for these sessions
   * @param handlers creates a handler for each session, on the reactor's thread; its {@code
   *     connected} runs when the answer {@code UP} has arrived
   * @return the open connections
   * @throws LoadException if the sessions are not all open within 60 s
   */
  List<Connection> open(int count, String mode, Supplier<? extends Connection.Handler> handlers) {
    Batch batch = new Batch(count, mode, handlers);
    reactor.run(batch::openMore);
    try {
      return batch.allOpen.get(OPEN_ALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      throw new LoadException(
          reactor.call(
              () ->
                  batch.openSessions.size()
                      + " of "
                      + count
                      + " sessions are open; "
                      + batch.lastRefusal));
    } catch (ExecutionException e) {
      throw new LoadException(e.getCause().getMessage(), e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new LoadException("interrupted", e);
    }
  }

  /** Starts the set-up of one session. Must be called on the reactor's thread. */
  void open(String mode, SetupListener listener) {
    long number = nextFlowNumber();
    String openLine =
        String.format(
            "OPEN %016x %016x c=%s,t=%s,d=%d,toy=%s",
            number,
            number * 0x9e3779b97f4a7c15L,
            options.flowClass,
            options.tenant,
            options.deadlineMillis,
            mode);
    try {
      reactor.connect(
          route.address(number), new SetupHandler(openLine, listener), receiveBufferBytes);
    } catch (IOException e) {
      listener.refused("cannot connect: " + e.getMessage(), DEFAULT_RETRY_NANOS);
    }
  }

  /** Receives the outcome of a set-up, on the reactor's thread. */
  interface SetupListener {
    /** Called when the session is open; the returned handler receives its further events. */
    Connection.Handler opened(Connection connection);

    /** Called when the set-up failed; a retry should wait for {@code retryNanos}. */
    void refused(String answer, long retryNanos);
  }

  private final class Batch implements SetupListener {
    private final int count;
    private final String hostMode;
    private final Supplier<? extends Connection.Handler> handlers;
    private final CompletableFuture<List<Connection>> allOpen = new CompletableFuture<>();
    private final List<Connection> openSessions = new ArrayList<>();
    private int pendingSetups;
    private String lastRefusal = "no answer yet";

    Batch(int count, String hostMode, Supplier<? extends Connection.Handler> handlers) {
      this.count = count;
      this.hostMode = hostMode;
      this.handlers = handlers;
    }

    void openMore() {
      while (pendingSetups < MAX_CONCURRENT_SETUPS && openSessions.size() + pendingSetups < count) {
        pendingSetups++;
        open(hostMode, this);
      }
      if (openSessions.size() == count) {
        allOpen.complete(openSessions);
      }
    }

    @Override
    public Connection.Handler opened(Connection connection) {
      pendingSetups--;
      openSessions.add(connection);
      Connection.Handler handler = handlers.get();
      reactor.schedule(0, this::openMore);
      return handler;
    }

    @Override
    public void refused(String answer, long retryNanos) {
      lastRefusal = "the last failure was: " + answer;
      reactor.schedule(
          retryNanos,
          () -> {
            pendingSetups--;
            openMore();
          });
    }
  }

  private static final class SetupHandler implements Connection.Handler {
    private final String openLine;
    private final SetupListener listener;
    private final StringBuilder answer = new StringBuilder();

    SetupHandler(String openLine, SetupListener listener) {
      this.openLine = openLine;
      this.listener = listener;
    }

    @Override
    public void connected(Connection connection) {
      connection.writeLine(openLine);
    }

    @Override
    public void received(Connection connection, ByteBuffer bytes) {
      while (bytes.hasRemaining()) {
        char c = (char) (bytes.get() & 0xff);
        if (c == '\n') {
          handleAnswer(connection, answer.toString().stripTrailing(), bytes);
          return;
        }
        answer.append(c);
      }
    }

    private void handleAnswer(Connection connection, String text, ByteBuffer remaining) {
      if (text.startsWith("UP ")) {
        Connection.Handler handler = listener.opened(connection);
        connection.setHandler(handler);
        handler.connected(connection);
        if (remaining.hasRemaining() && connection.isOpen()) {
          handler.received(connection, remaining);
        }
        return;
      }
      connection.close();
      long retryNanos = DEFAULT_RETRY_NANOS;
      if (text.matches("BUSY \\d{1,9}")) {
        retryNanos = TimeUnit.MILLISECONDS.toNanos(Long.parseLong(text.substring(5)));
      }
      listener.refused(text, retryNanos);
    }

    @Override
    public void disconnected(Connection connection, IOException cause) {
      listener.refused(
          cause == null ? "connection closed" : String.valueOf(cause.getMessage()),
          DEFAULT_RETRY_NANOS);
    }
  }
}
