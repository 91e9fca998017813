package brassbank;

import brassbank.cli.ExitStatus;
import brassbank.config.file.OptionsFile;
import brassbank.config.file.Problem;
import brassbank.config.file.Reference;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Tells all that is wrong with a file of options, at once. */
@Command(
    name = "check",
    description = "Check a file for serve --config, or print what one may hold.",
    footer = {
      "",
      "All that is wrong is told on standard error, a line each, which begins with the file and the"
          + " line number. The status is 0 only where nothing is."
    })
final class CheckCommand implements Callable<Integer> {
  /** One of the two. */
  private static final class What {
    @Parameters(paramLabel = "FILE", description = "The TOML file to check.")
    private Path file;

    @Option(
        names = "--keys",
        description = "Print every key with its default, unit and bounds (Markdown).")
    private boolean keys;
  }

  @Spec private CommandSpec spec;

  @ArgGroup(multiplicity = "1")
  private What what;

  @Override
  public Integer call() {
    PrintWriter out = spec.commandLine().getOut();
    if (what.keys) {
      out.print(Reference.markdown());
      out.flush();
      return ExitStatus.OK;
    }
    List<Problem> problems = OptionsFile.read(what.file).problems();
    problems.forEach(problem -> spec.commandLine().getErr().println(problem));
    if (problems.isEmpty()) {
      out.println(what.file + " can be used");
      return ExitStatus.OK;
    }
    return ExitStatus.USAGE;
  }
}
