package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The program, started by deploy/serve.sh, with many clients that read nothing. */
class SilentReadersIT {
  /** A third of the descriptors, the most that clients hold. */
  private static final int SILENT_CLIENTS = 341;

  private static final int DESCRIPTORS = 1024;
  private static final int TARGETS = 17;
  private static final long PONG_LIMIT_MILLIS = 1_000;
  private static final String LINE = "r " + "x".repeat(4004) + "\r\n";

  private final List<ProxyFixture.Target> targets = new ArrayList<>();
  private final List<Peer> clients = new ArrayList<>();
  private final AtomicLong writtenLines = new AtomicLong();
  private ProxyFixture fixture;
  private volatile boolean streaming = true;

  @BeforeEach
  void open() throws Exception {
    fixture = new ProxyFixture();
    for (int i = 0; i < TARGETS; i++) {
      targets.add(fixture.addTarget("s-" + i));
    }
  }

  @AfterEach
  void close() throws Exception {
    streaming = false;
    for (Peer client : clients) {
      client.close();
    }
    fixture.close();
  }

  /** Opens a session; clients that are refused come again. */
  private Peer connect() throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(3L * Peer.LIMIT_MILLIS);
    while (System.nanoTime() < end) {
      Peer client = fixture.connectClient("d=3000");
      String answer = client.line();
      if ("UP r-1".equals(answer)) {
        clients.add(client);
        return client;
      }
      client.close();
      Thread.sleep(50);
    }
    throw new AssertionError("no session: " + Files.readString(fixture.logFile()));
  }

  private void stream(Peer host) {
    Thread writer =
        new Thread(
            () -> {
              try {
                while (streaming) {
                  host.send(LINE);
                  writtenLines.incrementAndGet();
                }
              } catch (IOException e) {
                // The connection has ended.
              }
            });
    writer.setDaemon(true);
    writer.start();
  }

  /** Streams to the sessions that are new, and returns how many they are. */
  private int startStreams() {
    int started = 0;
    for (ProxyFixture.Target target : targets) {
      for (Peer host = target.flows.poll(); host != null; host = target.flows.poll()) {
        stream(host);
        started++;
      }
    }
    return started;
  }

  /** Asks the program for PONG until no host can write any more, and for two more seconds. */
  private void assertAnswersPingUntilAllIsFull() throws Exception {
    int quietRounds = 0;
    while (quietRounds < 10) {
      long before = writtenLines.get();
      long start = System.nanoTime();
      try (Peer front = Peer.to(fixture.clientAddress).send("PING\r\n")) {
        assertThat(front.line()).isEqualTo("PONG");
      }
      assertThat(ProxyFixture.millisSince(start)).as("ms to PONG").isLessThan(PONG_LIMIT_MILLIS);
      Thread.sleep(200);
      quietRounds = writtenLines.get() == before ? quietRounds + 1 : 0;
    }
  }

  /** Guards against a process that runs out of memory because its clients do not read. */
  @ParameterizedTest
  @ValueSource(ints = {32, 48})
  void answersWhileAThirdOfItsDescriptorsBelongToClientsThatReadNothing(int memoryMegabytes)
      throws Exception {
    fixture.config.getAsJsonObject("limits").addProperty("memory_mb", memoryMegabytes);
    fixture.config.getAsJsonObject("limits").addProperty("sockets", DESCRIPTORS);
    String known =
        ProxyFixture.targetList(1, true, "SERVING", targets.toArray(ProxyFixture.Target[]::new));
    fixture.config.add("known", JsonParser.parseString(known));
    fixture.launch(fixture.config.toString(), new ProcessBuilder("/bin/sh", "deploy/serve.sh"));
    fixture.awaitAdmission();
    while (clients.size() < SILENT_CLIENTS) {
      connect();
    }
    startStreams();
    assertAnswersPingUntilAllIsFull();
    assertThat(fixture.process.isAlive()).as(Files.readString(fixture.logFile())).isTrue();
    Peer client = connect();
    // The host may register the session after its client has received the answer.
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Peer.LIMIT_MILLIS);
    while (startStreams() == 0) {
      assertThat(System.nanoTime()).as("the new session reaches its host").isLessThan(end);
      Thread.sleep(10);
    }
    assertThat(client.line() + "\r\n").isEqualTo(LINE);
  }
}
