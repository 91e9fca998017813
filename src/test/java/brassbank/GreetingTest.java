package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Orders of PING, a first line, and a proxy that is not ready. The real program over sockets. */
class GreetingTest {
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
   * PONG waits until a target is known. A line that comes before it is one too many: its flow was
   * taken, and PONG came as its answer.
   */
  @Test
  void aLineBeforePongIsTurnedAway() throws Exception {
    Site.Target target = site.target("s-1");
    site.config.add("known", JsonParser.parseString(Site.list(1, true, "SERVING")));
    site.launch(site.config.toString());
    HttpExchange watch = site.watch();
    try (Peer early = Peer.to(site.address).send("PING\r\n")) {
      site.heardAll();
      early.send("OPEN a1 key-1 c=preview,t=kelvin-stone,d=4800\r\n");
      site.heardAll();
      Site.tell(watch, Site.list(2, true, "SERVING", target));
      assertThat(early.line()).startsWith("ERR");
      assertThat(early.line()).isNull();
    }
    try (Peer client = site.client("a1", "d=4800")) {
      assertThat(client.line()).as("its id is free").isEqualTo("UP r-1");
    }
  }
}
