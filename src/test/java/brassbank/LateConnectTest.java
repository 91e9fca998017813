package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A connect is established after its target has started to drain. The real program over sockets.
 */
class LateConnectTest {
  private ProxyFixture fixture;

  @BeforeEach
  void open() throws Exception {
    fixture = new ProxyFixture();
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /**
   * The connect time-out may exceed the drain grace period. A line sent once the connect is
   * established would then go to a target that must not receive new flows.
   */
  @ParameterizedTest
  @ValueSource(strings = {"DRAINING", "DELETED"})
  void sendsNothingToATargetThatStartedToDrainDuringTheConnect(String status) throws Exception {
    fixture.settings().getAsJsonObject("allowed").addProperty("dial-timeout", 4_000_000);
    fixture.settings().getAsJsonObject("allowed").addProperty("probes", false);
    // Otherwise the flow would be sent to the other target before the connect times out.
    fixture.configureRepeats("single_shot", "all", 0);
    ProxyFixture.Target serving = fixture.addTarget("s-2");
    // A full backlog delays a connect until the earlier connections are accepted.
    try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket one = new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort());
        Socket two = new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort())) {
      unresponsive.setSoTimeout(Peer.LIMIT_MILLIS);
      ProxyFixture.Target leaving = fixture.addTarget("s-1");
      leaving.port = unresponsive.getLocalPort();
      fixture.start(leaving);
      HttpExchange watch = fixture.nextWatch();
      try (Peer client = fixture.connectClient("d=4800")) {
        fixture.awaitInputProcessed();
        ProxyFixture.sendLine(watch, ProxyFixture.targetList(2, false, status, leaving));
        assertThat(fixture.awaitLogLine("status=" + status)).isNotNull();
        ProxyFixture.sendLine(watch, ProxyFixture.targetList(3, false, "SERVING", serving));
        List<Socket> accepted = List.of(unresponsive.accept(), unresponsive.accept());
        try (Peer late = new Peer(unresponsive.accept())) {
          assertThat(late.line()).as("nothing is sent").isIn(null, "RESET");
        }
        assertThat(client.line()).as("served by another").isEqualTo("UP r-1");
        assertThat(serving.nextFlow()).isNotNull();
        assertThat(accepted).hasSize(2);
      }
      assertThat(one.isConnected() && two.isConnected()).isTrue();
    }
  }
}
