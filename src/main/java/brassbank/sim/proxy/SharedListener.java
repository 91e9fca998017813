package brassbank.sim.proxy;

import brassbank.sim.net.Endpoint;
import brassbank.sim.net.ListeningSocket;
import brassbank.sim.net.Machine;
import brassbank.sim.net.Program;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The clients' listening socket as the platform holds it: all processes of a proxy inherit it, each
 * is woken for each connection, and whoever accepts first has it.
 */
final class SharedListener {
  private final List<Runnable> acceptors = new ArrayList<>();
  private final Consumer<Program> onAccepted;
  private final ListeningSocket port;

  /**
   * @param taken is told of the program that has accepted a connection
   */
  SharedListener(Machine machine, int number, int backlog, Consumer<Program> taken)
      throws IOException {
    this.onAccepted = taken;
    Program platform = new Program(machine, machine.name() + "-platform", 0, Integer.MAX_VALUE);
    port = platform.listen(number, backlog, () -> List.copyOf(acceptors).forEach(Runnable::run));
  }

  /** One more process has inherited the socket. */
  void addAcceptor(Runnable acceptable) {
    acceptors.add(acceptable);
  }

  int pendingConnections() {
    return port.pendingConnections();
  }

  Endpoint accept(Program heir) {
    Endpoint endpoint = port.accept(heir);
    if (endpoint != null) {
      onAccepted.accept(heir);
    }
    return endpoint;
  }

  /** The platform holds it no longer: what waits is reset. */
  void close() {
    port.close();
  }
}
