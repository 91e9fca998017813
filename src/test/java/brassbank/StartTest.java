package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Starts from the configured target list while discovery is unavailable. The real program over
 * sockets.
 */
class StartTest {
  /** The operators require nine of ten starts within this time. */
  private static final long START_LIMIT_MILLIS = 10_000;

  private ProxyFixture fixture;

  @BeforeEach
  void open() throws Exception {
    fixture = new ProxyFixture();
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  private void assertServesFromItsConfiguredList() throws Exception {
    ProxyFixture.Target target = fixture.addTarget("s-1");
    long start = System.nanoTime();
    fixture.start(target);
    assertThat(ProxyFixture.millisSince(start)).isLessThan(START_LIMIT_MILLIS);
    try (Peer client = fixture.connectClient("d=2000")) {
      assertThat(client.line()).isEqualTo("UP r-1");
    }
  }

  @Test
  void startsWhileDiscoveryIsDown() throws Exception {
    fixture.stopDiscovery();
    assertServesFromItsConfiguredList();
  }

  @Test
  void startsWhileDiscoveryAcceptsNoConnection() throws Exception {
    try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<Socket> backlog = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        backlog.add(new Socket(unresponsive.getInetAddress(), unresponsive.getLocalPort()));
      }
      fixture.config.addProperty("discovery", "127.0.0.1:" + unresponsive.getLocalPort());
      assertServesFromItsConfiguredList();
      assertThat(backlog).hasSize(2);
    }
  }

  /** A proxy that receives SIGTERM before its first client stops as planned. */
  @Test
  void aStopBeforeTheFirstClientEndsAsPlanned() throws Exception {
    ProxyFixture.Target target = fixture.addTarget("s-1");
    fixture.start(target);
    fixture.process.destroy();
    assertThat(fixture.process.waitFor()).isZero();
    assertThat(fixture.awaitLogLine("stopped")).isNotNull();
  }
}
