package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The order of PING and a first line at a proxy that is not ready. The real program over sockets.
 */
class FirstLineTest {
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
   * PONG is delayed until a target is known. A first line that is sent before PONG violates the
   * protocol; it was accepted once, and PONG was sent as its answer.
   */
  @Test
  void rejectsALineThatIsSentBeforePong() throws Exception {
    ProxyFixture.Target target = fixture.addTarget("s-1");
    fixture.config.add(
        "known", JsonParser.parseString(ProxyFixture.targetList(1, true, "SERVING")));
    fixture.launch(fixture.config.toString());
    HttpExchange watch = fixture.nextWatch();
    try (Peer early = Peer.to(fixture.clientAddress).send("PING\r\n")) {
      fixture.awaitInputProcessed();
      early.send("OPEN a1 key-1 c=preview,t=kelvin-stone,d=4800\r\n");
      fixture.awaitInputProcessed();
      ProxyFixture.sendLine(watch, ProxyFixture.targetList(2, true, "SERVING", target));
      assertThat(early.line()).startsWith("ERR");
      assertThat(early.line()).isNull();
    }
    try (Peer client = fixture.connectClient("a1", "d=4800")) {
      assertThat(client.line()).as("the id is free").isEqualTo("UP r-1");
    }
  }
}
