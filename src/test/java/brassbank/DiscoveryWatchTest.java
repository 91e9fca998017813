package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import java.nio.file.Files;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Watches on the target list that fall silent, end or send malformed data. The real program over
 * sockets.
 */
class DiscoveryWatchTest {
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
   * A watch falls silent, and the call that renews it hangs. The proxy must act on a change that
   * discovery publishes meanwhile within 6 s of the beginning of the silence.
   */
  @Test
  void renewsASilentWatchInTimeEvenIfTheNextCallHangs() throws Exception {
    ProxyFixture.Target leaves = fixture.addTarget("s-1");
    ProxyFixture.Target stays = fixture.addTarget("s-2");
    fixture.start(leaves, stays);
    ProxyFixture.sendLine(
        fixture.nextWatch(), ProxyFixture.targetList(2, true, "SERVING", leaves, stays));
    long silent = System.nanoTime();
    HttpExchange hangs = fixture.nextWatch();
    HttpExchange beside = fixture.nextWatch();
    ProxyFixture.sendLine(beside, ProxyFixture.targetList(3, false, "DRAINING", leaves));
    assertThat(fixture.awaitLogLine("status=DRAINING")).isNotNull();
    assertThat(ProxyFixture.millisSince(silent)).isBetween(2_000L, 5_000L);
    for (int i = 0; i < 6; i++) {
      try (Peer client = fixture.connectClient("d=2000")) {
        assertThat(client.line()).isEqualTo("UP r-1");
        assertThat(stays.nextFlow()).isNotNull();
      }
    }
    assertThat(leaves.flows).isEmpty();
    hangs.close();
  }

  /**
   * A watch on a list that does not change sends only the head of the response. That must not be
   * taken for a hanging call.
   */
  @Test
  void doesNotReplaceAWatchThatHasSentOnlyItsHead() throws Exception {
    ProxyFixture.Target target = fixture.addTarget("s-1");
    fixture.start(target);
    HttpExchange first = fixture.nextWatch();
    ProxyFixture.sendLine(first, ProxyFixture.targetList(2, true, "SERVING", target));
    first.close();
    HttpExchange second = fixture.nextWatch();
    second.sendResponseHeaders(200, 0);
    second.getResponseBody().flush();
    // Later than a second call would arrive, and before the watch counts as silent.
    assertThat(fixture.watches.poll(2_000, TimeUnit.MILLISECONDS)).isNull();
    ProxyFixture.sendLine(second, "");
    ProxyFixture.sendLine(second, ProxyFixture.targetList(3, false, "SERVING", target));
    assertThat(fixture.awaitLogLine("target-changed")).isNotNull();
  }

  /** Discovery may send indented lists, on a watch as well. */
  @Test
  void acceptsAnIndentedListOnAWatch() throws Exception {
    ProxyFixture.Target leaves = fixture.addTarget("s-1");
    ProxyFixture.Target stays = fixture.addTarget("s-2");
    fixture.start(leaves, stays);
    HttpExchange watch = fixture.nextWatch();
    JsonObject list =
        JsonParser.parseString(ProxyFixture.targetList(2, false, "DRAINING", leaves))
            .getAsJsonObject();
    ProxyFixture.sendLine(watch, new GsonBuilder().setPrettyPrinting().create().toJson(list));
    assertThat(fixture.awaitLogLine("status=DRAINING")).isNotNull();
    try (Peer client = fixture.connectClient("d=2000")) {
      assertThat(client.line()).isEqualTo("UP r-1");
      assertThat(stays.nextFlow()).isNotNull();
    }
    assertThat(Files.readString(fixture.logFile())).doesNotContain("list-bad");
  }

  /** A watch that sends half an object and then its keep-alive line is renewed. */
  @Test
  void renewsAWatchThatSendsHalfAnObject() throws Exception {
    ProxyFixture.Target target = fixture.addTarget("s-1");
    fixture.start(target);
    HttpExchange watch = fixture.nextWatch();
    ProxyFixture.sendLine(watch, "{\"index\":2,\"endpoints\":[");
    ProxyFixture.sendLine(watch, "");
    assertThat(fixture.awaitLogLine("list-bad")).isNotNull();
    HttpExchange next = fixture.nextWatch();
    assertThat(next.getRequestURI().getQuery() == null ? fixture.nextWatch() : next).isNotNull();
  }
}
