package brassbank.membership;

/** What a member has counted since its start. */
public final class Counters {
  long probes;
  long probesFailed;
  long lateAcks;
  long suspicions;
  long refutations;
  long deaths;
  long pulls;
  long views;
  long old;
  long own;
  long overfull;
  long unanswered;

  /** Pings sent to find out whether another is there. */
  public long probes() {
    return probes;
  }

  /** Of them those without an answer, neither direct nor by others. */
  public long probesFailed() {
    return probesFailed;
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
  public long deaths() {
    return deaths;
  }

  /** Whole views asked for. */
  public long pulls() {
    return pulls;
  }

  /** Whole views sent. */
  public long views() {
    return views;
  }

  /** Datagrams of a member whose newer incarnation is known. */
  public long old() {
    return old;
  }

  /** Datagrams that came from this member itself. */
  public long own() {
    return own;
  }

  /** Members that there was no room for. */
  public long overfull() {
    return overfull;
  }

  /** Questions left without an answer, since too many came at once. */
  public long unanswered() {
    return unanswered;
  }
}
