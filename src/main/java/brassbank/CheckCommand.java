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

/** Reports all problems of an options file in one run. */
@Command(
    name = "check",
    description = "Check an options file for serve --config, or print all keys of one.",
    footer = {
      "",
      "Each problem is reported in one line on standard error, which begins with the file and the"
          + " line number. The status is 0 only if there is none."
    })
final class CheckCommand implements Callable<Integer> {
  /** The action to perform: exactly one of the two must be given. */
  private static final class Action {
    @Parameters(paramLabel = "FILE", description = "The TOML file to check.")
    private Path file;

    @Option(
        names = "--keys",
        description = "Print every key with its default, unit and bounds (Markdown).")
    private boolean keys;
  }

  @Spec private CommandSpec spec;

  @ArgGroup(multiplicity = "1")
  private Action action;

  @Override
  public Integer call() {
    PrintWriter out = spec.commandLine().getOut();
    if (action.keys) {
      out.print(Reference.markdown());
      out.flush();
      return ExitStatus.OK;
    }
    List<Problem> problems = OptionsFile.read(action.file).problems();
    problems.forEach(problem -> spec.commandLine().getErr().println(problem));
    if (problems.isEmpty()) {
      out.println(action.file + " can be used");
      return ExitStatus.OK;
    }
    return ExitStatus.USAGE;
  }
}
