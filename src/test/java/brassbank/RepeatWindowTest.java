package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Repeats that are sent close to the end of their window. The real program over sockets. */
class RepeatWindowTest {
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
   * A repeat is decided within its window, but its connect is established after the window. The
   * target has forgotten the first attempt by then, so that the line must not be sent.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void doesNotSendARepeatWhoseConnectOutlastsItsWindow(boolean guarded) throws Exception {
    fixture.configureRepeats(guarded ? "guarded" : "free", "all", 600);
    fixture.settings().getAsJsonObject("allowed").addProperty("dial-timeout", 4_000_000);
    fixture.settings().getAsJsonObject("allowed").addProperty("probes", false);
    ProxyFixture.Target first = fixture.addTarget("s-1");
    CountDownLatch listed = new CountDownLatch(1);
    first.openResponse =
        line -> {
          ProxyFixture.await(listed);
          return "ERR\r\n";
        };
    fixture.start(first);
    HttpExchange watch = fixture.nextWatch();
    try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket one = new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort());
        Socket two = new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort());
        Peer client = fixture.connectClient("d=4800")) {
      ProxyFixture.Target late = fixture.addTarget("s-2");
      late.port = unresponsive.getLocalPort();
      long sent = System.nanoTime();
      ProxyFixture.sendLine(watch, ProxyFixture.targetList(2, false, "SERVING", late));
      assertThat(fixture.awaitLogLine("target-changed target=s-2")).isNotNull();
      listed.countDown();
      unresponsive.setSoTimeout(Peer.LIMIT_MILLIS);
      if (guarded) {
        assertThat(client.line()).as("answered after the end of the window").startsWith("BUSY");
        assertThat(ProxyFixture.millisSince(sent)).isLessThan(3_000);
      } else {
        // Without a window the line is sent, although the connect is established late.
        List<Socket> accepted = List.of(unresponsive.accept(), unresponsive.accept());
        assertThat(new Peer(unresponsive.accept()).line()).startsWith("OPEN ");
        assertThat(accepted).hasSize(2);
      }
      assertThat(one.isConnected() && two.isConnected()).isTrue();
    }
  }
}
