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

/** deploy/serve.sh with the class-data archive that the build has made, in a copy of the folder. */
class ArchiveIT {
  private static final String SHARED = "brassbank.net.Net source: shared objects file";

  private Site site;
  private Path root;
  private Path archive;

  @BeforeEach
  void copy() throws Exception {
    site = new Site();
    root = Files.createTempDirectory("brassbank");
    for (String folder : List.of("deploy", "example", "target", "target/lib")) {
      Files.createDirectories(root.resolve(folder));
      try (Stream<Path> files = Files.list(Path.of(folder)).filter(Files::isRegularFile)) {
        for (Path file : files.toList()) {
          // The runtime knows a jar by its time and size.
          Files.copy(file, root.resolve(file), StandardCopyOption.COPY_ATTRIBUTES);
        }
      }
    }
    archive = root.resolve("target/brassbank.jsa");
  }

  @AfterEach
  void delete() throws Exception {
    site.close();
    try (Stream<Path> files = Files.walk(root).sorted(Comparator.reverseOrder())) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }

  private String logOfAStart() throws Exception {
    ProcessBuilder builder = new ProcessBuilder("sh", "deploy/serve.sh").directory(root.toFile());
    builder.environment().put("JAVA_TOOL_OPTIONS", "-Xlog:class+load:stdout");
    site.config.add(
        "known", JsonParser.parseString(Site.list(1, true, "SERVING", site.target("s-1"))));
    site.launch(site.config.toString(), builder);
    site.admitted();
    return Files.readString(site.log(), StandardCharsets.ISO_8859_1);
  }

  /** The archive depends on the heap's layout, which the flags decide. */
  @ParameterizedTest
  @ValueSource(ints = {32, 96, 192})
  void startsFromTheArchiveWithTheFlagsOfEveryMemoryLimit(int limit) throws Exception {
    site.config.getAsJsonObject("limits").addProperty("memory_mb", limit);
    assertThat(logOfAStart())
        .contains(SHARED)
        .doesNotContain("class-data archive", "archive-unused");
  }

  /**
   * Where starting programs is refused, the limit and the archive were lost, or the whole start.
   */
  @Test
  void startsWithItsCapsAndTheArchiveWhereNoOtherProgramIsToBeHad() throws Exception {
    Path bin = Files.createDirectory(root.resolve("bin"));
    Path java = Path.of(System.getProperty("java.home"), "bin", "java").toRealPath();
    Files.createSymbolicLink(bin.resolve("java"), java);
    site.config.getAsJsonObject("limits").addProperty("memory_mb", 96);
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "deploy/serve.sh");
    builder.directory(root.toFile());
    builder.environment().put("PATH", bin.toString());
    builder
        .environment()
        .put("JAVA_TOOL_OPTIONS", "-Xlog:class+load:stdout -Xlog:gc+heap+exit*,gc+init*:stdout");
    site.config.add(
        "known", JsonParser.parseString(Site.list(1, true, "SERVING", site.target("s-1"))));
    site.launch(site.config.toString(), builder);
    site.admitted();
    assertThat(Files.readString(site.log(), StandardCharsets.ISO_8859_1))
        .contains(SHARED, "Heap Max Capacity: 32M")
        .doesNotContain("not found", "class-data archive");
  }

  /** What is cut short or overwritten killed the runtime: SIGBUS, SIGSEGV. */
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
    assertThat(logOfAStart()).doesNotContain(SHARED).contains("no class-data archive");
  }

  @ParameterizedTest
  @ValueSource(strings = {"another runtime's", "another jar's"})
  void servesWithoutAnArchiveThatIsStaleAndMakesANewOne(String stale) throws Exception {
    assertThat(archive.toFile().setWritable(true)).isTrue();
    if (stale.equals("another jar's")) {
      touch(root.resolve("target/brassbank.jar"));
    } else {
      byte[] bytes = Files.readAllBytes(archive);
      // The runtime's version stands in the header.
      String text = new String(bytes, 0, 4096, StandardCharsets.ISO_8859_1);
      int at = text.indexOf(System.getProperty("java.vm.version"));
      assertThat(at).isPositive();
      bytes[at] = '1' - 1;
      Files.write(archive, bytes);
      run("cksum <target/brassbank.jsa >target/brassbank.jsa.sum");
    }
    assertThat(logOfAStart()).doesNotContain(SHARED).contains("archive-unused");
    run("sh deploy/archive.sh");
    site.close();
    site = new Site();
    assertThat(logOfAStart()).contains(SHARED);
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
