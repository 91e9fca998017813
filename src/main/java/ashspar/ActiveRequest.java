package ashspar;

import ashspar.Balancer.DeduplicationScope;
import ashspar.Balancer.Repeatability;
import ashspar.Balancer.Request;
import ashspar.Balancer.RequestClass;
import ashspar.limits.WaitingRoom;
import java.util.LinkedHashSet;
import java.util.Set;

/** A request or connection this node holds. */
final class ActiveRequest {
  final Request request;
  final RequestClass requestClass;
  final int maxAttempts; // of the settings that it came under
  long deadline;
  int attempts;

  /** The server of the attempt that is out, or that holds the connection. */
  Server server;

  boolean established;
  int pendingProbes;

  /** Its place in the waiting room, or null. */
  WaitingRoom<ActiveRequest>.Ticket ticket;

  /** What it was taken to add to its server's load. */
  double addedLoad;

  /** Where and when the first attempt that may have run was sent. */
  Server mayHaveRunServer;

  long mayHaveRunSentAt;
  long sentAt;
  double load;
  final Set<Server> triedServers = new LinkedHashSet<>(2);

  ActiveRequest(Request request, RequestClass type, int mostAttempts, long deadline) {
    this.request = request;
    this.requestClass = type;
    this.maxAttempts = mostAttempts;
    this.deadline = deadline;
    this.load = request.loadHint();
  }

  /** Rule 2: until when it may be sent; after an attempt that may have run, while it is dropped. */
  long sendDeadline() {
    long dropped =
        requestClass.repeatability() == Repeatability.GUARDED
            ? mayHaveRunSentAt + requestClass.deduplicationWindowMicros()
            : mayHaveRunSentAt;
    return mayHaveRunServer == null || requestClass.repeatability() == Repeatability.FREE
        ? deadline
        : Math.min(deadline, dropped);
  }

  /** Rule 2: after an attempt that may have run, only where its repeat is dropped, and in time. */
  boolean isRepeatSafeAt(Server s, long now) {
    if (mayHaveRunServer == null || requestClass.repeatability() == Repeatability.FREE) {
      return true;
    }
    boolean near =
        requestClass.deduplicationScope() == DeduplicationScope.ALL
            || (s.zone != null && s.zone.equals(mayHaveRunServer.zone));
    return now < sendDeadline()
        && near
        && (requestClass.deduplicationScope() != DeduplicationScope.CELL
            || s.cell == mayHaveRunServer.cell);
  }
}
