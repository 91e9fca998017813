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

/** Several real processes of the program and faults between them, under all rules. */
@Execution(ExecutionMode.CONCURRENT)
class LabIT {
  private static final Path SCRIPTS = Path.of("src/test/resources/lab");
  private static final Path ROOT = Path.of("").toAbsolutePath();
  private static final Lab.ProgressListener NOBODY = (lab, now) -> {};
  private static final Supplier<Hand> NONE = Nothing::new;

  /**
   * All of the lab's, one of membership's, one of subsets', which share too; the others of these
   * take minutes.
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

  /** What is done to one play: what is planted is planted anew where a play was void. */
  private interface Hand extends LinkTampering, Lab.ProgressListener {}

  private static final class Nothing implements Hand {
    @Override
    public void onProgress(Lab lab, long now) {}
  }

  /** Plays it, and once more where the lab was late; a second time says nothing of the rules. */
  private static Lab.Outcome played(Path script, Supplier<Hand> hands) throws Exception {
    for (int play = 1; ; play++) {
      Hand hand = hands.get();
      try (Lab lab = new Lab(Script.read(script), ROOT, null, hand)) {
        Lab.Outcome outcome = lab.play(hand);
        if (!outcome.isVoid() || play == 2) {
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
    Lab.Outcome outcome = played(script, NONE);
    assertThat(outcome.breaches()).as("log: %s", List.copyOf(outcome.breachLog())).isEmpty();
    assertThat(outcome.clientCounts().values()).allMatch(count -> count.served > 0);
    assertThat(outcome.resourceUsage().values())
        .allMatch(use -> use.peakDescriptors > 20 && use.peakResidentKib > 10_000);
  }

  /** Links that ask thirty times for once, give ids to others, lead astray, and keep the dead. */
  private static final class Misbehaving implements Hand {
    private static final Pattern ID = Pattern.compile("OPEN (\\S+) ");
    private String first;
    private Machine newest;
    private int done;

    @Override
    public void onProgress(Lab lab, long now) {
      World world = lab.scene().world();
      RealProxy proxy = lab.proxies().get("n0");
      if (done == 0 && now > 2_000_000) {
        done = 1;
        storm(world, proxy.machine());
        StreamHost host = world.hosts().get("s-1");
        host.kill();
        host.start(false);
        world.discovery().receiveStatus(host, "SERVING", 0);
        log(proxy, "2026-01-01T00:00:00.000Z error test: planted\n");
      } else if (done == 1 && now > 3_000_000) {
        done = 2;
        newest = world.hosts().get("s-1").machine();
      } else if (done == 2 && now > 9_000_000) {
        done = 3;
        // It cannot hear what it is told, and is still there when its time is over.
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
        first = first == null ? id.group(1) : first;
        text = text.replace(id.group(1), first);
      }
      return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public Machine redirect(Machine to) {
      return newest != null && to.name().startsWith("s-") ? newest : to;
    }

    @Override
    public boolean survivesKill(String proxy) {
      return true;
    }
  }

  /** Calls discovery as fast as it can, in a proxy's name. */
  private static void storm(World world, Machine proxy) {
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
  void catchesEachBreachThatIsPlanted() throws Exception {
    Lab.Outcome outcome =
        played(Path.of("src/test/resources/lab-planted/busy.toml"), Misbehaving::new);
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

  /** One whom nobody hears, and one who says everything sixty times. */
  private static final class DeafAndLoud implements Hand {
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
  void catchesEachBreachOfMembershipThatIsPlanted() throws Exception {
    Lab.Outcome outcome =
        played(Path.of("src/test/resources/lab-planted/members.toml"), DeafAndLoud::new);
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

  private static void log(RealProxy proxy, String line) {
    try {
      Files.writeString(proxy.logs().get(0), line, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The processes that the guard of a lab stands over, and the lab's folder. */
  private record Site(List<ProcessHandle> processes, Path folder) {}

  private static Site started(Process lab, int proxies) throws Exception {
    for (int i = 0; i < 600; i++) {
      List<ProcessHandle> all = lab.descendants().toList();
      long serving =
          all.stream().filter(one -> one.info().commandLine().orElse("").contains("serve")).count();
      var guard =
          all.stream()
              .map(one -> one.info().arguments().orElse(new String[0]))
              .filter(arguments -> arguments.length == 2 && arguments[0].endsWith("guard.sh"))
              .findFirst();
      if (serving == proxies && guard.isPresent()) {
        return new Site(all, Path.of(guard.get()[1]));
      }
      Thread.sleep(50);
    }
    throw new AssertionError("the lab starts no " + proxies + " proxies");
  }

  @ParameterizedTest
  @ValueSource(strings = {"KILL", "INT"})
  void leavesNothingBehindWhenItIsEndedWhileSevenProxiesRun(String signal) throws Exception {
    Process lab =
        new ProcessBuilder(
                "bin/brassbank",
                "lab",
                SCRIPTS.resolve("seven-with-links-of-all-kinds.toml").toString())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    Site site = started(lab, 7);
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
  void tellsItsResultAsJsonAndKeepsTheLogs() throws Exception {
    Path logs = Files.createTempDirectory("brassbank-logs");
    Path said = Files.createTempFile("brassbank", ".json");
    Process lab =
        new ProcessBuilder(
                "bin/brassbank",
                "lab",
                SCRIPTS.resolve("one-is-killed.toml").toString(),
                "--json",
                "--logs",
                logs.toString())
            .redirectOutput(said.toFile())
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    assertThat(lab.waitFor(90, TimeUnit.SECONDS)).isTrue();
    assertThat(lab.exitValue()).isZero();
    JsonObject json = JsonParser.parseString(Files.readString(said)).getAsJsonObject();
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
    Files.delete(said);
  }

  @Test
  void tellsAFailedStartAndLeavesNothing() throws Exception {
    Path root = Files.createTempDirectory("brassbank-no-root");
    Files.createDirectories(root.resolve("deploy"));
    Files.writeString(root.resolve("deploy/serve.sh"), "echo no runtime here; exit 3\n");
    try (Lab lab = new Lab(Script.read(SCRIPTS.resolve("one-is-killed.toml")), root, null)) {
      assertThat(org.assertj.core.api.Assertions.catchThrowable(() -> lab.play(NOBODY)))
          .isInstanceOf(LabException.class)
          .hasMessageContaining("no runtime here");
    }
    Files.delete(root.resolve("deploy/serve.sh"));
    Files.delete(root.resolve("deploy"));
    Files.delete(root);
  }
}
