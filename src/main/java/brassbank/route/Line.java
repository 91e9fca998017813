package brassbank.route;

/** A link that is up. */
final class Line {
  final long link;
  final Gateway gateway;
  final Damping damping;

  /** The peer's last stamp that came over it, and when. */
  long stamp = Message.NONE;

  long stampAt;

  /** Our last stamp that the peer had over it when it spoke last. */
  long echo = Message.NONE;

  /** Smoothed round trip in microseconds; -1 before the first. */
  long roundTrip = -1;

  Line(long link, Gateway gateway, Damping damping) {
    this.link = link;
    this.gateway = gateway;
    this.damping = damping;
  }

  void heard(Message.Tell tell, long now) {
    stamp = tell.stamp();
    stampAt = now;
    // Our own clock is behind every true echo; the rest is nonsense, or of another connection.
    if (tell.echo() < 0 || tell.echo() > now || tell.held() < 0 || tell.echo() < echo) {
      return;
    }
    echo = tell.echo();
    // The peer's clock measures what it held, and may run faster than ours.
    long sample = Math.max(0, now - tell.echo() - tell.held());
    // RFC 6298, section 2, without its variance
    roundTrip = roundTrip < 0 ? sample : roundTrip + (sample - roundTrip) / 8;
  }
}
