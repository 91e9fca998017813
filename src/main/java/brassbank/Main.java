package brassbank;

import brassbank.cli.Program;

/** The entry point of the program. {@link Commands} lists its commands. */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws Exception {
    System.exit(run(args));
  }

  /**
   * Runs the command that the arguments name.
   *
   * <p>The two commands that the platform starts bypass picocli when they are given without
   * options, because loading it costs start-up time and memory that the platform's small machines
   * lack (see docs/command-line.md for figures). Nothing on this path may load {@link Program}.
   */
  private static int run(String[] args) throws Exception {
    if (args.length == 1 && args[0].equals("serve")) {
      return new ServeCommand().call();
    }
    if (args.length == 1 && args[0].equals("drill")) {
      return new DrillCommand().call();
    }
    return Program.run(Commands.all(), args);
  }
}
