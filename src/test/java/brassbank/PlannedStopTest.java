package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What comes between two lines of a planned stop. The real program over sockets. */
class PlannedStopTest {
  private Site site;

  @BeforeEach
  void open() throws Exception {
    site = new Site();
  }

  @AfterEach
  void close() throws Exception {
    site.close();
  }

  /** All classes give up so early that a planned stop is over 1.1 s after the signal. */
  private void shortDeadlines() {
    site.settings()
        .getAsJsonArray("profiles")
        .forEach(type -> type.getAsJsonObject().addProperty("give-up", 1_000_000));
  }

  /**
   * Once the time of a planned stop is up, a flow whose line is out at a target that hangs may have
   * run: whoever is told BUSY tries again, and the effect is doubled.
   */
  @ParameterizedTest
  @CsvSource({
    "free, all, BUSY",
    "guarded, all, BUSY",
    "guarded, cell, ERR",
    "single_shot, all, ERR"
  })
  void aStopTellsAFlowThatMayHaveRunNoMoreThanItsClassAllows(
      String effect, String group, String answer) throws Exception {
    site.repeats(effect, group, 5_000);
    shortDeadlines();
    site.settings().getAsJsonObject("allowed").addProperty("send-cap", 1);
    Site.Target hangs = site.target("s-1");
    hangs.answer = line -> "";
    site.start(hangs);
    try (Peer client = site.client("d=4800")) {
      assertThat(hangs.opened()).as("its line is out").isNotNull();
      site.process.destroy();
      assertThat(client.line()).startsWith(answer);
      assertThat(client.line()).isNull();
    }
    assertThat(site.process.waitFor()).isZero();
  }

  /** The platform kills by the settings in force, which a reload may have shortened. */
  @Test
  void aStopGoesByTheDeadlinesOfTheLastReload() throws Exception {
    Site.Target target = site.target("s-1");
    site.start(target);
    shortDeadlines();
    site.reload(site.config.toString());
    assertThat(site.logged("reloaded")).isNotNull();
    site.process.destroy();
    assertThat(site.logged("departure-planned")).containsPattern("to_ms=1[01]\\d\\d$");
    assertThat(site.process.waitFor()).isZero();
  }

  /** One that waits and was never sent may be told to try again, whatever its class. */
  @Test
  void aStopRefusesAFlowThatWasNeverSent() throws Exception {
    site.repeats("single_shot", "all", 0);
    shortDeadlines();
    Site.Target gone = site.target("s-1");
    gone.close();
    site.start(gone);
    try (Peer client = site.client("d=4800")) {
      site.process.destroy();
      assertThat(client.line()).startsWith("BUSY");
    }
  }

  /** What comes on a connection that rests after PONG is served while the proxy can, and moved. */
  @Test
  void aLineOnARestingConnectionIsServedWhileTheProxyStops() throws Exception {
    Site.Target target = site.target("s-1");
    site.start(target);
    try (Peer resting = Peer.to(site.address).send("PING\r\n");
        Peer standing = site.client("d=4800")) {
      assertThat(resting.line()).isEqualTo("PONG");
      assertThat(standing.line()).isEqualTo("UP r-1");
      site.process.destroy();
      assertThat(site.logged("stopping")).isNotNull();
      resting.send("OPEN a1 key-1 c=preview,t=kelvin-stone,d=4800\r\n");
      assertThat(resting.line()).isEqualTo("UP r-1");
      assertThat(resting.line()).isEqualTo("MOVE");
      assertThat(resting.line()).isNull();
      assertThat(standing.line()).isEqualTo("MOVE");
    }
    assertThat(site.process.waitFor()).isZero();
  }

  /** The end of a proxy that holds nobody: who rests sees a proper end, and no reset. */
  @Test
  void aRestingConnectionIsEndedProperlyWhenTheProxyEnds() throws Exception {
    Site.Target target = site.target("s-1");
    site.start(target);
    try (Peer resting = Peer.to(site.address).send("PING\r\n");
        Peer silent = Peer.to(site.address)) {
      assertThat(resting.line()).isEqualTo("PONG");
      silent.send("OPEN a1 key-1 c=pre");
      site.process.destroy();
      assertThat(resting.line()).isNull();
      assertThat(silent.line()).isNull();
    }
    assertThat(site.process.waitFor()).isZero();
  }

  @Test
  void aSecondSignalChangesNothing() throws Exception {
    Site.Target target = site.target("s-1");
    site.start(target);
    try (Peer client = site.client("d=4800")) {
      assertThat(client.line()).isEqualTo("UP r-1");
      site.process.destroy();
      assertThat(site.logged("stopping")).isNotNull();
      site.process.destroy();
      assertThat(client.line()).isEqualTo("MOVE");
      assertThat(client.line()).isNull();
    }
    assertThat(site.process.waitFor()).isZero();
  }
}
