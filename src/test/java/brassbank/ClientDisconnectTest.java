package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A client disconnects at different moments of its flow. The real program over sockets. */
class ClientDisconnectTest {
  private ProxyFixture fixture;

  @BeforeEach
  void open() throws Exception {
    fixture = new ProxyFixture();
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private enum Disconnect {
    CLOSES,
    HALF_CLOSES,
    RESETS;

    void applyTo(Peer client) throws Exception {
      switch (this) {
        case CLOSES -> client.close();
        case HALF_CLOSES -> client.socket.shutdownOutput();
        default -> client.reset();
      }
    }
  }

  /** The connect is abandoned with its flow: no line may be sent when it is established later. */
  @ParameterizedTest
  @EnumSource(Disconnect.class)
  void aPendingConnectSendsNothingForAClientThatHasDisconnected(Disconnect disconnect)
      throws Exception {
    fixture.settings().getAsJsonObject("allowed").addProperty("dial-timeout", 4_000_000);
    fixture.settings().getAsJsonObject("allowed").addProperty("probes", false);
    // A full backlog delays a connect until one of the earlier connections is accepted.
    try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket one = new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort());
        Socket two = new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort())) {
      ProxyFixture.Target target = fixture.addTarget("s-1");
      target.port = unresponsive.getLocalPort();
      fixture.start(target);
      Peer client = fixture.connectClient("a1", "d=4800");
      fixture.awaitInputProcessed();
      disconnect.applyTo(client);
      if (disconnect == Disconnect.HALF_CLOSES) {
        assertThat(client.line()).isNull();
      }
      fixture.awaitInputProcessed();
      unresponsive.setSoTimeout(Peer.LIMIT_MILLIS);
      List<Socket> accepted =
          new ArrayList<>(List.of(unresponsive.accept(), unresponsive.accept()));
      try (Peer nextClient = fixture.connectClient("a1", "d=4800");
          Socket nextConnection = unresponsive.accept()) {
        accepted.add(nextConnection);
        // The established connection is that of the next flow, whose id is free again.
        assertThat(new Peer(nextConnection).line()).startsWith("OPEN a1 ");
        nextConnection.getOutputStream().write("UP r-9\r\n".getBytes());
        assertThat(nextClient.line()).isEqualTo("UP r-9");
      }
      assertThat(one.isConnected() && two.isConnected()).isTrue();
      client.close();
    }
  }

  /** The first attempt fails after its client has disconnected. */
  @ParameterizedTest
  @EnumSource(Disconnect.class)
  void noFurtherAttemptStartsForAClientThatHasDisconnected(Disconnect disconnect) throws Exception {
    ProxyFixture.Target first = fixture.addTarget("s-1");
    ProxyFixture.Target second = fixture.addTarget("s-2");
    CountDownLatch disconnected = new CountDownLatch(1);
    first.openResponse =
        line -> {
          ProxyFixture.await(disconnected);
          return "ERR\r\n";
        };
    fixture.start(first);
    HttpExchange watch = fixture.nextWatch();
    ProxyFixture.sendLine(watch, ProxyFixture.targetList(2, true, "SERVING", first));
    Peer client = fixture.connectClient("a1", "d=4800");
    fixture.awaitInputProcessed();
    ProxyFixture.sendLine(watch, ProxyFixture.targetList(3, true, "SERVING", first, second));
    disconnect.applyTo(client);
    fixture.awaitInputProcessed();
    disconnected.countDown();
    first.openResponse = line -> "ERR\r\n";
    // An attempt of the first flow would have arrived by the time that a flow with its id is
    // served.
    try (Peer next = fixture.connectClient("a1", "d=4800")) {
      assertThat(next.line()).isEqualTo("UP r-1");
      assertThat(second.nextFlow()).isNotNull();
      assertThat(second.flows).as("further attempts").isEmpty();
    }
    client.close();
  }
}
