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

/** The real program as several processes on one listening socket, which the test holds. */
class UpgradeTest {
  private final List<Peer> peers = new ArrayList<>();
  private final List<Process> started = new ArrayList<>();
  private Site site;
  private Site.Target target;

  @BeforeEach
  void open() throws Exception {
    site = new Site();
    site.shared = new SharedListener(site.address);
    target = site.target("s-1");
    site.start(target);
    Site.tell(site.watch(), Site.list(2, true, "SERVING", target));
  }

  @AfterEach
  void close() throws Exception {
    for (Peer peer : peers) {
      peer.close();
    }
    for (Process process : started) {
      process.destroyForcibly().waitFor();
    }
    site.close();
    site.shared.close();
  }

  private Peer kept(Peer peer) {
    peers.add(peer);
    return peer;
  }

  private Peer served() throws IOException {
    Peer client = kept(site.client("d=4000"));
    assertThat(client.line()).isEqualTo("UP r-1");
    return client;
  }

  /** Starts a successor, which is told the list, and waits for its yes; returns the one before. */
  private Process upgraded() throws Exception {
    Process first = site.beside();
    started.add(first);
    Site.tell(site.watch(), Site.list(2, true, "SERVING", target));
    site.serving();
    return first;
  }

  private static void terminate(Process process) throws Exception {
    new ProcessBuilder("sh", "-c", "kill -TERM " + process.pid()).start().waitFor();
  }

  private static boolean ended(Process process) throws Exception {
    return process.waitFor(4, TimeUnit.SECONDS);
  }

  @Test
  void theSuccessorTakesNewClientsAndTheOldOneCarriesItsOwnOnUntilItMovesThem() throws Exception {
    Peer old = served();
    Peer oldTarget = target.opened();
    Peer unread = kept(Peer.to(site.address));
    Peer front = kept(Peer.to(site.address)).send("PING\r\n");
    assertThat(front.line()).isEqualTo("PONG");
    Process first = upgraded();
    Peer next = served();
    Peer nextTarget = target.opened();
    old.send("m 1\r\n");
    assertThat(oldTarget.line()).isEqualTo("m 1");

    terminate(first);
    unread.send("OPEN 1a key-1 c=preview,t=kelvin-stone,d=4000\r\n");
    assertThat(unread.line()).as("accepted by the old one, and not yet read").isEqualTo("UP r-1");
    assertThat(front.send("PING\r\n").line()).as("the proxy is up").isEqualTo("PONG");
    assertThat(front.line()).as("and asked over a new connection").isNull();
    for (Peer moved : List.of(old, unread)) {
      assertThat(moved.line()).isEqualTo("MOVE");
      assertThat(moved.line()).isNull();
    }
    assertThat(ended(first)).isTrue();
    assertThat(first.exitValue()).isZero();
    next.send("m 2\r\n");
    assertThat(nextTarget.line()).as("its own go on").isEqualTo("m 2");
    served();
  }

  @Test
  void aProxyOnStandbyStaysSoAndAnIdOfTheOldOnesIsNoNewFlows() throws Exception {
    Peer standing = kept(site.client("feed", "d=4000"));
    assertThat(standing.line()).isEqualTo("UP r-1");
    Process first = upgraded();
    assertThat(site.client("feed", "d=4000").line()).startsWith("ERR");
    site.call("PUT /standby");
    site.beside();
    started.add(first);
    Site.tell(site.watch(), Site.list(2, true, "SERVING", target));
    for (int i = 0; !site.standsBy(); i++) {
      assertThat(i).as("looks at the second successor").isLessThan(500);
      Thread.sleep(10);
    }
    assertThat(site.call("GET /status")).startsWith("HTTP/1.1 503");
    assertThat(site.call("PUT /active")).startsWith("HTTP/1.1 200");
    served();
  }

  @Test
  void aSuccessorThatDiesLeavesTheDoorToTheOldOne() throws Exception {
    Process first = upgraded();
    site.process.destroyForcibly().waitFor();
    served();
    // The next one is numbered anew, and nothing stale misleads it.
    site.beside();
    Site.tell(site.watch(), Site.list(2, true, "SERVING", target));
    site.serving();
    terminate(first);
    assertThat(ended(first)).isTrue();
    served();
  }

  @Test
  void aSuccessorSaysNothingAndTakesNothingBeforeItKnowsTheList() throws Exception {
    started.add(site.beside());
    site.watch();
    for (int i = 0; i < 20; i++) {
      served();
    }
    Thread.sleep(500);
    assertThat(site.call("GET /status")).startsWith("HTTP/1.1 503");
    assertThat(Files.readString(site.log())).contains("numbered").doesNotContain("ACCEPTING");
  }

  @Test
  void severalUpgradesInARowLoseNoConnectionAtTheDoor() throws Exception {
    for (int i = 0; i < 3; i++) {
      Thread opener =
          new Thread(
              () -> {
                try {
                  for (int n = 0; n < 100; n++) {
                    try (Peer client = site.client("d=4000")) {
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
      Process first = upgraded();
      opener.join();
      terminate(first);
      assertThat(failures).isEmpty();
      assertThat(ended(first)).isTrue();
    }
    // The log of the last one goes on: its descriptors are what they were.
    assertThat(Files.readString(site.log())).contains("handover phase=ACCEPTING");
  }

  @Test
  void aListenerThatCannotBeInheritedEndsTheStart() throws Exception {
    for (String descriptor : List.of("3", "x", "0")) {
      Site alone = new Site();
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
        assertThat(Files.readAllLines(alone.log()))
            .singleElement()
            .asString()
            .contains("LB_LISTEN_FD");
      } finally {
        alone.close();
      }
    }
  }
}
