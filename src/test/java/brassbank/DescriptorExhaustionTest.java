package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Descriptors run out while discovery, probes and management need some. The real program over
 * sockets.
 */
class DescriptorExhaustionTest {
  private static final int DESCRIPTOR_LIMIT = 160;

  private ProxyFixture fixture;
  private final List<Peer> idleClients = new ArrayList<>();

  @BeforeEach
  void open() throws Exception {
    fixture = new ProxyFixture();
    fixture.config.getAsJsonObject("limits").addProperty("sockets", DESCRIPTOR_LIMIT);
  }

  @AfterEach
  void close() throws Exception {
    for (Peer peer : idleClients) {
      peer.close();
    }
    fixture.close();
  }

  private Duration cpuTime() {
    return fixture.process.info().totalCpuDuration().orElseThrow();
  }

  /** Connects three times as many clients as there are descriptors; some have received PONG. */
  private void connectIdleClients() throws Exception {
    for (int i = 0; i < 3 * DESCRIPTOR_LIMIT; i++) {
      Peer peer = Peer.to(fixture.clientAddress);
      idleClients.add(i % 20 == 0 ? peer.send("PING\r\n") : peer);
    }
  }

  @Test
  void idleClientsTakeNoDescriptorsFromDiscoveryForwardsProbesAndManagement() throws Exception {
    ProxyFixture.Target one = fixture.addTarget("s-1");
    ProxyFixture.Target two = fixture.addTarget("s-2");
    fixture.start(one);
    ProxyFixture.sendLine(fixture.nextWatch(), ProxyFixture.targetList(2, true, "SERVING", one));
    int port = fixture.stopDiscovery();
    assertThat(fixture.awaitLogLine("watch-ended")).isNotNull();
    connectIdleClients();
    try (Peer client = fixture.connectClient("d=4000")) {
      assertThat(client.line()).as("a client among the idle ones").isEqualTo("UP r-1");
      assertThat(one.probes.poll()).as("a probe").isNotNull();
    }
    assertThat(fixture.managementCall("GET /status")).startsWith("HTTP/1.1 200");
    Duration before = cpuTime();
    long from = System.nanoTime();
    fixture.restartDiscovery(port);
    ProxyFixture.sendLine(fixture.nextWatch(), ProxyFixture.targetList(3, true, "SERVING", two));
    long last = ProxyFixture.millisSince(from);
    try (Peer client = fixture.connectClient("d=4000")) {
      assertThat(client.line()).isEqualTo("UP r-1");
      assertThat(two.nextFlow()).as("the new list is in use").isNotNull();
    }
    // An accept that fails and is repeated at once would use a whole core.
    long used = cpuTime().minus(before).toMillis();
    assertThat(used).isLessThan(300 + (ProxyFixture.millisSince(from)) / 2);
    assertThat(last).as("discovery is reached again in time").isLessThan(4_500);
    for (Peer peer : idleClients) {
      peer.close();
    }
    for (int i = 0; i < 20; i++) {
      try (Peer client = fixture.connectClient("d=4000")) {
        assertThat(client.line())
            .as("after the idle clients have disconnected")
            .isEqualTo("UP r-1");
      }
    }
  }
}
