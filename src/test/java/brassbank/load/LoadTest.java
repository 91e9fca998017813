package brassbank.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class LoadTest {
  private final Options options = new Options();

  LoadTest() {
    new CommandLine(options).parseArgs();
  }

  @Test
  void arrivalsHaveTheRequestedRateAndDependOnlyOnTheSeed() {
    long[] times = Arrivals.poisson(10_000, 10_000_000_000L, 7);
    assertThat(times).isSorted().hasSizeBetween(98_500, 101_500);
    assertThat(Arrivals.poisson(10_000, 10_000_000_000L, 7)).isEqualTo(times);
  }

  @Test
  void openLoopCountsDelaysDuringAStallFromTheIntendedSendTime() {
    try (Reactor hosts = new Reactor("hosts");
        Reactor clients = new Reactor("clients")) {
      StubHost host = new StubHost(hosts, "toy", new BulkPattern(1024), 1024);
      LineLoad load = new LineLoad(clients, 42);
      Route route = new Route("direct", List.of(host.address()), null);
      new SessionOpener(clients, route, options, 0).open(4, "echo", load::newSessionHandler);
      long[] times = Arrivals.poisson(1_000, 1_000_000_000, 1);
      clients.run(() -> load.startOpenLoop(times));
      TestBed.sleep(300);
      hosts.run(() -> TestBed.sleep(400));
      TestBed.sleep(800);
      LineLoad.Result result = clients.call(load::takeResult);
      assertThat(result.returnedLines()).isEqualTo(times.length);
      // A closed loop would record only four such delays, one for each session.
      long slowLines = result.delays().getCountBetweenValues(50_000_000, 60_000_000_000L);
      assertThat(slowLines).isBetween(250L, 450L);
      assertThat(result.delays().getMaxValue()).isGreaterThan(350_000_000);
    }
  }

  @Test
  void patternDetectsAChangedByte() {
    BulkPattern sent = new BulkPattern(100);
    ByteBuffer bytes = ByteBuffer.allocate(70_000);
    for (ByteBuffer next = sent.nextSlice(70_000); bytes.hasRemaining(); ) {
      next = sent.nextSlice(bytes.remaining());
      sent.advance(next.remaining());
      bytes.put(next);
    }
    assertThat(new BulkPattern(sent).matches(bytes.flip())).isTrue();
    bytes.rewind().put(69_000, (byte) '#');
    assertThat(new BulkPattern(sent).matches(bytes)).isFalse();
  }

  @Test
  void reportsTheTextOfALineThatReturnedChanged() {
    try (Reactor reactor = new Reactor("both")) {
      InetSocketAddress faultyHost =
          reactor.listen(
              new InetSocketAddress("127.0.0.1", 0),
              () ->
                  new Connection.Handler() {
                    @Override
                    public void received(Connection connection, ByteBuffer bytes) {
                      connection.writeLine(bytes.get() == 'O' ? "UP r-1" : "something else");
                    }

                    @Override
                    public void disconnected(Connection connection, IOException cause) {}
                  });
      LineLoad load = new LineLoad(reactor, 42);
      new SessionOpener(reactor, new Route("direct", List.of(faultyHost), null), options, 0)
          .open(1, "echo", load::newSessionHandler);
      reactor.run(() -> load.startClosedLoop(1));
      TestBed.sleep(200);
      assertThat(reactor.call(load::takeResult).fault()).contains("came back as: something else");
    }
  }

  /** Runs the command against the real proxy in a child process, and returns its figures. */
  private static JsonArray run(String serveOptions, String... arguments) {
    StringWriter out = new StringWriter();
    StringWriter err = new StringWriter();
    CommandLine command =
        new CommandLine(new LoadCommand())
            .setOut(new PrintWriter(out))
            .setErr(new PrintWriter(err));
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String start =
        "exec '%s' -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx64m -cp '%s' brassbank.Main serve %s"
            .formatted(java, System.getProperty("java.class.path"), serveOptions);
    List<String> commandLine =
        new ArrayList<>(List.of("--json", "--start", start, "--rounds", "1"));
    commandLine.addAll(List.of(arguments));
    int status = command.execute(commandLine.toArray(String[]::new));
    assertThat(status).as(err.toString()).isZero();
    return JsonParser.parseString(out.toString()).getAsJsonObject().getAsJsonArray("figures");
  }

  @Test
  void measuresTheDirectRouteTheReferenceRelayAndTheRealProxy() {
    JsonArray figures =
        run(
            "",
            "--bare",
            "--seconds=0.2",
            "--sessions=20",
            "--slow=5",
            "--rate=500",
            "bulk-up",
            "bulk-down",
            "lines",
            "open",
            "idle",
            "slow");
    assertThat(median(figures, "bulk-up", "throughput", "proxy")).isPositive();
    assertThat(median(figures, "bulk-up", "throughput", "bare")).isPositive();
    assertThat(median(figures, "bulk-down", "throughput", "direct")).isPositive();
    assertThat(median(figures, "lines", "lines", "proxy"))
        .isLessThan(median(figures, "lines", "lines", "direct"));
    assertThat(median(figures, "open", "lines", "proxy")).isBetween(300.0, 700.0);
    assertThat(median(figures, "idle", "resident", "proxy")).isGreaterThan(10_000);
    assertThat(median(figures, "slow", "descriptors", "with"))
        .isGreaterThanOrEqualTo(median(figures, "slow", "descriptors", "without"));
  }

  /**
   * Regular sessions must not lose lines while slow clients and hosts exceed the proxy's limits and
   * reconnect. A scaled-down version, for the duration of a build, of the measurement with 200 slow
   * clients beside 1,000 sessions in docs/relay.md.
   */
  @Test
  void regularSessionsStayIntactBesideSlowSessionsThatReconnect() throws Exception {
    Path limits = Files.createTempFile("brassbank", ".toml");
    Files.writeString(
        limits,
        """
        [relay]
        turn = "4 KiB"
        practice-budget = "256 KiB"
        client.waiting = "4 KiB"
        client.kernel-buffer = "4 KiB"
        client.rate = "8 KiB/s"
        client.window = "1 s"
        client.line = "1 s"
        client.farewell = "300 ms"
        target.waiting = "4 KiB"
        target.line = "1 s"
        """);
    JsonArray figures =
        run(
            "--config " + limits,
            "--seconds=3",
            "--sessions=200",
            "--slow=30",
            "--slow-writers=10",
            "--slow-hosts=10",
            "--slow-rate=1000",
            "--rate=1000",
            "slow");
    Files.delete(limits);
    assertThat(median(figures, "slow", "lines", "with")).isBetween(700.0, 1_300.0);
    // These figures are reported only if they are not zero.
    assertThat(figures.toString()).doesNotContain("sessions ended", "lines left out");
    assertThat(median(figures, "slow", "slow ones moved", "with")).isGreaterThanOrEqualTo(10);
    assertThat(median(figures, "slow", "slow ones reset", "with")).isGreaterThanOrEqualTo(20);
    assertThat(median(figures, "slow", "slow ones ended", "with")).isZero();
    assertThat(median(figures, "slow", "descriptors", "with")).isBetween(400.0, 600.0);
  }

  private static double median(JsonArray figures, String measurement, String name, String column) {
    for (JsonElement element : figures) {
      JsonObject figure = element.getAsJsonObject();
      if (figure.get("measurement").getAsString().equals(measurement)
          && figure.get("figure").getAsString().equals(name)) {
        return figure.getAsJsonObject("median").get(column).getAsDouble();
      }
    }
    throw new AssertionError("no " + name + " of " + measurement + " in " + figures);
  }

  @Test
  void reportsAnInvalidCommandLineInOneLineWithStatus2() {
    StringWriter err = new StringWriter();
    CommandLine command = new CommandLine(new LoadCommand()).setErr(new PrintWriter(err));
    assertThat(command.execute("--line-bytes", "5")).isEqualTo(2);
    assertThat(err.toString()).startsWith("--line-bytes must be 21 to 4096");
    assertThat(command.execute("nonsense")).isEqualTo(2);
  }
}
