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

/** A client goes at each moment of its flow. The real program over sockets. */
class ClientGoesTest {
  private Site site;

  @BeforeEach
  void open() throws Exception {
    site = new Site();
  }

  @AfterEach
  void close() throws Exception {
    site.close();
  }

  private enum Going {
    CLOSES,
    HALF_CLOSES,
    RESETS;

    void of(Peer client) throws Exception {
      switch (this) {
        case CLOSES -> client.close();
        case HALF_CLOSES -> client.socket.shutdownOutput();
        default -> client.reset();
      }
    }
  }

  /** Its connect is given up: once the target could take it, no line comes. */
  @ParameterizedTest
  @EnumSource(Going.class)
  void aConnectUnderWaySendsNothingForAClientThatHasGone(Going going) throws Exception {
    site.settings().getAsJsonObject("allowed").addProperty("dial-timeout", 4_000_000);
    site.settings().getAsJsonObject("allowed").addProperty("probes", false);
    // A full backlog keeps a connect from coming up, until one of those before it is taken.
    try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket one = new Socket(deaf.getInetAddress(), deaf.getLocalPort());
        Socket two = new Socket(deaf.getInetAddress(), deaf.getLocalPort())) {
      Site.Target target = site.target("s-1");
      target.port = deaf.getLocalPort();
      site.start(target);
      Peer client = site.client("a1", "d=4800");
      site.heardAll();
      going.of(client);
      if (going == Going.HALF_CLOSES) {
        assertThat(client.line()).isNull();
      }
      site.heardAll();
      deaf.setSoTimeout(Peer.LIMIT_MILLIS);
      List<Socket> taken = new ArrayList<>(List.of(deaf.accept(), deaf.accept()));
      try (Peer again = site.client("a1", "d=4800");
          Socket next = deaf.accept()) {
        taken.add(next);
        // The one that comes up is the next flow's, under the id that is free again.
        assertThat(new Peer(next).line()).startsWith("OPEN a1 ");
        next.getOutputStream().write("UP r-9\r\n".getBytes());
        assertThat(again.line()).isEqualTo("UP r-9");
      }
      assertThat(one.isConnected() && two.isConnected()).isTrue();
      client.close();
    }
  }

  /** Between two attempts: the first has failed by the time that its client has gone. */
  @ParameterizedTest
  @EnumSource(Going.class)
  void noFurtherAttemptBeginsForAClientThatHasGone(Going going) throws Exception {
    Site.Target first = site.target("s-1");
    Site.Target second = site.target("s-2");
    CountDownLatch gone = new CountDownLatch(1);
    first.answer =
        line -> {
          Site.await(gone);
          return "ERR\r\n";
        };
    site.start(first);
    HttpExchange watch = site.watch();
    Site.tell(watch, Site.list(2, true, "SERVING", first));
    Peer client = site.client("a1", "d=4800");
    site.heardAll();
    Site.tell(watch, Site.list(3, true, "SERVING", first, second));
    going.of(client);
    site.heardAll();
    gone.countDown();
    first.answer = line -> "ERR\r\n";
    // By the next flow's end, under the same id, whatever the first had begun would have come.
    try (Peer next = site.client("a1", "d=4800")) {
      assertThat(next.line()).isEqualTo("UP r-1");
      assertThat(second.opened()).isNotNull();
      assertThat(second.opened).as("further attempts").isEmpty();
    }
    client.close();
  }
}
