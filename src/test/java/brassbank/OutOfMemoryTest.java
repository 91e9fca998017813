package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.grizzly.GrizzlyNetwork;
import brassbank.log.Console;
import brassbank.log.Format;
import brassbank.log.Log;
import brassbank.net.EventLoop;
import brassbank.sources.SystemClock;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A process that runs out of memory ends at once; it never goes on without serving. */
class OutOfMemoryTest {
  private static final int EXIT_STATUS = 3;

  /**
   * Takes the place of the Java runtime in deploy/serve.sh: runs the given program with the options
   * of the script.
   */
  private static final String RUNTIME_SCRIPT =
      """
      #!/bin/sh
      options=
      while [ "$1" != -jar ]; do
        options="$options $1"
        shift
      done
      exec "%s" $options -cp "%s" %s
      """;

  /** Runs out of heap and goes on, as a thread does whose framework catches every error. */
  static final class HeapExhaustion {
    public static void main(String[] arguments) {
      List<byte[]> memory = new ArrayList<>();
      try {
        while (true) {
          memory.add(new byte[1 << 20]);
        }
      } catch (OutOfMemoryError e) {
        System.err.println("went on after " + memory.size() + " MiB");
      }
    }
  }

  /** Runs out of direct memory on the event loop, which the class library reports by itself. */
  static final class DirectMemoryExhaustion {
    public static void main(String[] arguments) throws IOException, InterruptedException {
      SystemClock clock = new SystemClock();
      Log.install(new Console(System.err, Format.TEXT, clock));
      GrizzlyNetwork network = new GrizzlyNetwork(clock);
      network.start(new EventLoop(clock));
      network.execute(() -> java.nio.ByteBuffer.allocateDirect(1 << 30));
      Thread.sleep(TimeUnit.SECONDS.toMillis(5));
      System.err.println("went on");
      Runtime.getRuntime().halt(0);
    }
  }

  @TempDir private Path folder;

  /** Runs the program as deploy/serve.sh runs the proxy, and returns what it has written. */
  private String run(Class<?> program) throws IOException, InterruptedException {
    Path runtime = folder.resolve("java");
    Files.writeString(
        runtime,
        String.format(
            RUNTIME_SCRIPT,
            Path.of(System.getProperty("java.home"), "bin", "java"),
            System.getProperty("java.class.path"),
            program.getName().replace("$", "\\$")));
    Files.setPosixFilePermissions(runtime, PosixFilePermissions.fromString("rwx------"));
    Path configuration = folder.resolve("config.json");
    Files.writeString(configuration, "{\"limits\":{\"memory_mb\":32}}\n");
    Path output = folder.resolve("output.txt");
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "deploy/serve.sh");
    builder.environment().put("LB_CONFIG", configuration.toString());
    builder.environment().put("PATH", folder.toString());
    Process process = builder.redirectErrorStream(true).redirectOutput(output.toFile()).start();
    assertThat(process.waitFor(Peer.LIMIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    String text = Files.readString(output);
    assertThat(process.exitValue()).as(text).isEqualTo(EXIT_STATUS);
    return text;
  }

  /**
   * Guards against a process that neither serves nor ends once its heap is full (review case 1).
   */
  @Test
  void theProcessEndsWhenItsHeapIsExhausted() throws Exception {
    assertThat(run(HeapExhaustion.class))
        .contains("java.lang.OutOfMemoryError: Java heap space")
        .doesNotContain("went on");
  }

  /** Guards against the same after an error that the Java runtime does not see. */
  @Test
  void theProcessEndsWhenItsDirectMemoryIsExhausted() throws Exception {
    assertThat(run(DirectMemoryExhaustion.class))
        .contains("error net: out-of-memory", "direct buffer memory")
        .doesNotContain("went on");
  }
}
