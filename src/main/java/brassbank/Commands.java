package brassbank;

import brassbank.lab.LabCommand;
import brassbank.load.LoadCommand;
import brassbank.sim.cli.ExperimentCommand;
import brassbank.sim.cli.SimulateCommand;
import brassbank.sim.members.MembersDrillCommand;
import java.util.List;
import java.util.concurrent.Callable;

/**
 * The one list of what the program can be told, in the order that the help has. A command is one
 * class annotated with picocli's {@code @Command}; the frame gives it {@code --help}, {@code
 * --version}, the errors and the exit statuses. docs/command-line.md tells how to add one.
 */
final class Commands {
  private Commands() {}

  /** New objects on each call: the library writes a run's options into them. */
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
        new MembersDrillCommand());
  }
}
