package brassbank.lab;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.sim.actor.StreamHost;
import brassbank.sim.actor.World;
import brassbank.sim.fault.Script;
import brassbank.sim.net.Endpoint;
import brassbank.sim.net.Machine;
import brassbank.sim.net.Program;
import brassbank.sim.net.ResetException;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs several real proxy processes with faults between them, checked by all rules. */
@Execution(ExecutionMode.CONCURRENT)
class LabIT {
  private static final Path SCRIPTS = Path.of("src/test/resources/lab");
  private static final Path ROOT = Path.of("").toAbsolutePath();
  private static final Lab.ProgressListener NO_PROGRESS_LISTENER = (lab, now) -> {};
  private static final Supplier<Interference> NO_INTERFERENCE = NoInterference::new;

  /**
   * Returns all scripts of the lab, one for membership and one for subsets with shared budgets; the
   * other scripts of those two groups take minutes.
   */
  static Stream<Path> scripts() throws IOException {
    Path members = Path.of("src/test/resources/lab-members");
    Path subsets = Path.of("src/test/resources/lab-subsets");
    try (Stream<Path> files = Files.list(SCRIPTS)) {
      return Stream.concat(
          Stream.of(
              members.resolve("one-of-five-is-killed.toml"),
              subsets.resolve("one-of-three-is-killed.toml")),
          files.sorted().toList().stream());
    }
  }

  /** Tampers with one run; a new instance is made when a void run is repeated. */
  private interface Interference extends LinkTampering, Lab.ProgressListener {}

  private static final class NoInterference implements Interference {
    @Override
    public void onProgress(Lab lab, long now) {}
  }

  /** Runs the script, and once more if the lab was late; fails if the second run is void too. */
  private static Lab.Outcome runScript(Path script, Supplier<Interference> interferences)
      throws Exception {
    for (int attempt = 1; ; attempt++) {
      Interference interference = interferences.get();
      try (Lab lab = new Lab(Script.read(script), ROOT, null, interference)) {
        Lab.Outcome outcome = lab.play(interference);
        if (!outcome.isVoid() || attempt == 2) {
          assertThat(outcome.isVoid())
              .as(
                  "void, twice: %d us late at %d",
                  outcome.maxLatenessMicros(), outcome.maxLatenessAtMicros())
              .isFalse();
          return outcome;
        }
      }
    }
  }

  @ParameterizedTest
  @MethodSource("scripts")
  void holdsAllRules(Path script) throws Exception {
    Lab.Outcome outcome = runScript(script, NO_INTERFERENCE);
    assertThat(outcome.breaches()).as("log: %s", List.copyOf(outcome.breachLog())).isEmpty();
    assertThat(outcome.clientCounts().values()).allMatch(count -> count.served > 0);
    assertThat(outcome.resourceUsage().values())
        .allMatch(use -> use.peakDescriptors > 20 && use.peakResidentKib > 10_000);
  }

  /**
   * Repeats each probe thirty times, gives all flows the same id, connects to the wrong host, and
   * keeps killed proxies running.
   */
  private static final class MisbehavingLinks implements Interference {
    private static final Pattern ID = Pattern.compile("OPEN (\\S+) ");
    private String firstId;
    private Machine redirectTarget;
    private int step;

    @Override
    public void onProgress(Lab lab, long now) {
      World world = lab.scenarioRun().world();
      RealProxy proxy = lab.proxies().get("n0");
      if (step == 0 && now > 2_000_000) {
        step = 1;
        floodDiscovery(world, proxy.machine());
        StreamHost host = world.hosts().get("s-1");
        host.kill();
        host.start(false);
        world.discovery().receiveStatus(host, "SERVING", 0);
        appendToLog(proxy, "2026-01-01T00:00:00.000Z error test: planted\n");
      } else if (step == 1 && now > 3_000_000) {
        step = 2;
        redirectTarget = world.hosts().get("s-1").machine();
      } else if (step == 2 && now > 9_000_000) {
        step = 3;
        // The stopped process cannot handle SIGTERM, so it still runs at the time of the kill.
        lab.proxies().get("n2").pause(5_000_000);
        lab.proxies().get("n2").restart();
      }
    }

    @Override
    public byte[] alter(byte[] bytes) {
      String text = new String(bytes, StandardCharsets.ISO_8859_1);
      var id = ID.matcher(text);
      if (text.equals("STATS\r\n")) {
        text = text.repeat(30);
      } else if (id.lookingAt()) {
        firstId = firstId == null ? id.group(1) : firstId;
        text = text.replace(id.group(1), firstId);
      }
      return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public Machine redirect(Machine to) {
      return redirectTarget != null && to.name().startsWith("s-") ? redirectTarget : to;
    }

    @Override
    public boolean survivesKill(String proxy) {
      return true;
    }
  }

  /** Sends 60 calls to discovery at once from a proxy's machine. */
  private static void floodDiscovery(World world, Machine proxy) {
    Program program = new Program(proxy, "storm", 0, Integer.MAX_VALUE);
    for (int i = 0; i < 60; i++) {
      program.connect(
          new InetSocketAddress(world.discovery().machine().address(), 8500),
          new Program.ConnectHandler() {
            @Override
            public void connected(Endpoint endpoint) {
              byte[] call = "GET /api/targets HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
              try {
                endpoint.write(call, 0, call.length);
              } catch (ResetException e) {
                throw new IllegalStateException(e);
              }
            }

            @Override
            public void failed(IOException cause) {}
          });
    }
  }

