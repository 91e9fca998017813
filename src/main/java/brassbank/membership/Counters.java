package brassbank.membership;

/** What a member has counted since its start. */
public final class Counters {
  long probes;
  long failedProbes;
  long lateAcks;
  long suspicions;
  long refutations;
  long declaredDead;
  long viewRequests;
  long viewsSent;
  long staleDatagrams;
  long ownDatagrams;
  long rejectedMembers;
  long unansweredRequests;

  /** Pings sent to find out whether another is there. */
  public long probes() {
    return probes;
  }

  /** Of them those without an answer, neither direct nor by others. */
  public long failedProbes() {
    return failedProbes;
  }

  /** Answers that came when they were no longer waited for. */
  public long lateAcks() {
    return lateAcks;
  }

  /** Suspicions that began here, by own evidence or by others'. */
  public long suspicions() {
    return suspicions;
  }

  /** Times that this member had to contradict what was said of it. */
  public long refutations() {
    return refutations;
  }

  /** Suspicions that ended with a death here. */
  public long declaredDead() {
    return declaredDead;
  }

  /** Whole views asked for. */
  public long viewRequests() {
    return viewRequests;
  }

  /** Whole views sent. */
  public long viewsSent() {
    return viewsSent;
  }

  /** Datagrams of a member whose newer incarnation is known. */
  public long staleDatagrams() {
    return staleDatagrams;
  }

  /** Datagrams that came from this member itself. */
  public long ownDatagrams() {
    return ownDatagrams;
  }

  /** Members that there was no room for. */
  public long rejectedMembers() {
    return rejectedMembers;
  }

  /** Questions left without an answer, since too many came at once. */
  public long unansweredRequests() {
    return unansweredRequests;
  }
}
