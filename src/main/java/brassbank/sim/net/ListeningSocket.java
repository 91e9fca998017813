package brassbank.sim.net;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A listening socket. The kernel completes connects into its backlog whether the program takes them
 * or not; when that is full, further ones are dropped and tried again by their kernels.
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

  /** Connections that wait to be taken. */
  public int pendingConnections() {
    return pendingConnections.size();
  }

  /** The oldest connection that waits, or null; it then is the program's own and counts there. */
  public Endpoint accept() {
    return accept(program);
  }

  /** As {@link #accept()}, by a program that has inherited the socket from the one that listens. */
  public Endpoint accept(Program heir) {
    Endpoint endpoint = pendingConnections.poll();
    if (endpoint != null) {
      heir.adopt(endpoint);
    }
    return endpoint;
  }

  /** Ends it; connections that wait in the backlog are reset. */
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
