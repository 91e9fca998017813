package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs each of eight scenarios with the real program on the loopback interface and with the same
 * proxy in virtual time, and requires that clients and targets observe the same. A simulated
 * network that is more forgiving than the real one would hide bugs.
 */
class SimulationParityTest {
  /** The steps of a scenario, which add the observations in their order. */
  interface Steps {
    void run(TestBed testBed, List<String> observations) throws Exception;
  }

  enum Scenario {
    DEATH(
        (testBed, observations) -> {
          TestBed.Connection client = connectServedClient(testBed, observations);
          testBed.closeListener("s-1");
          testBed.nextFlow("s-1").reset();
          observations.add(client.line());
        }),

    DRAIN(
        (testBed, observations) -> {
          TestBed.Connection client = connectServedClient(testBed, observations);
          TestBed.Connection targetSide = testBed.nextFlow("s-1");
          targetSide.send("r 1\r\nMOVE\r\n").close();
          readToEnd(client, observations);
        }),

    HALF_CLOSE(
        (testBed, observations) -> {
          TestBed.Connection client = connectServedClient(testBed, observations);
          TestBed.Connection targetSide = testBed.nextFlow("s-1");
          client.send("m 1\r\n").shutdownOutput();
          readToEnd(targetSide, observations);
          targetSide.send("last line\r\n").close();
          readToEnd(client, observations);
        }),

    /** The target accepts the flow and resets it at once; the client must not see silence. */
    RESET_ON_UP(
        (testBed, observations) -> {
          testBed.setOpenResponse("s-1", "");
          TestBed.Connection client = testBed.connectClient();
          TestBed.Connection targetSide = testBed.nextFlow("s-1");
          targetSide.send("UP r-7\r\n");
          observations.add(client.line());
          targetSide.reset();
          observations.add(client.line());
        }),

    SLOW_READER(
        (testBed, observations) -> {
          TestBed.Connection slow = connectServedClient(testBed, observations);
          TestBed.Connection other = connectServedClient(testBed, observations);
          TestBed.Connection targetOfSlow = testBed.nextFlow("s-1");
          TestBed.Connection targetOfOther = testBed.nextFlow("s-1");
          StringBuilder sent = new StringBuilder();
          for (int i = 0; i < 60; i++) {
            sent.append("p ").append(i).append(" ").append("#".repeat(3_000)).append("\r\n");
          }
          targetOfSlow.send(sent.toString());
          long start = testBed.elapsedMillis();
          other.send("m 1\r\n");
          observations.add(targetOfOther.line());
          targetOfOther.send("r 1\r\n");
          observations.add(other.line());
          observations.add(
              "the other client waited for more than 1 s: "
                  + (testBed.elapsedMillis() - start > 1_000));
          targetOfSlow.send("BYE\r\n").close();
          StringBuilder received = new StringBuilder();
          String line = slow.line();
          for (; line.startsWith("p "); line = slow.line()) {
            received.append(line).append("\r\n");
          }
          observations.add(
              "everything was received: " + received.toString().equals(sent.toString()));
          observations.add(line);
          readToEnd(slow, observations);
        }),

    SILENT_TARGET(
        (testBed, observations) -> {
          TestBed.Connection client = connectServedClient(testBed, observations);
          testBed.nextFlow("s-1");
          long start = testBed.elapsedMillis();
          client.send("m 1\r\n");
          readToEnd(client, observations);
          observations.add("within 7 s: " + (testBed.elapsedMillis() - start < 7_000));
          observations.add("at once: " + (testBed.elapsedMillis() - start < 3_000));
        }),

    PLANNED_STOP(
        (testBed, observations) -> {
          List<TestBed.Connection> clients = new ArrayList<>();
          for (int i = 0; i < 4; i++) {
            clients.add(connectServedClient(testBed, observations));
            testBed.nextFlow("s-1");
          }
          long start = testBed.elapsedMillis();
          testBed.terminate();
          for (TestBed.Connection client : clients) {
            readToEnd(client, observations);
            client.close();
          }
          observations.add("in time: " + (testBed.elapsedMillis() - start < 3_700));
        }),

    MOVED_DISCOVERY(
        (testBed, observations) -> {
          TestBed.Connection client = connectServedClient(testBed, observations);
          TestBed.Connection targetSide = testBed.nextFlow("s-1");
          testBed.setOpenResponse("s-2", "UP r-2");
          testBed.moveDiscovery("s-2");
          String answer = "";
          for (int i = 0; i < 1_000 && !answer.equals("UP r-2"); i++) {
            TestBed.Connection late = testBed.connectClient();
            answer = late.line();
            late.close();
          }
          observations.add(answer);
          client.send("m 1\r\n");
          observations.add(targetSide.line());
        });

    final Steps steps;

    Scenario(Steps play) {
      this.steps = play;
    }
  }

  private static TestBed.Connection connectServedClient(TestBed testBed, List<String> observations)
      throws Exception {
    TestBed.Connection client = testBed.connectClient();
    observations.add(client.line());
    return client;
  }

  /** Adds every line up to the end of the connection, and how it ended. */
  private static void readToEnd(TestBed.Connection connection, List<String> observations)
      throws Exception {
    String line;
    do {
      line = connection.line();
      observations.add(line);
    } while (!line.equals("END") && !line.equals("RESET"));
  }

  private static List<String> run(Scenario scene, TestBed testBed) throws Exception {
    List<String> observations = new ArrayList<>();
    try {
      testBed.start("s-1");
      scene.steps.run(testBed, observations);
    } finally {
      testBed.close();
    }
    return observations;
  }

  @ParameterizedTest
  @EnumSource(Scenario.class)
  void givesTheSameObservationsOnLoopbackAndInVirtualTime(Scenario scene) throws Exception {
    List<String> simulated = run(scene, new SimulatedTestBed());
    assertThat(simulated).isEqualTo(run(scene, new ProcessTestBed())).isNotEmpty();
  }
}
