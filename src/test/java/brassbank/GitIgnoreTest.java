package brassbank;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class GitIgnoreTest {
  /**
   * The unanchored pattern {@code target/} also excluded a package of that name from the
   * repository.
   */
  @Test
  void everyPatternIsAnchoredAtTheRoot() throws IOException {
    assertThat(Files.readAllLines(Path.of(".gitignore"))).allMatch(line -> line.startsWith("/"));
  }
}
