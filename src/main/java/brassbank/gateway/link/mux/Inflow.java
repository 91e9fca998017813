package brassbank.gateway.link.mux;

/**
 * What the other side of a session may send, and what of it is unread here. Granted, unread and
 * owed bytes come to the window at most, so that a session's memory is bounded whoever sends.
 */
final class Inflow {
  private final Mux mux;
  private final int first;
  private int window;

  /** Bytes that the other side may send. */
  private int granted;

  /** Bytes that the handler has been told of and has not taken. */
  private int unread;

  /** Bytes taken for which no credit has been given yet; of them, what is worth a frame. */
  private int owed;

  private int due;
  private long received;

  /**
   * @param granted bytes that the other side may send from the start
   */
  Inflow(Mux mux, int granted) {
    this.mux = mux;
    this.granted = granted;
    first = mux.limits().credit();
    window = first;
  }

  void grant(int bytes) {
    granted += bytes;
  }

  /** Whether so many may come; if so, they are counted. */
  boolean take(int bytes) {
    if (bytes > granted) {
      return false;
    }
    granted -= bytes;
    received += bytes;
    return true;
  }

  void told(int bytes) {
    unread += bytes;
  }

  /** The handler is done with so many bytes. Returns whether a frame of credit is now due. */
  boolean taken(int bytes) {
    if (bytes < 0 || bytes > unread) {
      throw new IllegalArgumentException("taken " + bytes + " of " + unread + " bytes");
    }
    unread -= bytes;
    owed += bytes;
    int more = mux.limits().window() - window;
    if (more > 0 && received >= window && mux.widen(more)) {
      window += more;
      owed += more;
    }
    // Half a window at a time: the sender goes on meanwhile, and few frames are needed.
    if (owed >= Math.max(1, window / 2)) {
      due += owed;
      owed = 0;
    }
    return due > 0;
  }

  /** The credit to be sent now; it counts as sent. */
  int due() {
    int now = due;
    due = 0;
    granted += now;
    return now;
  }

  /** Gives back what of the link's windows it has. */
  void close() {
    mux.narrow(window - first);
    window = first;
    due = 0;
  }
}
