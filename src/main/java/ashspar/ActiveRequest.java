package ashspar;

import ashspar.Balancer.DeduplicationScope;
import ashspar.Balancer.Repeatability;
import ashspar.Balancer.Request;
import ashspar.Balancer.RequestClass;
import ashspar.limits.WaitingRoom;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A request that has no final answer yet, or the open connection that it became. Times are
 * microseconds on the module's clock.
 */
final class ActiveRequest {
  final Request request;
  final RequestClass requestClass;
  final int maxAttempts; // from the settings in force when the request arrived
  long deadline;
  int attempts;

  /** The server of the attempt in progress or of the open connection, or null. */
  Server server;

  boolean established;
  int pendingProbes;

  /** The position in the waiting room, or null. */
  WaitingRoom<ActiveRequest>.Ticket ticket;

  /** The load that the request is assumed to add to its server. */
  double addedLoad;

  /**
   * The server of the first attempt that may have run, and the time it was sent; null if there is
   * none.
   */
  Server mayHaveRunServer;

  long mayHaveRunSentAt;
  long sentAt;
  double load;
  final Set<Server> triedServers = new LinkedHashSet<>(2);

  ActiveRequest(Request request, RequestClass requestClass, int maxAttempts, long deadline) {
    this.request = request;
    this.requestClass = requestClass;
    this.maxAttempts = maxAttempts;
    this.deadline = deadline;
    this.load = request.loadHint();
  }

  /**
   * Returns the time until which the request may be sent. After an attempt that may have run, a
   * request whose repeats are recognized may only be sent within the deduplication window, and a
   * single-shot request not at all.
   */
  long sendDeadline() {
    long repeatDeadline =
        requestClass.repeatability() == Repeatability.GUARDED
            ? mayHaveRunSentAt + requestClass.deduplicationWindowMicros()
            : mayHaveRunSentAt;
    return mayHaveRunServer == null || requestClass.repeatability() == Repeatability.FREE
        ? deadline
        : Math.min(deadline, repeatDeadline);
  }

  /**
   * Returns whether the request may be sent to the server without the risk of running twice: no
   * attempt may have run before, or the server still drops the duplicate.
   */
  boolean isRepeatSafeAt(Server s, long now) {
    if (mayHaveRunServer == null || requestClass.repeatability() == Repeatability.FREE) {
      return true;
    }
    boolean isInScope =
        requestClass.deduplicationScope() == DeduplicationScope.ALL
            || (s.zone != null && s.zone.equals(mayHaveRunServer.zone));
    return now < sendDeadline()
        && isInScope
        && (requestClass.deduplicationScope() != DeduplicationScope.CELL
            || s.cell == mayHaveRunServer.cell);
  }
}
