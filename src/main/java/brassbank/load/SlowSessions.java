package brassbank.load;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * A constant number of slow sessions of three kinds: with clients that read slowly, with clients
 * that write slowly, and with hosts that write slowly. A client whose session has ended reconnects,
 * as real clients do.
 */
final class SlowSessions {
  /** A small receive buffer, so that the kernel's buffer fills up soon. */
  private static final int RECEIVE_BUFFER_BYTES = 4096;

  private static final long RECONNECT_DELAY_NANOS = 500_000_000;

  /** The mode of the stub host, and a factory of clients that takes the callback for the end. */
  private record PeerKind(String hostMode, Function<Runnable, SlowPeer> clientFactory) {}

  private final TestBed testBed;
  private final SessionOpener opener;
  private final Set<SlowPeer> peers = new LinkedHashSet<>();
  private final Map<SlowPeer.SessionOutcome, Integer> outcomeCounts =
      new EnumMap<>(SlowPeer.SessionOutcome.class);
  private boolean isClosing;

  SlowSessions(TestBed testBed) {
    this.testBed = testBed;
    opener =
        new SessionOpener(
            testBed.slowClients, testBed.proxy, testBed.options, RECEIVE_BUFFER_BYTES);
  }

  /** Opens all slow sessions and blocks until they are open. */
  void open() {
    double rate = testBed.options.slowBytesPerSecond;
    open(
        testBed.options.slowReaders,
        new PeerKind(
            "pour:" + testBed.options.pourBytesPerSecond, onEnd -> new SlowReader(rate, onEnd)));
    open(testBed.options.slowWriters, new PeerKind("mute", onEnd -> new SlowWriter(rate, onEnd)));
    open(testBed.options.slowHosts, new PeerKind("pour:" + rate, SlowPeer::new));
  }

  private void open(int count, PeerKind kind) {
    if (count > 0) {
      opener.open(count, kind.hostMode(), () -> newPeer(kind));
    }
  }

  private SlowPeer newPeer(PeerKind kind) {
    SlowPeer[] created = new SlowPeer[1];
    created[0] = kind.clientFactory().apply(() -> peerEnded(created[0], kind));
    peers.add(created[0]);
    return created[0];
  }

  private void peerEnded(SlowPeer peer, PeerKind kind) {
    peers.remove(peer);
    outcomeCounts.merge(peer.outcome(), 1, Integer::sum);
    if (!isClosing) {
      testBed.slowClients.schedule(RECONNECT_DELAY_NANOS, () -> reconnect(kind));
    }
  }

  private void reconnect(PeerKind kind) {
    if (isClosing) {
      return;
    }
    opener.open(
        kind.hostMode(),
        new SessionOpener.SetupListener() {
          @Override
          public Connection.Handler opened(Connection connection) {
            return newPeer(kind);
          }

          @Override
          public void refused(String answer, long retryNanos) {
            testBed.slowClients.schedule(retryNanos, () -> reconnect(kind));
          }
        });
  }

  /**
   * Reads the pending data of all slow sessions at full speed, so that each can see its final
   * message, and closes those still open after 0.5 s.
   *
   * @return the number of sessions by outcome since the start
   */
  Map<SlowPeer.SessionOutcome, Integer> closeAll() {
    testBed.slowClients.run(
        () -> {
          isClosing = true;
          peers.forEach(SlowPeer::readAtFullSpeed);
        });
    TestBed.sleep(500);
    return testBed.slowClients.call(
        () -> {
          outcomeCounts.put(SlowPeer.SessionOutcome.STANDS, peers.size());
          peers.forEach(peer -> peer.connection().close());
          return outcomeCounts;
        });
  }
}
