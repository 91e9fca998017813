package brassbank.load;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The client end of a slow session. The outcome of the session is known only after the client has
 * read all data sent before, for which {@link #readAtFullSpeed} removes the limit. This base class
 * reads without a limit and serves sessions whose host is slow; the subclasses are slow themselves.
 */
class SlowPeer implements Connection.Handler {
  /** The last bytes of a session that the proxy moves away: the line {@code MOVE}. */
  private static final String FINAL_MESSAGE = "\r\nMOVE\r\n";

  /** The shortest interval between two paced reads or writes. */
  private static final long MIN_INTERVAL_NANOS = 100_000_000;

  /** The state or outcome of the session. */
  enum SessionOutcome {
    STANDS,
    MOVED,
    ENDED,
    RESET
  }

  private final Runnable onEnd;

  /**
   * The last received bytes, at most as many as {@link #FINAL_MESSAGE} has. Initially the line end
   * of the answer {@code UP}, which was consumed before this handler was installed.
   */
  private final StringBuilder lastBytes = new StringBuilder("\r\n");

  private Connection connection;
  private SessionOutcome outcome = SessionOutcome.STANDS;

  /**
   * Creates a client.
   *
   * @param onEnd runs once, when the session has ended
   */
  SlowPeer(Runnable onEnd) {
    this.onEnd = onEnd;
  }

  /**
   * Runs an action periodically until the connection closes.
   *
   * @param bytesPerSecond the rate over all runs
   * @param action takes the number of bytes that it may read or write in this run
   */
  final void runPaced(double bytesPerSecond, java.util.function.IntConsumer action) {
    int portion = Math.max(1, (int) (bytesPerSecond * MIN_INTERVAL_NANOS / 1e9));
    connection
        .reactor()
        .schedule(
            (long) (portion * 1e9 / bytesPerSecond),
            () -> {
              if (connection.isOpen()) {
                action.accept(portion);
                runPaced(bytesPerSecond, action);
              }
            });
  }

  @Override
  public void connected(Connection newConnection) {
    connection = newConnection;
  }

  @Override
  public final void received(Connection from, ByteBuffer bytes) {
    bytes.position(Math.max(bytes.position(), bytes.limit() - FINAL_MESSAGE.length()));
    while (bytes.hasRemaining()) {
      lastBytes.append((char) (bytes.get() & 0xff));
    }
    lastBytes.delete(0, Math.max(0, lastBytes.length() - FINAL_MESSAGE.length()));
  }

  @Override
  public final void disconnected(Connection from, IOException cause) {
    outcome =
        cause != null
            ? SessionOutcome.RESET
            : lastBytes.toString().equals(FINAL_MESSAGE)
                ? SessionOutcome.MOVED
                : SessionOutcome.ENDED;
    onEnd.run();
  }

  /** Resumes reading without a rate limit. */
  final void readAtFullSpeed() {
    connection.setReadPaused(false);
  }

  final Connection connection() {
    return connection;
  }

  final SessionOutcome outcome() {
    return outcome;
  }
}
