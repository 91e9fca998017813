package brassbank.membership;

/** A ping of this member's own, or one that it sends for another. */
final class Probe {
  final int sequence;
  final String target;
  final Incarnation incarnation;
  final long sentAt;

  /** When others are asked, and when it has failed, of the member's lived time. */
  final long askAt;

  final long endAt;

  boolean asked;
  boolean over;

  /** Those who were asked and have told nothing so far. */
  int silent;

  Probe(int sequence, String target, Incarnation incarnation, long sentAt, long askAt, long endAt) {
    this.sequence = sequence;
    this.target = target;
    this.incarnation = incarnation;
    this.sentAt = sentAt;
    this.askAt = askAt;
    this.endAt = endAt;
  }
}
