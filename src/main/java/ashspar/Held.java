package ashspar;

import ashspar.Balancer.DeduplicationScope;
import ashspar.Balancer.Repeatability;
import ashspar.Balancer.Request;
import ashspar.Balancer.RequestClass;
import ashspar.limits.WaitingRoom;
import java.util.LinkedHashSet;
import java.util.Set;

/** A request or connection this node holds. */
final class Held {
  final Request request;
  final RequestClass type;
  final int mostAttempts; // of the settings that it came under
  long deadline;
  int attempts;

  /** The server of the attempt that is out, or that holds the connection. */
  Server at;

  boolean established;
  int awaited;

  /** Its place in the waiting room, or null. */
  WaitingRoom<Held>.Ticket ticket;

  /** What it was taken to add to its server's load. */
  double added;

  /** Where and when the first attempt that may have run was sent. */
  Server ranAt;

  long ranSent;
  long sentAt;
  double load;
  final Set<Server> tried = new LinkedHashSet<>(2);

  Held(Request request, RequestClass type, int mostAttempts, long deadline) {
    this.request = request;
    this.type = type;
    this.mostAttempts = mostAttempts;
    this.deadline = deadline;
    this.load = request.loadHint();
  }

  /** Rule 2: until when it may be sent; after an attempt that may have run, while it is dropped. */
  long sendBy() {
    long dropped =
        type.repeatability() == Repeatability.GUARDED
            ? ranSent + type.deduplicationWindowMicros()
            : ranSent;
    return ranAt == null || type.repeatability() == Repeatability.FREE
        ? deadline
        : Math.min(deadline, dropped);
  }

  /** Rule 2: after an attempt that may have run, only where its repeat is dropped, and in time. */
  boolean sharesMemory(Server s, long now) {
    if (ranAt == null || type.repeatability() == Repeatability.FREE) {
      return true;
    }
    boolean near =
        type.deduplicationScope() == DeduplicationScope.ALL
            || (s.zone != null && s.zone.equals(ranAt.zone));
    return now < sendBy()
        && near
        && (type.deduplicationScope() != DeduplicationScope.CELL || s.cell == ranAt.cell);
  }
}
