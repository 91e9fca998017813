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

/** A connect comes up late, after its target has begun to leave. The real program over sockets. */
class LateConnectTest {
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
   * The dial's time-out may be longer than the grace of a drain: a line that goes out once the
   * connect is up would go to a target that was told to take nothing new.
   */
  @ParameterizedTest
  @ValueSource(strings = {"DRAINING", "DELETED"})
  void nothingIsSentToATargetThatBeganToLeaveDuringTheConnect(String status) throws Exception {
    site.settings().getAsJsonObject("allowed").addProperty("dial-timeout", 4_000_000);
    site.settings().getAsJsonObject("allowed").addProperty("probes", false);
    // Else the flow would be tried elsewhere long before the connect is given up.
    site.repeats("single_shot", "all", 0);
    Site.Target stays = site.target("s-2");
    // A full backlog keeps a connect from coming up, until those before it are taken.
    try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Socket one = new Socket(deaf.getInetAddress(), deaf.getLocalPort());
        Socket two = new Socket(deaf.getInetAddress(), deaf.getLocalPort())) {
      deaf.setSoTimeout(Peer.LIMIT_MILLIS);
      Site.Target leaves = site.target("s-1");
      leaves.port = deaf.getLocalPort();
      site.start(leaves);
      HttpExchange watch = site.watch();
      try (Peer client = site.client("d=4800")) {
        site.heardAll();
        Site.tell(watch, Site.list(2, false, status, leaves));
        assertThat(site.logged("status=" + status)).isNotNull();
        Site.tell(watch, Site.list(3, false, "SERVING", stays));
        List<Socket> before = List.of(deaf.accept(), deaf.accept());
        try (Peer late = new Peer(deaf.accept())) {
          assertThat(late.line()).as("no line for it").isIn(null, "RESET");
        }
        assertThat(client.line()).as("served by another").isEqualTo("UP r-1");
        assertThat(stays.opened()).isNotNull();
        assertThat(before).hasSize(2);
      }
      assertThat(one.isConnected() && two.isConnected()).isTrue();
    }
  }
}
