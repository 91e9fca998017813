package brassbank.load;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.HdrHistogram.Histogram;

/**
 * Opens sessions and closes each as soon as it is open, with a fixed number of concurrent set-ups.
 */
final class SetupLoad {
  private static final long MAX_RECORDED_NANOS = 60_000_000_000L;

  /** Nanoseconds from the first connect to the answer UP, including refusals and retry delays. */
  final Histogram delays = new Histogram(MAX_RECORDED_NANOS, 3);

  long refusedSetups;

  private final Reactor reactor;
  private final SessionOpener opener;
  private boolean stopped;

  SetupLoad(Reactor reactor, SessionOpener opener) {
    this.reactor = reactor;
    this.opener = opener;
  }

  /** Starts the concurrent set-ups. Must be called on the reactor's thread. */
  void start(int concurrency) {
    for (int i = 0; i < concurrency; i++) {
      openNext(Reactor.nanoTime());
    }
  }

  /** Stops opening sessions; set-ups under way are no longer recorded. */
  void stop() {
    stopped = true;
  }

  private void openNext(long startNanos) {
    if (stopped) {
      return;
    }
    opener.open(
        "echo",
        new SessionOpener.SetupListener() {
          @Override
          public Connection.Handler opened(Connection connection) {
            if (!stopped) {
              delays.recordValue(Math.min(MAX_RECORDED_NANOS, Reactor.nanoTime() - startNanos));
            }
            reactor.schedule(
                0,
                () -> {
                  connection.close();
                  openNext(Reactor.nanoTime());
                });
            return NO_OP_HANDLER;
          }

          @Override
          public void refused(String answer, long retryNanos) {
            refusedSetups++;
            reactor.schedule(retryNanos, () -> openNext(startNanos));
          }
        });
  }

  private static final Connection.Handler NO_OP_HANDLER =
      new Connection.Handler() {
        @Override
        public void received(Connection connection, ByteBuffer bytes) {}

        @Override
        public void disconnected(Connection connection, IOException cause) {}
      };
}
