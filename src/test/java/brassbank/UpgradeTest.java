package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Several processes of the real program share one listening socket, which the test owns. */
class UpgradeTest {
  private final List<Peer> peers = new ArrayList<>();
  private final List<Process> started = new ArrayList<>();
  private ProxyFixture fixture;
  private ProxyFixture.Target target;

  @BeforeEach
  void open() throws Exception {
    fixture = new ProxyFixture();
    fixture.sharedListener = new SharedListener(fixture.clientAddress);
    target = fixture.addTarget("s-1");
    fixture.start(target);
    ProxyFixture.sendLine(fixture.nextWatch(), ProxyFixture.targetList(2, true, "SERVING", target));
  }

  @AfterEach
  void close() throws Exception {
    for (Peer peer : peers) {
      peer.close();
    }
    for (Process process : started) {
      process.destroyForcibly().waitFor();
    }
    fixture.close();
    fixture.sharedListener.close();
  }

  private Peer closedAfterTest(Peer peer) {
    peers.add(peer);
    return peer;
  }

  private Peer connectServedClient() throws IOException {
    Peer client = closedAfterTest(fixture.connectClient("d=4000"));
    assertThat(client.line()).isEqualTo("UP r-1");
    return client;
  }

  /**
   * Starts a successor, sends it the target list and waits until it accepts clients.
   *
   * @return the predecessor
   */
  private Process upgrade() throws Exception {
    Process predecessor = fixture.startSuccessor();
    started.add(predecessor);
    ProxyFixture.sendLine(fixture.nextWatch(), ProxyFixture.targetList(2, true, "SERVING", target));
    fixture.awaitServing();
    return predecessor;
  }

  private static void terminate(Process process) throws Exception {
    new ProcessBuilder("sh", "-c", "kill -TERM " + process.pid()).start().waitFor();
  }

  private static boolean endsInTime(Process process) throws Exception {
    return process.waitFor(4, TimeUnit.SECONDS);
  }

  @Test
  void theSuccessorAcceptsNewClientsWhileThePredecessorServesItsOwnUntilItMovesThem()
      throws Exception {
    Peer oldClient = connectServedClient();
    Peer oldTarget = target.nextFlow();
    Peer unread = closedAfterTest(Peer.to(fixture.clientAddress));
    Peer idle = closedAfterTest(Peer.to(fixture.clientAddress)).send("PING\r\n");
    assertThat(idle.line()).isEqualTo("PONG");
    Process predecessor = upgrade();
    Peer newClient = connectServedClient();
    Peer newTarget = target.nextFlow();
    oldClient.send("m 1\r\n");
    assertThat(oldTarget.line()).isEqualTo("m 1");

    terminate(predecessor);
    unread.send("OPEN 1a key-1 c=preview,t=kelvin-stone,d=4000\r\n");
    assertThat(unread.line())
        .as("accepted by the predecessor and not read yet")
        .isEqualTo("UP r-1");
    assertThat(idle.send("PING\r\n").line()).as("the proxy answers").isEqualTo("PONG");
    assertThat(idle.line()).as("and closes, so that the client uses a new connection").isNull();
    for (Peer moved : List.of(oldClient, unread)) {
      assertThat(moved.line()).isEqualTo("MOVE");
      assertThat(moved.line()).isNull();
    }
    assertThat(endsInTime(predecessor)).isTrue();
    assertThat(predecessor.exitValue()).isZero();
    newClient.send("m 2\r\n");
    assertThat(newTarget.line())
        .as("the clients of the successor are not affected")
        .isEqualTo("m 2");
    connectServedClient();
  }

  @Test
  void standbyOutlastsAnUpgradeAndIdsOfThePredecessorAreRejected() throws Exception {
    Peer established = closedAfterTest(fixture.connectClient("feed", "d=4000"));
    assertThat(established.line()).isEqualTo("UP r-1");
    Process predecessor = upgrade();
    assertThat(fixture.connectClient("feed", "d=4000").line()).startsWith("ERR");
    fixture.managementCall("PUT /standby");
    fixture.startSuccessor();
    started.add(predecessor);
    ProxyFixture.sendLine(fixture.nextWatch(), ProxyFixture.targetList(2, true, "SERVING", target));
    for (int i = 0; !fixture.isOnStandby(); i++) {
      assertThat(i).as("polls of the second successor").isLessThan(500);
      Thread.sleep(10);
    }
    assertThat(fixture.managementCall("GET /status")).startsWith("HTTP/1.1 503");
    assertThat(fixture.managementCall("PUT /active")).startsWith("HTTP/1.1 200");
    connectServedClient();
  }

  @Test
  void thePredecessorAcceptsAgainWhenItsSuccessorIsKilled() throws Exception {
    Process predecessor = upgrade();
    fixture.process.destroyForcibly().waitFor();
    connectServedClient();
    // The next process takes a new number and is not misled by what the killed one has left.
    fixture.startSuccessor();
    ProxyFixture.sendLine(fixture.nextWatch(), ProxyFixture.targetList(2, true, "SERVING", target));
    fixture.awaitServing();
    terminate(predecessor);
    assertThat(endsInTime(predecessor)).isTrue();
    connectServedClient();
  }

  @Test
  void aSuccessorAcceptsNothingBeforeItHasTheList() throws Exception {
    started.add(fixture.startSuccessor());
    fixture.nextWatch();
    for (int i = 0; i < 20; i++) {
      connectServedClient();
    }
    Thread.sleep(500);
    assertThat(fixture.managementCall("GET /status")).startsWith("HTTP/1.1 503");
    assertThat(Files.readString(fixture.logFile()))
        .contains("numbered")
        .doesNotContain("ACCEPTING");
  }

  @Test
  void consecutiveUpgradesLoseNoConnection() throws Exception {
    for (int i = 0; i < 3; i++) {
      Thread opener =
          new Thread(
              () -> {
                try {
                  for (int n = 0; n < 100; n++) {
                    try (Peer client = fixture.connectClient("d=4000")) {
                      assertThat(client.line()).matches("UP r-1|BUSY.*");
                    }
                  }
                } catch (IOException e) {
                  throw new java.io.UncheckedIOException(e);
                }
              });
      List<Throwable> failures = new ArrayList<>();
      opener.setUncaughtExceptionHandler((thread, failure) -> failures.add(failure));
      opener.start();
      Process predecessor = upgrade();
      opener.join();
      terminate(predecessor);
      assertThat(failures).isEmpty();
      assertThat(endsInTime(predecessor)).isTrue();
    }
    // The last process still writes its log: its descriptors are intact.
    assertThat(Files.readString(fixture.logFile())).contains("handover phase=ACCEPTING");
  }

  @Test
  void aListenerThatCannotBeInheritedEndsTheStart() throws Exception {
    for (String descriptor : List.of("3", "x", "0")) {
      ProxyFixture alone = new ProxyFixture();
      try {
        ProcessBuilder builder =
            new ProcessBuilder(
                System.getProperty("java.home") + "/bin/java",
                "-cp",
                System.getProperty("java.class.path"),
                "brassbank.Main",
                "serve");
        builder.environment().put("LB_LISTEN_FD", descriptor);
        alone.launch(alone.config.toString(), builder);
        assertThat(alone.process.waitFor(10, TimeUnit.SECONDS)).isTrue();
        assertThat(alone.process.exitValue()).isEqualTo(2);
        assertThat(Files.readAllLines(alone.logFile()))
            .singleElement()
            .asString()
            .contains("LB_LISTEN_FD");
      } finally {
        alone.close();
      }
    }
  }
}
