package brassbank.membership;

/** Protocol counters of a member since its start. */
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

  /** Returns the number of probes sent. */
  public long probes() {
    return probes;
  }

  /** Returns the number of probes without an ack, neither direct nor indirect. */
  public long failedProbes() {
    return failedProbes;
  }

  /** Returns the number of acks that arrived after their probe had ended. */
  public long lateAcks() {
    return lateAcks;
  }

  /** Returns the number of suspicions started, by failed probes or by gossip. */
  public long suspicions() {
    return suspicions;
  }

  /** Returns how often this member refuted an update about itself. */
  public long refutations() {
    return refutations;
  }

  /** Returns the number of suspected members that were declared dead. */
  public long declaredDead() {
    return declaredDead;
  }

  /** Returns the number of requests for a whole view. */
  public long viewRequests() {
    return viewRequests;
  }

  /** Returns the number of whole views sent. */
  public long viewsSent() {
    return viewsSent;
  }

  /** Returns the number of datagrams from a member of which a newer incarnation is known. */
  public long staleDatagrams() {
    return staleDatagrams;
  }

  /** Returns the number of datagrams that this member received from itself. */
  public long ownDatagrams() {
    return ownDatagrams;
  }

  /** Returns the number of members rejected because the table was full. */
  public long rejectedMembers() {
    return rejectedMembers;
  }

  /** Returns the number of requests left unanswered by the rate limits. */
  public long unansweredRequests() {
    return unansweredRequests;
  }
}
