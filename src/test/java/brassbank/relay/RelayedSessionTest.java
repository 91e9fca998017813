package brassbank.relay;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.relay.limits.DisconnectDecision;
import brassbank.relay.limits.RelayLimits;
import brassbank.relay.limits.Side;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** How a session ends while its host is writing. */
class RelayedSessionTest {
  private final InMemoryNetwork network = new InMemoryNetwork();
  private final Relay relay = new Relay(network.net, RelayLimits.NONE);
  private final InMemoryNetwork.Peer client = network.connect();
  private final InMemoryNetwork.Peer host = network.connect();
  private final RelayedSession session =
      relay.openSession(1, null, client.link, host.link, new MovingObserver());

  /** Whether the observer has the session moved as soon as the host has answered. */
  private boolean moveOnResponse;

  /** Has the session moved from within the report of an event, as the dispatcher does. */
  private final class MovingObserver implements SessionObserver {
    @Override
    public void requestRelayed() {}

    @Override
    public void responseRelayed() {
      if (moveOnResponse) {
        move();
      }
    }

    @Override
    public void loadReported(String text) {}

    @Override
    public void byeReceived() {}

    @Override
    public void moveReceived() {}

    @Override
    public void ended(boolean byClient, boolean reset) {}

    @Override
    public String slowPeerDisconnected(Side side, DisconnectDecision.Reason reason) {
      return "MOVE";
    }
  }

  private void move() {
    session.sendFinalLine("MOVE", () -> {});
  }

  @BeforeEach
  void start() {
    session.start();
  }

  /** Guards against MOVE within a line: a client got "LOAD 1700MOVE" (review case 2). */
  @Test
  void aMoveDecidedByAResponseWaitsForTheLineThatFollowsInTheSameRead() {
    moveOnResponse = true;
    client.send("m 1\r\n");
    host.send("r 1\r\nLOAD 17");
    host.send("003\r\nr 2\r\n");
    assertThat(client.received()).isEqualTo("r 1\r\nLOAD 17003\r\nMOVE\r\n|END");
  }
}
