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

/** A start with an old list, whatever discovery does. The real program over sockets. */
class StartTest {
  /** Operators ask for nine in ten within this. */
  private static final long READY_MILLIS = 10_000;

  private Site site;

  @BeforeEach
  void open() throws Exception {
    site = new Site();
  }

  @AfterEach
  void close() throws Exception {
    site.close();
  }

  private void servesFromItsOldList() throws Exception {
    Site.Target target = site.target("s-1");
    long from = System.nanoTime();
    site.start(target);
    assertThat(Site.millisSince(from)).isLessThan(READY_MILLIS);
    try (Peer client = site.client("d=2000")) {
      assertThat(client.line()).isEqualTo("UP r-1");
    }
  }

  @Test
  void isReadyThoughDiscoveryIsDown() throws Exception {
    site.discoveryDown();
    servesFromItsOldList();
  }

  @Test
  void isReadyThoughDiscoveryTakesNoCall() throws Exception {
    try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      List<Socket> before = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        before.add(new Socket(deaf.getInetAddress(), deaf.getLocalPort()));
      }
      site.config.addProperty("discovery", "127.0.0.1:" + deaf.getLocalPort());
      servesFromItsOldList();
      assertThat(before).hasSize(2);
    }
  }

  /** SIGTERM before its first client: it ends as planned, and at once. */
  @Test
  void aStopBeforeTheFirstClientEndsAsPlanned() throws Exception {
    Site.Target target = site.target("s-1");
    site.start(target);
    site.process.destroy();
    assertThat(site.process.waitFor()).isZero();
    assertThat(site.logged("stopped")).isNotNull();
  }
}
