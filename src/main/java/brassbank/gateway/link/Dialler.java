package brassbank.gateway.link;

import static brassbank.log.Field.value;

import brassbank.log.Log;
import brassbank.net.Channel;
import brassbank.net.EventLoop;
import brassbank.net.Network;
import java.io.IOException;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Keeps the number of links to one peer: opens a connection for each that is missing, and after one
 * that failed pauses, each time about twice as long. It owns the connects that are under way.
 */
final class Dialler {
  private static final Log LOG = Log.of("link");

  /** Who has the connection from its begin on. */
  interface Taker extends BiConsumer<Channel, Dialler> {}

  private final Io io;
  private final Network network;
  private final LinkSettings settings;
  private final LinkSettings.Peer peer;
  private final RandomGenerator chance;
  private final IntSupplier kept;
  private final Taker taker;

  /** Connections that are not up: connects, and those that have been handed to the taker. */
  private int settingUp;

  private int failures;
  private String told;
  private EventLoop.Timer pause;
  private boolean over;

  /**
   * @param kept how many links there are that count
   * @param taker gets each connection; it tells {@link #up} or {@link #failed} of it once
   */
  Dialler(
      Io io,
      Network network,
      LinkSettings settings,
      LinkSettings.Peer peer,
      RandomGenerator chance,
      IntSupplier kept,
      Taker taker) {
    this.io = io;
    this.network = network;
    this.settings = settings;
    this.peer = peer;
    this.chance = chance;
    this.kept = kept;
    this.taker = taker;
  }

  LinkSettings.Peer peer() {
    return peer;
  }

  /** Opens what is missing, unless a pause goes on. */
  void see() {
    while (!over && pause == null && kept.getAsInt() + settingUp < peer.links()) {
      settingUp++;
      new Connecting().start();
    }
  }

  /** One connect, within its time. */
  private final class Connecting implements Network.ConnectHandler {
    private Network.Attempt attempt;
    private EventLoop.Timer limit;

    void start() {
      limit =
          io.loop()
              .schedule(
                  settings.setupMicros(),
                  () -> {
                    attempt.cancel();
                    Dialler.this.failed("no connection in time");
                  });
      attempt = network.connect(peer.address(), this);
    }

    @Override
    public void connected(Channel channel) {
      limit.cancel();
      EventLoop.runGuarded(
          () -> {
            if (over) {
              channel.reset();
            } else {
              taker.accept(channel, Dialler.this);
            }
          });
    }

    @Override
    public void failed(IOException cause) {
      limit.cancel();
      EventLoop.runGuarded(() -> Dialler.this.failed(String.valueOf(cause.getMessage())));
    }
  }

  /** A connection has come to be a link. */
  void up() {
    settingUp--;
    told = null;
  }

  /** A link has lasted: the peer is well again. */
  void lasted() {
    failures = 0;
  }

  /** A connection has not come to be a link, or one that soon ended. */
  void failed(String reason) {
    settingUp--;
    failedLater(reason);
  }

  void failedLater(String reason) {
    if (over) {
      return;
    }
    if (!reason.equals(told)) {
      told = reason;
      LOG.warn(
          "link-unreachable",
          value("peer", peer.gateway()),
          value("address", peer.address()),
          value("reason", reason));
    }
    if (pause == null) {
      long most = settings.mostRetryMicros();
      long span = Math.min(most, settings.retryMicros() << Math.min(20, failures++));
      // Spread over half of it, so that gateways that lost one another do not all come at once.
      long micros = span / 2 + chance.nextLong(span / 2 + 1);
      pause =
          io.loop()
              .schedule(
                  micros,
                  () -> {
                    pause = null;
                    see();
                  });
    }
  }

  /** Opens nothing more; what is under way is given back as it comes up. */
  void close() {
    over = true;
    if (pause != null) {
      pause.cancel();
    }
  }
}
