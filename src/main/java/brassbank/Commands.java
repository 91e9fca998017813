package brassbank;

import brassbank.lab.LabCommand;
import brassbank.load.LoadCommand;
import brassbank.sim.cli.ExperimentCommand;
import brassbank.sim.cli.SimulateCommand;
import brassbank.sim.members.SimulateMembersCommand;
import java.util.List;
import java.util.concurrent.Callable;

/**
 * The list of all commands of the program, in the order in which the help shows them.
 *
 * <p>A command is a class annotated with picocli's {@code @Command}. {@link brassbank.cli.Program}
 * adds {@code --help} and {@code --version}, and handles errors and exit statuses for all of them.
 * docs/command-line.md describes how to add a command.
 */
final class Commands {
  private Commands() {}

  /** Returns new objects on each call, because picocli writes the options of a run into them. */
  static List<Callable<Integer>> all() {
    return List.of(
        new ServeCommand(),
        new CheckCommand(),
        new MembersCommand(),
        new DrillCommand(),
        new LoadCommand(),
        new SimulateCommand(),
        new ExperimentCommand(),
        new LabCommand(),
        new SimulateMembersCommand());
  }
}
