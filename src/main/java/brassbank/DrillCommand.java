package brassbank;

import ashspar.wire.WireHost;
import brassbank.cli.ExitStatus;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** The decisions on the simulator's wire. */
@Command(
    name = "drill",
    description = "Answer the simulator's wire on standard input and output.",
    footer = {
      "",
      "Hosts any number of decision modules until standard input ends. A line that breaks the"
          + " wire's format ends it with status 1."
    })
final class DrillCommand implements Callable<Integer> {
  /** Does not return: the adapter, which is inherited, ends the program with its own status. */
  @Override
  public Integer call() throws IOException {
    WireHost.main(new String[] {"wirehost"});
    return ExitStatus.OK;
  }
}