  @Test
  void detectsEachPlantedBreach() throws Exception {
    Lab.Outcome outcome =
        runScript(Path.of("src/test/resources/lab-planted/busy.toml"), MisbehavingLinks::new);
    assertThat(
            outcome.counts().entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .map(java.util.Map.Entry::getKey)
                .collect(Collectors.toList()))
        .contains(
            "never two attempts out",
            "no more attempts of a flow than are allowed",
            "no cold host pushed over",
            "probes a second at one stream host",
            "calls a second at discovery",
            "no client is left that no proxy holds",
            "a planned stop is done before the kill",
            "no task of the proxy fails");
  }

  /** Drops all datagrams of one proxy and sends those of another sixty times. */
  private static final class LossyAndDuplicating implements Interference {
    private long now;

    @Override
    public void onProgress(Lab lab, long now) {
      this.now = now;
    }

    @Override
    public int datagramCopies(String proxy) {
      return proxy.equals("n1") && now > 12_000_000
          ? 0
          : proxy.equals("n3") && now > 3_000_000 ? 60 : 1;
    }

    @Override
    public boolean survivesKill(String proxy) {
      return true;
    }
  }

  @Test
  void detectsEachPlantedBreachOfMembership() throws Exception {
    Lab.Outcome outcome =
        runScript(Path.of("src/test/resources/lab-planted/members.toml"), LossyAndDuplicating::new);
    assertThat(
            outcome.counts().entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .map(java.util.Map.Entry::getKey)
                .collect(Collectors.toList()))
        .contains(
            "whoever is dead is dead in each view",
            "nobody who can be heard is declared dead",
            "all views are equal, and the truth, after the faults",
            "datagrams and bytes a second of one member");
  }

  private static void appendToLog(RealProxy proxy, String line) {
    try {
      Files.writeString(proxy.logs().get(0), line, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The processes of a lab, its watchdog among them, and the lab's folder. */
  private record Site(List<ProcessHandle> processes, Path folder) {}

  private static Site awaitSite(Process lab, int proxies) throws Exception {
    for (int i = 0; i < 600; i++) {
      List<ProcessHandle> all = lab.descendants().toList();
      long serving =
          all.stream().filter(one -> one.info().commandLine().orElse("").contains("serve")).count();
      var watchdog =
          all.stream()
              .map(one -> one.info().arguments().orElse(new String[0]))
              .filter(arguments -> arguments.length == 2 && arguments[0].endsWith("guard.sh"))
              .findFirst();
      if (serving == proxies && watchdog.isPresent()) {
        return new Site(all, Path.of(watchdog.get()[1]));
      }
      Thread.sleep(50);
    }
    throw new AssertionError("the lab did not start " + proxies + " proxies within 30 s");
  }

  @ParameterizedTest
  @ValueSource(strings = {"KILL", "INT"})
  void leavesNoProcessOrFolderWhenEndedWhileSevenProxiesRun(String signal) throws Exception {
    Process lab =
        new ProcessBuilder(
                "bin/brassbank",
                "lab",
                SCRIPTS.resolve("seven-with-links-of-all-kinds.toml").toString())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    Site site = awaitSite(lab, 7);
    Thread.sleep(1_500);
    new ProcessBuilder("sh", "-c", "kill -" + signal + " " + lab.pid()).start().waitFor();
    assertThat(lab.waitFor(5, TimeUnit.SECONDS)).isTrue();
    for (ProcessHandle one : site.processes()) {
      one.onExit().get(10, TimeUnit.SECONDS);
    }
    for (int i = 0; i < 100 && Files.exists(site.folder()); i++) {
      Thread.sleep(50);
    }
    assertThat(site.folder()).doesNotExist();
  }

  @Test
  void printsItsResultAsJsonAndKeepsTheLogs() throws Exception {
    Path logs = Files.createTempDirectory("brassbank-logs");
    Path result = Files.createTempFile("brassbank", ".json");
    Process lab =
        new ProcessBuilder(
                "bin/brassbank",
                "lab",
                SCRIPTS.resolve("one-is-killed.toml").toString(),
                "--json",
                "--logs",
                logs.toString())
            .redirectOutput(result.toFile())
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    assertThat(lab.waitFor(90, TimeUnit.SECONDS)).isTrue();
    assertThat(lab.exitValue()).isZero();
    JsonObject json = JsonParser.parseString(Files.readString(result)).getAsJsonObject();
    assertThat(json.get("verdict").getAsString()).isEqualTo("holds");
    assertThat(json.getAsJsonObject("rules").size()).isGreaterThan(15);
    assertThat(json.getAsJsonObject("proxies").getAsJsonObject("n1").get("served").getAsInt())
        .isPositive();
    try (Stream<Path> files = Files.list(logs)) {
      assertThat(files.map(file -> file.getFileName().toString()))
          .contains("n0-1.log", "n1-1.log", "n1-2.log", "n2-1.log");
    }
    try (Stream<Path> files = Files.list(logs)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(logs);
    Files.delete(result);
  }

  @Test
  void reportsTheLogOfAFailedStart() throws Exception {
    Path root = Files.createTempDirectory("brassbank-no-root");
    Files.createDirectories(root.resolve("deploy"));
    Files.writeString(root.resolve("deploy/serve.sh"), "echo no runtime here; exit 3\n");
    try (Lab lab = new Lab(Script.read(SCRIPTS.resolve("one-is-killed.toml")), root, null)) {
      assertThat(
              org.assertj.core.api.Assertions.catchThrowable(() -> lab.play(NO_PROGRESS_LISTENER)))
          .isInstanceOf(LabException.class)
          .hasMessageContaining("no runtime here");
    }
    Files.delete(root.resolve("deploy/serve.sh"));
    Files.delete(root.resolve("deploy"));
    Files.delete(root);
  }
}
