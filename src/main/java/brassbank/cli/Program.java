package brassbank.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileSystemException;
import java.nio.file.NoSuchFileException;
import java.util.List;
import java.util.Properties;
import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.UnmatchedArgumentException;

/**
 * Parses the command line and runs the command. Commands are annotated objects; each of them gets
 * {@code --help}, {@code --version}, error messages of one line and the statuses of {@link
 * ExitStatus}.
 */
public final class Program {
  private static final String NAME = "brassbank";

  private Program() {}

  @Command(
      name = NAME,
      description = "A proxy that places long-lived connections on stream hosts.",
      synopsisSubcommandLabel = "COMMAND")
  private static final class Root implements Callable<Integer> {
    @Override
    public Integer call() {
      throw new UsageException("a command is missing");
    }
  }

  /**
   * Runs the command that the arguments name, on the calling thread.
   *
   * @param commands objects annotated with {@code @Command}
   * @return the exit status, one of {@link ExitStatus}; errors have been written to standard error
   */
  public static int run(List<? extends Callable<Integer>> commands, String... args) {
    return commandLine(commands).execute(args);
  }

  static CommandLine commandLine(List<? extends Callable<Integer>> commands) {
    CommandLine root = new CommandLine(new Root());
    commands.forEach(root::addSubcommand);
    root.addSubcommand(new AutoComplete.GenerateCompletion());
    applyCommonOptions(root);
    // An argument that begins with @ stands for itself, not for a file of arguments.
    root.setExpandAtFiles(false);
    root.setCaseInsensitiveEnumValuesAllowed(true);
    root.setParameterExceptionHandler((error, given) -> reportUsageError(error));
    root.setExecutionExceptionHandler((error, command, parsed) -> reportFailure(error, command));
    return root;
  }

  private static void applyCommonOptions(CommandLine command) {
    CommandSpec spec = command.getCommandSpec();
    spec.mixinStandardHelpOptions(true);
    spec.versionProvider(() -> new String[] {NAME + " " + version()});
    spec.exitCodeOnInvalidInput(ExitStatus.USAGE).exitCodeOnExecutionException(ExitStatus.FAILED);
    spec.usageMessage().exitCodeListHeading("%nExit status:%n").exitCodeList(ExitStatus.meanings());
    command.getSubcommands().values().forEach(Program::applyCommonOptions);
  }

  private static int reportUsageError(ParameterException error) {
    CommandLine command = error.getCommandLine();
    String text = error.getMessage();
    if (error instanceof UnmatchedArgumentException unmatched) {
      if (command.getParent() == null && !unmatched.isUnknownOption()) {
        text = "no such command: '" + unmatched.getUnmatched().get(0) + "'";
      }
      List<String> suggestions = unmatched.getSuggestions();
      text +=
          suggestions.isEmpty() ? "" : "; did you mean " + String.join(" or ", suggestions) + "?";
    }
    return reportUsageError(command, text);
  }

  private static int reportUsageError(CommandLine command, String text) {
    String name = command.getCommandSpec().qualifiedName();
    command.getErr().println(oneLine(name + ": " + text + " (see " + name + " --help)"));
    return ExitStatus.USAGE;
  }

  private static int reportFailure(Exception error, CommandLine command) {
    if (error instanceof UsageException) {
      return reportUsageError(command, error.getMessage());
    }
    command
        .getErr()
        .println(oneLine(command.getCommandSpec().qualifiedName() + ": " + message(error)));
    if (error instanceof RuntimeException && !(error instanceof UncheckedIOException)) {
      // A fault of the program rather than of its environment: the stack trace locates it.
      error.printStackTrace(command.getErr());
    }
    return ExitStatus.FAILED;
  }

  /** Returns the message of an exception; that of some file exceptions is only the path. */
  private static String message(Throwable error) {
    if (error instanceof UncheckedIOException unchecked) {
      return message(unchecked.getCause());
    }
    if (error instanceof NoSuchFileException missing) {
      return missing.getFile() + ": no such file";
    }
    if (error instanceof AccessDeniedException denied) {
      return denied.getFile() + ": permission denied";
    }
    if (error instanceof FileSystemException file && file.getReason() == null) {
      return file.getFile() + ": " + file.getClass().getSimpleName();
    }
    return error instanceof IOException && error.getMessage() != null
        ? error.getMessage()
        : error.toString();
  }

  /** Makes one line of a message, which may quote arguments with line ends. */
  private static String oneLine(String text) {
    return text.replaceAll("\\s*\\R\\s*", " ").replaceAll("\\p{Cntrl}", "?");
  }

  private static String version() throws IOException {
    Properties properties = new Properties();
    try (InputStream in = Program.class.getResourceAsStream("version.properties")) {
      properties.load(in);
    }
    return properties.getProperty("version");
  }
}
