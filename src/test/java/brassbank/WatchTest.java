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

/** What a watch on the list does at the wrong moment. The real program over sockets. */
class WatchTest {
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
   * A watch falls silent, and the call that is to renew it hangs. What discovery learns meanwhile
   * counts as told 6 s after the silence began.
   */
  @Test
  void aSilentWatchIsRenewedInTimeThoughTheNextCallHangs() throws Exception {
    Site.Target leaves = site.target("s-1");
    Site.Target stays = site.target("s-2");
    site.start(leaves, stays);
    Site.tell(site.watch(), Site.list(2, true, "SERVING", leaves, stays));
    long silent = System.nanoTime();
    HttpExchange hangs = site.watch();
    HttpExchange beside = site.watch();
    Site.tell(beside, Site.list(3, false, "DRAINING", leaves));
    assertThat(site.logged("status=DRAINING")).isNotNull();
    assertThat(Site.millisSince(silent)).isBetween(2_000L, 5_000L);
    for (int i = 0; i < 6; i++) {
      try (Peer client = site.client("d=2000")) {
        assertThat(client.line()).isEqualTo("UP r-1");
        assertThat(stays.opened()).isNotNull();
      }
    }
    assertThat(leaves.opened).isEmpty();
    hangs.close();
  }

  /**
   * A watch on a list that does not change says nothing but its head: that is no call that hangs.
   */
  @Test
  void aWatchThatHasNothingToTellIsNotAskedForTwice() throws Exception {
    Site.Target target = site.target("s-1");
    site.start(target);
    HttpExchange first = site.watch();
    Site.tell(first, Site.list(2, true, "SERVING", target));
    first.close();
    HttpExchange second = site.watch();
    second.sendResponseHeaders(200, 0);
    second.getResponseBody().flush();
    // Well past the time for a second call, and before its silence is one.
    assertThat(site.watches.poll(2_000, TimeUnit.MILLISECONDS)).isNull();
    Site.tell(second, "");
    Site.tell(second, Site.list(3, false, "SERVING", target));
    assertThat(site.logged("target-changed")).isNotNull();
  }

  /** STANDING: lists may come indented, on a watch as well. */
  @Test
  void anIndentedListOnAWatchIsOneList() throws Exception {
    Site.Target leaves = site.target("s-1");
    Site.Target stays = site.target("s-2");
    site.start(leaves, stays);
    HttpExchange watch = site.watch();
    JsonObject list =
        JsonParser.parseString(Site.list(2, false, "DRAINING", leaves)).getAsJsonObject();
    Site.tell(watch, new GsonBuilder().setPrettyPrinting().create().toJson(list));
    assertThat(site.logged("status=DRAINING")).isNotNull();
    try (Peer client = site.client("d=2000")) {
      assertThat(client.line()).isEqualTo("UP r-1");
      assertThat(stays.opened()).isNotNull();
    }
    assertThat(Files.readString(site.log())).doesNotContain("list-bad");
  }

  /** Half an object, and then the empty line of a watch that lives: it is asked for anew. */
  @Test
  void halfAnObjectOnAWatchThatGoesOnIsAskedForAgain() throws Exception {
    Site.Target target = site.target("s-1");
    site.start(target);
    HttpExchange watch = site.watch();
    Site.tell(watch, "{\"index\":2,\"endpoints\":[");
    Site.tell(watch, "");
    assertThat(site.logged("list-bad")).isNotNull();
    HttpExchange next = site.watch();
    assertThat(next.getRequestURI().getQuery() == null ? site.watch() : next).isNotNull();
  }
}
