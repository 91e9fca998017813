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

/** Repeats at the edge of their window. The real program over sockets. */
class RepeatWindowTest {
  private Site site;

  @BeforeEach
  void open() throws Exception {
    site = new Site();
  }

  @AfterEach
  void close() throws Exception {
    site.close();
  }

  /**
   * A repeat that is decided within its window, whose connect comes up after it: the target has
   * forgotten the first by then, so that the line must not be sent.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aRepeatWhoseConnectOutlastsItsWindowIsNotSent(boolean guarded) throws Exception {
    site.repeats(guarded ? "guarded" : "free", "all", 600);
    site.settings().getAsJsonObject("allowed").addProperty("dial-timeout", 4_000_000);
    site.settings().getAsJsonObject("allowed").addProperty("probes", false);
    Site.Target first = site.target("s-1");
    CountDownLatch listed = new CountDownLatch(1);
    first.answer =
        line -> {
          Site.await(listed);
          return "ERR\r\n";
        };
    site.start(first);
    HttpExchange watch = site.watch();
    try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket one = new Socket(deaf.getInetAddress(), deaf.getLocalPort());
        Socket two = new Socket(deaf.getInetAddress(), deaf.getLocalPort());
        Peer client = site.client("d=4800")) {
      Site.Target late = site.target("s-2");
      late.port = deaf.getLocalPort();
      long sent = System.nanoTime();
      Site.tell(watch, Site.list(2, false, "SERVING", late));
      assertThat(site.logged("target-changed target=s-2")).isNotNull();
      listed.countDown();
      deaf.setSoTimeout(Peer.LIMIT_MILLIS);
      if (guarded) {
        assertThat(client.line()).as("answered once its window is over").startsWith("BUSY");
        assertThat(Site.millisSince(sent)).isLessThan(3_000);
      } else {
        // The same without a window: the connect comes up late, and the line is sent.
        List<Socket> taken = List.of(deaf.accept(), deaf.accept());
        assertThat(new Peer(deaf.accept()).line()).startsWith("OPEN ");
        assertThat(taken).hasSize(2);
      }
      assertThat(one.isConnected() && two.isConnected()).isTrue();
    }
  }
}
