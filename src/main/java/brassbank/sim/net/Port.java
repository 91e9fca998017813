package brassbank.sim.net;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A listening socket. The kernel completes connects into its backlog whether the program takes them
 * or not; when that is full, further ones are dropped and tried again by their kernels.
 */
public final class Port {
  private final Program program;
  private final int number;
  private final int backlog;
  private final Runnable acceptable;
  private final Deque<Endpoint> waiting = new ArrayDeque<>();
  private boolean open = true;

  Port(Program program, int number, int backlog, Runnable acceptable) {
    this.program = program;
    this.number = number;
    this.backlog = backlog;
    this.acceptable = acceptable;
  }

  boolean full() {
    return waiting.size() >= backlog;
  }

  Program program() {
    return program;
  }

  void arrive(Endpoint endpoint) {
    waiting.add(endpoint);
    program.later(0, acceptable);
  }

  /** Connections that wait to be taken. */
  public int waiting() {
    return waiting.size();
  }

  /** The oldest connection that waits, or null; it then is the program's own and counts there. */
  public Endpoint accept() {
    return accept(program);
  }

  /** As {@link #accept()}, by a program that has inherited the socket from the one that listens. */
  public Endpoint accept(Program heir) {
    Endpoint endpoint = waiting.poll();
    if (endpoint != null) {
      heir.adopt(endpoint);
    }
    return endpoint;
  }

  /** Ends it; connections that wait in the backlog are reset. */
  public void close() {
    if (open) {
      open = false;
      program.machine().listensNoLonger(number);
      program.closed(this);
      waiting.forEach(Endpoint::reset);
      waiting.clear();
    }
  }
}
