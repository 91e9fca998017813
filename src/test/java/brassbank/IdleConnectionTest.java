package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What comes on the connections kept for probes. The real program over sockets. */
class IdleConnectionTest {
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
   * A target ends the connection that was kept for probes in the instant in which the next question
   * goes out. It is asked on a new one, and not taken for one that fails.
   */
  @Test
  void aProbeOnAConnectionThatIsJustBeingClosedIsAskedAgain() throws Exception {
    Site.Target target = site.target("s-1");
    site.start(target);
    try (Peer client = site.client("d=2000")) {
      assertThat(client.line()).isEqualTo("UP r-1");
    }
    Peer kept = target.probes.poll(Peer.LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    assertThat(kept).isNotNull();
    target.probes.clear();
    target.refusedProbes.set(1);
    assertThat(nextProbe(target)).as("asked again, on a new connection").isNotEqualTo(kept);
    assertThat(target.refusedProbes.get()).isZero();
    assertThat(Files.readString(site.log())).doesNotContain("deadline-passed");
  }

  /**
   * A report is asked for anew only once it is old: flows come until one of them has done so, and
   * none of them is kept waiting for it.
   */
  private Peer nextProbe(Site.Target target) throws Exception {
    long start = System.nanoTime();
    while (target.probes.isEmpty() && Site.millisSince(start) < Peer.LIMIT_MILLIS) {
      try (Peer client = site.client("d=900")) {
        assertThat(client.line()).isEqualTo("UP r-1");
        target.opened().close();
      }
    }
    return target.probes.poll();
  }

  /** Else each answer would be taken for the next question's, from then on. */
  @Test
  void aConnectionOnWhichAProbeWasAnsweredTwiceIsNotKept() throws Exception {
    Site.Target target = site.target("s-1");
    target.stats += target.stats;
    site.start(target);
    try (Peer client = site.client("d=2000")) {
      assertThat(client.line()).isEqualTo("UP r-1");
    }
    Peer first = target.probes.poll(Peer.LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    assertThat(first).isNotNull();
    target.probes.clear();
    assertThat(nextProbe(target)).as("the next question's connection").isNotEqualTo(first);
  }
}
