package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The real program under its operators' calls. */
class OperatorsTest {
  private static final String YES = "HTTP/1.1 200 OK";

  private final List<Peer> peers = new ArrayList<>();
  private Site site;
  private Site.Target target;

  @BeforeEach
  void open() throws Exception {
    site = new Site();
    target = site.target("s-1");
    site.start(target);
  }

  @AfterEach
  void close() throws Exception {
    for (Peer peer : peers) {
      peer.close();
    }
    site.close();
  }

  private Peer kept(Peer peer) {
    peers.add(peer);
    return peer;
  }

  private static long millisSince(long start) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
  }

  @Test
  void standbyMovesAllClientsInTimeAndActiveTakesThemAgainAtOnce() throws Exception {
    Peer front = kept(Peer.to(site.address)).send("PING\r\n");
    assertThat(front.line()).isEqualTo("PONG");
    assertThat(site.call("GET /status")).isEqualTo(YES);
    for (int i = 0; i < 40; i++) {
      Peer client = kept(site.client("d=4000"));
      assertThat(client.line()).isEqualTo("UP r-1");
    }
    long start = System.nanoTime();
    assertThat(site.call("PUT /standby")).isEqualTo(YES);
    assertThat(front.send("PING\r\n").line()).as("on the kept connection").isEqualTo("BUSY");
    assertThat(site.call("GET /status")).startsWith("HTTP/1.1 503");
    assertThat(site.call("PUT /standby")).as("the second call").isEqualTo(YES);
    Peer late = kept(site.client("d=4000"));
    assertThat(late.line()).as("what still arrives is served").isEqualTo("UP r-1");
    for (Peer client : peers.subList(1, peers.size())) {
      assertThat(client.line()).isEqualTo("MOVE");
      assertThat(client.line()).isNull();
    }
    assertThat(millisSince(start)).isBetween(2_000L, 3_700L);
    for (int i = 0; !site.state().equals("standby flows=0"); i++) {
      assertThat(i).as("looks at a proxy that holds nobody").isLessThan(500);
    }
    assertThat(site.client("d=4000").line()).as("in standby").startsWith("BUSY");

    assertThat(site.call("PUT /active")).isEqualTo(YES);
    assertThat(front.send("PING\r\n").line()).isEqualTo("PONG");
    assertThat(kept(site.client("d=4000")).line()).isEqualTo("UP r-1");
  }

  @Test
  void whoIsCalledBackInTheMidstOfADrainKeepsItsClients() throws Exception {
    Peer client = kept(site.client("d=4000"));
    assertThat(client.line()).isEqualTo("UP r-1");
    site.call("PUT /standby");
    assertThat(site.call("PUT /active")).isEqualTo(YES);
    Peer held = target.opened();
    Thread.sleep(3_500);
    client.send("m 1\r\n");
    assertThat(held.line()).isEqualTo("m 1");
  }

  @Test
  void aProxyThatWillEndIsNotCalledBack() throws Exception {
    assertThat(kept(site.client("d=4000")).line()).isEqualTo("UP r-1");
    site.signal("TERM");
    for (int i = 0; site.call("GET /status").equals(YES); i++) {
      assertThat(i).isLessThan(500);
    }
    assertThat(site.call("PUT /active")).startsWith("HTTP/1.1 409");
  }

  /** Callers who hold theirs, and clients by hundreds, are in no call's way. */
  @Test
  void answersInASecondBesideCallersThatHoldTheirsAndAFloodOfClients() throws Exception {
    Thread flood = new Thread(this::flood);
    flood.start();
    long worst = 0;
    for (int i = 0; i < 200; i++) {
      kept(Peer.to(site.management)).send(i % 3 == 0 ? "" : "GET /status HTTP/1.1\r\nHost");
      if (i % 10 == 9) {
        long start = System.nanoTime();
        assertThat(site.call("GET /status")).isEqualTo(YES);
        worst = Math.max(worst, millisSince(start));
      }
    }
    flood.interrupt();
    flood.join();
    assertThat(worst).isLessThan(1_000);
    // Who has waited longest gives way; the last ones wait on, and are told in the end.
    assertThat(peers.get(0).line()).isEqualTo("HTTP/1.1 408 Request Timeout");
    assertThat(peers.get(199).line()).isEqualTo("HTTP/1.1 408 Request Timeout");
  }

  private void flood() {
    List<Peer> flooding = new ArrayList<>();
    try {
      while (!Thread.currentThread().isInterrupted()) {
        flooding.add(site.client("d=4000"));
        if (flooding.size() > 400) {
          flooding.remove(0).close();
        }
      }
    } catch (java.io.IOException e) {
      // The proxy turns them away, as it may.
    }
    flooding.forEach(
        peer -> {
          try {
            peer.close();
          } catch (java.io.IOException e) {
            // It is gone.
          }
        });
  }

  @Test
  void aCallCutAtEachByteIsAnsweredOnceItIsWhole() throws Exception {
    String call = "PUT /active HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab";
    for (int cut = 1; cut < call.length(); cut++) {
      Peer operator = kept(Peer.to(site.management)).send(call.substring(0, cut));
      Thread.sleep(2);
      operator.send(call.substring(cut));
      assertThat(operator.line()).as("cut at " + cut).isEqualTo(YES);
    }
  }
}
