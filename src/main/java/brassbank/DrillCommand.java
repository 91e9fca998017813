package brassbank;

import ashspar.wire.WireHost;
import brassbank.cli.ExitStatus;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Runs decision modules that are driven over the simulator's wire protocol. */
@Command(
    name = "drill",
    description = "Serve the simulator's wire protocol on standard input and output.",
    footer = {
      "",
      "Hosts any number of decision modules until standard input ends. A malformed line ends it"
          + " with status 1."
    })
final class DrillCommand implements Callable<Integer> {
  /** Does not return: {@link WireHost#main} ends the program with its own exit status. */
  @Override
  public Integer call() throws IOException {
    WireHost.main(new String[] {"wirehost"});
    return ExitStatus.OK;
  }
}
