package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Starts the program by deploy/serve.sh with the class-data archive that the build has made, in a
 * copy of the folders.
 */
class ArchiveIT {
  private static final String SHARED = "brassbank.net.Net source: shared objects file";

  private ProxyFixture fixture;
  private Path root;
  private Path archive;

  @BeforeEach
  void copyFolders() throws Exception {
    fixture = new ProxyFixture();
    root = Files.createTempDirectory("brassbank");
    for (String folder : List.of("deploy", "example", "target", "target/lib")) {
      Files.createDirectories(root.resolve(folder));
      try (Stream<Path> files = Files.list(Path.of(folder)).filter(Files::isRegularFile)) {
        for (Path file : files.toList()) {
          // The Java runtime identifies a jar by its modification time and size.
          Files.copy(file, root.resolve(file), StandardCopyOption.COPY_ATTRIBUTES);
        }
      }
    }
    archive = root.resolve("target/brassbank.jsa");
  }

  @AfterEach
  void deleteCopy() throws Exception {
    fixture.close();
    try (Stream<Path> files = Files.walk(root).sorted(Comparator.reverseOrder())) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }

  private String startAndReadLog() throws Exception {
    ProcessBuilder builder = new ProcessBuilder("sh", "deploy/serve.sh").directory(root.toFile());
    builder.environment().put("JAVA_TOOL_OPTIONS", "-Xlog:class+load:stdout");
    fixture.config.add(
        "known",
        JsonParser.parseString(
            ProxyFixture.targetList(1, true, "SERVING", fixture.addTarget("s-1"))));
    fixture.launch(fixture.config.toString(), builder);
    fixture.awaitAdmission();
    return Files.readString(fixture.logFile(), StandardCharsets.ISO_8859_1);
  }

  /** An archive fits only one heap layout, which follows from the flags. */
  @ParameterizedTest
  @ValueSource(ints = {32, 96, 192})
  void startsFromTheArchiveWithTheFlagsOfEveryMemoryLimit(int limit) throws Exception {
    fixture.config.getAsJsonObject("limits").addProperty("memory_mb", limit);
    assertThat(startAndReadLog())
        .contains(SHARED)
        .doesNotContain("class-data archive", "archive-unused");
  }

  /**
   * Guards against losing the memory limits and the archive, or failing to start, on a machine
   * where the script cannot run any program but Java.
   */
  @Test
  void startsWithItsLimitsAndTheArchiveWhenNoOtherProgramIsAvailable() throws Exception {
    Path bin = Files.createDirectory(root.resolve("bin"));
    Path java = Path.of(System.getProperty("java.home"), "bin", "java").toRealPath();
    Files.createSymbolicLink(bin.resolve("java"), java);
    fixture.config.getAsJsonObject("limits").addProperty("memory_mb", 96);
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "deploy/serve.sh");
    builder.directory(root.toFile());
    builder.environment().put("PATH", bin.toString());
    builder
        .environment()
        .put("JAVA_TOOL_OPTIONS", "-Xlog:class+load:stdout -Xlog:gc+heap+exit*,gc+init*:stdout");
    fixture.config.add(
        "known",
        JsonParser.parseString(
            ProxyFixture.targetList(1, true, "SERVING", fixture.addTarget("s-1"))));
    fixture.launch(fixture.config.toString(), builder);
    fixture.awaitAdmission();
    assertThat(Files.readString(fixture.logFile(), StandardCharsets.ISO_8859_1))
        .contains(SHARED, "Heap Max Capacity: 32M")
        .doesNotContain("not found", "class-data archive");
  }

  /** A truncated or overwritten archive made the Java runtime crash with SIGBUS or SIGSEGV. */
  @ParameterizedTest
  @ValueSource(strings = {"absent", "empty", "truncated", "overwritten", "no sum"})
  void servesWithoutAnArchiveThatIsMissingOrDamaged(String damage) throws Exception {
    assertThat(archive.toFile().setWritable(true)).isTrue();
    if (damage.equals("absent")) {
      Files.delete(archive);
    } else if (damage.equals("no sum")) {
      Files.delete(root.resolve("target/brassbank.jsa.sum"));
    } else {
      try (RandomAccessFile file = new RandomAccessFile(archive.toFile(), "rw")) {
        if (damage.equals("overwritten")) {
          file.seek(file.length() / 2);
          file.write(new byte[1 << 20]);
        } else {
          file.setLength(damage.equals("empty") ? 0 : file.length() / 2);
        }
      }
    }
    assertThat(startAndReadLog()).doesNotContain(SHARED).contains("no class-data archive");
  }

  @ParameterizedTest
  @ValueSource(strings = {"another runtime's", "another jar's"})
  void servesWithoutAStaleArchiveAndMakesANewOne(String stale) throws Exception {
    assertThat(archive.toFile().setWritable(true)).isTrue();
    if (stale.equals("another jar's")) {
      touch(root.resolve("target/brassbank.jar"));
    } else {
      byte[] bytes = Files.readAllBytes(archive);
      // The header holds the version of the Java runtime.
      String text = new String(bytes, 0, 4096, StandardCharsets.ISO_8859_1);
      int at = text.indexOf(System.getProperty("java.vm.version"));
      assertThat(at).isPositive();
      bytes[at] = '1' - 1;
      Files.write(archive, bytes);
      run("cksum <target/brassbank.jsa >target/brassbank.jsa.sum");
    }
    assertThat(startAndReadLog()).doesNotContain(SHARED).contains("archive-unused");
    run("sh deploy/archive.sh");
    fixture.close();
    fixture = new ProxyFixture();
    assertThat(startAndReadLog()).contains(SHARED);
  }

  @Test
  void makingAnArchiveNeverFailsTheBuild() throws Exception {
    Files.delete(root.resolve("target/brassbank.jar"));
    assertThat(run("sh deploy/archive.sh")).startsWith("no class-data archive was made");
    assertThat(archive).doesNotExist();
  }

  private static void touch(Path file) throws IOException {
    Files.setLastModifiedTime(file, FileTime.fromMillis(1_700_000_000_000L));
  }

  private String run(String command) throws Exception {
    Process process =
        new ProcessBuilder("sh", "-c", command)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .start();
    String output = new String(process.getInputStream().readAllBytes());
    assertThat(process.waitFor(1, TimeUnit.MINUTES)).isTrue();
    assertThat(process.exitValue()).isZero();
    return output;
  }
}
