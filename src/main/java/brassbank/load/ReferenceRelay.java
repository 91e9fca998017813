package brassbank.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * A minimal single-threaded relay: opens a connection to a host for each client and copies bytes in
 * both directions, without a protocol, decisions or limits. It runs as a separate process like the
 * proxy. Its figures show the cost of an intermediate process as such; only the difference between
 * this relay and the proxy is the proxy's own cost.
 */
final class ReferenceRelay {
  private final Reactor reactor = new Reactor("relay");
  private final List<InetSocketAddress> hosts;
  private int openedSessions;

  private ReferenceRelay(List<InetSocketAddress> hosts) {
    this.hosts = hosts;
  }

  /**
   * Relays until standard input is closed.
   *
   * @param args the listening address, then the hosts, each as {@code HOST:PORT}
   */
  public static void main(String[] args) throws IOException {
    List<InetSocketAddress> addresses = List.of(args).stream().map(Route::parseLoopback).toList();
    ReferenceRelay relay = new ReferenceRelay(addresses.subList(1, addresses.size()));
    relay.reactor.listen(addresses.get(0), () -> relay.new RelayEnd(null));
    System.in.transferTo(System.out);
    relay.reactor.close();
  }

  /** One end of a relayed session; writes what it receives to its peer. */
  private final class RelayEnd implements Connection.Handler {
    private RelayEnd peer;
    private Connection connection;

    RelayEnd(RelayEnd peer) {
      this.peer = peer;
    }

    @Override
    public void connected(Connection newConnection) {
      connection = newConnection;
      if (peer == null) {
        peer = new RelayEnd(this);
        connection.setReadPaused(true);
        try {
          reactor.connect(hosts.get(openedSessions++ % hosts.size()), peer, 0);
        } catch (IOException e) {
          connection.reset();
        }
      } else {
        peer.connection.setReadPaused(false);
      }
    }

    @Override
    public void received(Connection from, ByteBuffer bytes) {
      peer.connection.write(bytes);
      if (peer.connection.hasPendingOutput()) {
        connection.setReadPaused(true);
      }
    }

    @Override
    public void writable(Connection to) {
      peer.connection.setReadPaused(false);
    }

    @Override
    public void disconnected(Connection from, IOException cause) {
      if (peer.connection != null) {
        peer.connection.close();
      }
    }
  }
}
