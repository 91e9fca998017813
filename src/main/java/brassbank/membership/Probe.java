package brassbank.membership;

/** A probe that this member has sent, until acks of it no longer count. */
final class Probe {
  final int sequence;
  final String target;
  final Incarnation incarnation;
  final long sentAtMicros;

  /** When indirect probes are sent, in active time. */
  final long indirectAtMicros;

  /** When the probe fails, in active time. */
  final long deadlineMicros;

  /** Whether relays have been asked to ping the target. */
  boolean indirectSent;

  /** Whether the probe has been acknowledged or has failed. */
  boolean ended;

  /** Relays that have answered neither with an ack nor with a nack. */
  int missingNacks;

  Probe(
      int sequence,
      String target,
      Incarnation incarnation,
      long sentAtMicros,
      long indirectAtMicros,
      long deadlineMicros) {
    this.sequence = sequence;
    this.target = target;
    this.incarnation = incarnation;
    this.sentAtMicros = sentAtMicros;
    this.indirectAtMicros = indirectAtMicros;
    this.deadlineMicros = deadlineMicros;
  }
}
