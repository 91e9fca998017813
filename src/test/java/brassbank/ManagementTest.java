package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Management requests to the real program. */
class ManagementTest {
  private static final String OK = "HTTP/1.1 200 OK";

  private final List<Peer> peers = new ArrayList<>();
  private ProxyFixture fixture;
  private ProxyFixture.Target target;

  @BeforeEach
  void open() throws Exception {
    fixture = new ProxyFixture();
    target = fixture.addTarget("s-1");
    fixture.start(target);
  }

  @AfterEach
  void close() throws Exception {
    for (Peer peer : peers) {
      peer.close();
    }
    fixture.close();
  }

  private Peer closedAfterTest(Peer peer) {
    peers.add(peer);
    return peer;
  }

  private static long millisSince(long start) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
  }

  @Test
  void standbyMovesAllClientsInTimeAndActiveAcceptsClientsAgainAtOnce() throws Exception {
    Peer idleClient = closedAfterTest(Peer.to(fixture.clientAddress)).send("PING\r\n");
    assertThat(idleClient.line()).isEqualTo("PONG");
    assertThat(fixture.managementCall("GET /status")).isEqualTo(OK);
    for (int i = 0; i < 40; i++) {
      Peer client = closedAfterTest(fixture.connectClient("d=4000"));
      assertThat(client.line()).isEqualTo("UP r-1");
    }
    long start = System.nanoTime();
    assertThat(fixture.managementCall("PUT /standby")).isEqualTo(OK);
    assertThat(idleClient.send("PING\r\n").line()).as("on the open connection").isEqualTo("BUSY");
    assertThat(fixture.managementCall("GET /status")).startsWith("HTTP/1.1 503");
    assertThat(fixture.managementCall("PUT /standby")).as("the second request").isEqualTo(OK);
    Peer late = closedAfterTest(fixture.connectClient("d=4000"));
    assertThat(late.line()).as("a client that still arrives is served").isEqualTo("UP r-1");
    for (Peer client : peers.subList(1, peers.size())) {
      assertThat(client.line()).isEqualTo("MOVE");
      assertThat(client.line()).isNull();
    }
    assertThat(millisSince(start)).isBetween(2_000L, 3_700L);
    for (int i = 0; !fixture.statusText().equals("standby flows=0"); i++) {
      assertThat(i).as("polls of a proxy without clients").isLessThan(500);
    }
    assertThat(fixture.connectClient("d=4000").line()).as("in standby").startsWith("BUSY");

    assertThat(fixture.managementCall("PUT /active")).isEqualTo(OK);
    assertThat(idleClient.send("PING\r\n").line()).isEqualTo("PONG");
    assertThat(closedAfterTest(fixture.connectClient("d=4000")).line()).isEqualTo("UP r-1");
  }

  @Test
  void aProxyActivatedDuringADrainKeepsItsClients() throws Exception {
    Peer client = closedAfterTest(fixture.connectClient("d=4000"));
    assertThat(client.line()).isEqualTo("UP r-1");
    fixture.managementCall("PUT /standby");
    assertThat(fixture.managementCall("PUT /active")).isEqualTo(OK);
    Peer targetSide = target.nextFlow();
    Thread.sleep(3_500);
    client.send("m 1\r\n");
    assertThat(targetSide.line()).isEqualTo("m 1");
  }

  @Test
  void aStoppingProxyCannotBeActivated() throws Exception {
    assertThat(closedAfterTest(fixture.connectClient("d=4000")).line()).isEqualTo("UP r-1");
    fixture.signal("TERM");
    for (int i = 0; fixture.managementCall("GET /status").equals(OK); i++) {
      assertThat(i).isLessThan(500);
    }
    assertThat(fixture.managementCall("PUT /active")).startsWith("HTTP/1.1 409");
  }

  /** Neither stalled callers nor hundreds of clients may delay a management request. */
  @Test
  void answersWithinASecondDespiteStalledCallersAndAFloodOfClients() throws Exception {
    Thread flood = new Thread(this::flood);
    flood.start();
    long worst = 0;
    for (int i = 0; i < 200; i++) {
      closedAfterTest(Peer.to(fixture.managementAddress))
          .send(i % 3 == 0 ? "" : "GET /status HTTP/1.1\r\nHost");
      if (i % 10 == 9) {
        long start = System.nanoTime();
        assertThat(fixture.managementCall("GET /status")).isEqualTo(OK);
        worst = Math.max(worst, millisSince(start));
      }
    }
    flood.interrupt();
    flood.join();
    assertThat(worst).isLessThan(1_000);
    // New connections replace the oldest one; the last ones stay until their request times out.
    assertThat(peers.get(0).line()).isEqualTo("HTTP/1.1 408 Request Timeout");
    assertThat(peers.get(199).line()).isEqualTo("HTTP/1.1 408 Request Timeout");
  }

  private void flood() {
    List<Peer> flooding = new ArrayList<>();
    try {
      while (!Thread.currentThread().isInterrupted()) {
        flooding.add(fixture.connectClient("d=4000"));
        if (flooding.size() > 400) {
          flooding.remove(0).close();
        }
      }
    } catch (java.io.IOException e) {
      // The proxy may refuse the clients.
    }
    flooding.forEach(
        peer -> {
          try {
            peer.close();
          } catch (java.io.IOException e) {
            // The connection is closed already.
          }
        });
  }

  @Test
  void answersARequestThatIsSplitAtAnyByte() throws Exception {
    String call = "PUT /active HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab";
    for (int cut = 1; cut < call.length(); cut++) {
      Peer operator =
          closedAfterTest(Peer.to(fixture.managementAddress)).send(call.substring(0, cut));
      Thread.sleep(2);
      operator.send(call.substring(cut));
      assertThat(operator.line()).as("cut at " + cut).isEqualTo(OK);
    }
  }
}
