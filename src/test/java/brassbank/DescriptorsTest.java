package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Descriptors run short at the wrong moment. The real program over sockets. */
class DescriptorsTest {
  private static final int SOCKETS = 160;

  private Site site;
  private final List<Peer> idle = new ArrayList<>();

  @BeforeEach
  void open() throws Exception {
    site = new Site();
    site.config.getAsJsonObject("limits").addProperty("sockets", SOCKETS);
  }

  @AfterEach
  void close() throws Exception {
    for (Peer peer : idle) {
      peer.close();
    }
    site.close();
  }

  private Duration cpu() {
    return site.process.info().totalCpuDuration().orElseThrow();
  }

  /** Three times as many as there are descriptors, some resting after PONG. */
  private void fill() throws Exception {
    for (int i = 0; i < 3 * SOCKETS; i++) {
      Peer peer = Peer.to(site.address);
      idle.add(i % 20 == 0 ? peer.send("PING\r\n") : peer);
    }
  }

  @Test
  void idleClientsTakeNothingFromDiscoveryForwardsProbesAndOperators() throws Exception {
    Site.Target one = site.target("s-1");
    Site.Target two = site.target("s-2");
    site.start(one);
    Site.tell(site.watch(), Site.list(2, true, "SERVING", one));
    int port = site.discoveryDown();
    assertThat(site.logged("watch-ended")).isNotNull();
    fill();
    try (Peer client = site.client("d=4000")) {
      assertThat(client.line()).as("a client among them").isEqualTo("UP r-1");
      assertThat(one.probes.poll()).as("asked for its load").isNotNull();
    }
    assertThat(site.call("GET /status")).startsWith("HTTP/1.1 200");
    Duration before = cpu();
    long from = System.nanoTime();
    site.discoveryUp(port);
    Site.tell(site.watch(), Site.list(3, true, "SERVING", two));
    long last = Site.millisSince(from);
    try (Peer client = site.client("d=4000")) {
      assertThat(client.line()).isEqualTo("UP r-1");
      assertThat(two.opened()).as("the list is the new one").isNotNull();
    }
    // A failing accept that is tried again at once takes a whole core.
    long used = cpu().minus(before).toMillis();
    assertThat(used).isLessThan(300 + (Site.millisSince(from)) / 2);
    assertThat(last).as("heard of again in time").isLessThan(4_500);
    for (Peer peer : idle) {
      peer.close();
    }
    for (int i = 0; i < 20; i++) {
      try (Peer client = site.client("d=4000")) {
        assertThat(client.line()).as("all is as before").isEqualTo("UP r-1");
      }
    }
  }
}
