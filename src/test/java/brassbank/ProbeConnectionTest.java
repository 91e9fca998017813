package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Reuse of the connections on which probes are sent. The real program over sockets. */
class ProbeConnectionTest {
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
   * A target closes an idle probe connection while the next probe is being sent on it. The probe is
   * repeated on a new connection, and the target does not count as failing.
   */
  @Test
  void repeatsAProbeWhoseConnectionIsBeingClosed() throws Exception {
    ProxyFixture.Target target = fixture.addTarget("s-1");
    fixture.start(target);
    try (Peer client = fixture.connectClient("d=2000")) {
      assertThat(client.line()).isEqualTo("UP r-1");
    }
    Peer firstConnection = target.probes.poll(Peer.LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    assertThat(firstConnection).isNotNull();
    target.probes.clear();
    target.probesToRefuse.set(1);
    assertThat(nextProbe(target))
        .as("the repeated probe has a new connection")
        .isNotEqualTo(firstConnection);
    assertThat(target.probesToRefuse.get()).isZero();
    assertThat(Files.readString(fixture.logFile())).doesNotContain("deadline-passed");
  }

  /**
   * Opens flows until one of them causes a probe, which happens only once the last report is old.
   * None of the flows waits for the probe.
   */
  private Peer nextProbe(ProxyFixture.Target target) throws Exception {
    long start = System.nanoTime();
    while (target.probes.isEmpty() && ProxyFixture.millisSince(start) < Peer.LIMIT_MILLIS) {
      try (Peer client = fixture.connectClient("d=900")) {
        assertThat(client.line()).isEqualTo("UP r-1");
        target.nextFlow().close();
      }
    }
    return target.probes.poll();
  }

  /** Otherwise each response would be taken for that of the next probe from then on. */
  @Test
  void doesNotReuseAConnectionOnWhichAProbeWasAnsweredTwice() throws Exception {
    ProxyFixture.Target target = fixture.addTarget("s-1");
    target.probeResponse += target.probeResponse;
    fixture.start(target);
    try (Peer client = fixture.connectClient("d=2000")) {
      assertThat(client.line()).isEqualTo("UP r-1");
    }
    Peer first = target.probes.poll(Peer.LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    assertThat(first).isNotNull();
    target.probes.clear();
    assertThat(nextProbe(target)).as("the connection of the next probe").isNotEqualTo(first);
  }
}
