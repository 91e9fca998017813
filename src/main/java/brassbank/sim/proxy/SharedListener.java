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
 * The client listening socket, held by the platform. All processes of a proxy inherit it; each is
 * notified of each connection, and the first one to accept it gets the connection.
 */
final class SharedListener {
  private final List<Runnable> acceptors = new ArrayList<>();
  private final Consumer<Program> onAccepted;
  private final ListeningSocket socket;

  /**
   * @param taken called with the program that has accepted a connection
   */
  SharedListener(Machine machine, int port, int backlog, Consumer<Program> taken)
      throws IOException {
    this.onAccepted = taken;
    Program platform = new Program(machine, machine.name() + "-platform", 0, Integer.MAX_VALUE);
    socket = platform.listen(port, backlog, () -> List.copyOf(acceptors).forEach(Runnable::run));
  }

  /** Adds a process that has inherited the socket; {@code acceptable} runs for each connection. */
  void addAcceptor(Runnable acceptable) {
    acceptors.add(acceptable);
  }

  int pendingConnections() {
    return socket.pendingConnections();
  }

  Endpoint accept(Program program) {
    Endpoint endpoint = socket.accept(program);
    if (endpoint != null) {
      onAccepted.accept(program);
    }
    return endpoint;
  }

  /** Closes the socket and resets the connections in its backlog. */
  void close() {
    socket.close();
  }
}
