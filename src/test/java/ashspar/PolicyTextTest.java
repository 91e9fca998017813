package ashspar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.source.tree.ClassTree;
import com.sun.source.tree.CompilationUnitTree;
import com.sun.source.tree.Tree;
import com.sun.source.util.DocTrees;
import com.sun.source.util.JavacTask;
import com.sun.source.util.TreePath;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.tools.JavaFileObject;
import javax.tools.SimpleJavaFileObject;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.Test;

/** What the operators hold the files named 'policy' to, and names the module must not know. */
class PolicyTextTest {
  private static final Path MODULE = Path.of("src/main/java/ashspar");

  /** The files that deploy/balancer.toml names. */
  private static List<Path> files() throws IOException {
    List<Path> files = new ArrayList<>();
    for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
      Matcher name = Pattern.compile("\"([^\"]+)\"").matcher(line);
      while (line.startsWith("policy") && name.find()) {
        files.add(Path.of(name.group(1)));
      }
    }
    return files;
  }

  private static List<String> lines() throws IOException {
    List<String> lines = new ArrayList<>();
    for (Path file : files()) {
      lines.addAll(Files.readAllLines(file));
    }
    return lines;
  }

  /** The names of a file's top-level types, with a mark on those that have no doc comment. */
  private static List<String> topLevelTypes(String source) throws IOException {
    JavaFileObject file =
        new SimpleJavaFileObject(URI.create("string:///Source.java"), JavaFileObject.Kind.SOURCE) {
          @Override
          public CharSequence getCharContent(boolean ignoreEncodingErrors) {
            return source;
          }
        };
    JavacTask task =
        (JavacTask)
            ToolProvider.getSystemJavaCompiler()
                .getTask(null, null, null, null, null, List.of(file));
    List<String> types = new ArrayList<>();
    for (CompilationUnitTree unit : task.parse()) {
      for (Tree type : unit.getTypeDecls()) {
        String doc = DocTrees.instance(task).getDocComment(TreePath.getPath(unit, type));
        String name = type instanceof ClassTree named ? named.getSimpleName().toString() : "?";
        types.add(doc == null || doc.isBlank() ? name + " without a doc comment" : name);
      }
    }
    return types;
  }

  @Test
  void eachPolicyFileDeclaresOneDocumentedTypeAndNoLineIsTooLong() throws IOException {
    for (Path file : files()) {
      String name = file.getFileName().toString().replace(".java", "");
      assertEquals(List.of(name), topLevelTypes(Files.readString(file)));
    }
    assertEquals(List.of("A", "B"), topLevelTypes("/** A. */ class A {} /** B. */ record B() {}"));
    assertEquals(List.of("A without a doc comment"), topLevelTypes("// A\nclass A {}"));
    for (String line : lines()) {
      assertTrue(line.length() <= 110, "too long: " + line);
    }
  }

  @Test
  void allFilesThatDecideAreNamed() throws IOException {
    try (var here = Files.list(MODULE)) {
      List<Path> all =
          here.filter(file -> file.toString().endsWith(".java"))
              .filter(
                  file -> !file.endsWith("Balancer.java") && !file.endsWith("package-info.java"))
              .sorted()
              .toList();
      assertEquals(all, files().stream().sorted().toList());
    }
  }

  @Test
  void theHeaderNamesTheInterface() throws IOException {
    List<String> lines = Files.readAllLines(MODULE.resolve("Policy.java"));
    int end = lines.indexOf("public final class Policy implements Balancer {");
    assertTrue(end > 0 && String.join(" ", lines.subList(0, end)).contains("Balancer.java"));
  }

  @Test
  void theModuleKnowsNoNamesOfItsUsers() throws IOException {
    String text = String.join("\n", lines()).toLowerCase(Locale.ROOT);
    for (String name :
        List.of("amac", "bajio", "peninsula", "visor", "sala", "plano", "lector", "archivo")) {
      assertEquals(-1, text.indexOf(name), "the module names '" + name + "'");
    }
    for (String call : List.of("getenv", "getproperty", "currenttimemillis", "nanotime")) {
      assertEquals(-1, text.indexOf(call), "the module asks for '" + call + "'");
    }
  }
}
