package brassbank.sim.net;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A listening socket. The kernel completes connects into the backlog independently of whether the
 * program accepts them. While the backlog is full, further connects are dropped and their senders'
 * kernels retry.
 */
public final class ListeningSocket {
  private final Program program;
  private final int port;
  private final int backlog;
  private final Runnable acceptable;
  private final Deque<Endpoint> pendingConnections = new ArrayDeque<>();
  private boolean open = true;

  ListeningSocket(Program program, int number, int backlog, Runnable acceptable) {
    this.program = program;
    this.port = number;
    this.backlog = backlog;
    this.acceptable = acceptable;
  }

  boolean isBacklogFull() {
    return pendingConnections.size() >= backlog;
  }

  Program program() {
    return program;
  }

  void enqueue(Endpoint endpoint) {
    pendingConnections.add(endpoint);
    program.schedule(0, acceptable);
  }

  /** Returns the number of connections in the backlog. */
  public int pendingConnections() {
    return pendingConnections.size();
  }

  /** Accepts the oldest connection of the backlog for the listening program, or returns null. */
  public Endpoint accept() {
    return accept(program);
  }

  /**
   * Accepts a connection for a program that has inherited the socket from the listening program.
   */
  public Endpoint accept(Program heir) {
    Endpoint endpoint = pendingConnections.poll();
    if (endpoint != null) {
      heir.adopt(endpoint);
    }
    return endpoint;
  }

  /** Closes the socket and resets the connections in the backlog. */
  public void close() {
    if (open) {
      open = false;
      program.machine().unbindListener(port);
      program.onListenerClosed(this);
      pendingConnections.forEach(Endpoint::reset);
      pendingConnections.clear();
    }
  }
}
