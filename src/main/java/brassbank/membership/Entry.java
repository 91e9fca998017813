package brassbank.membership;

import java.net.InetSocketAddress;

/** What this member knows of one, itself among them. */
final class Entry {
  final String name;
  InetSocketAddress address;
  String zone;
  Incarnation incarnation;
  State state;
  Activity activity;

  /** When the state or the activity changed here, of the caller's clock. */
  long since;

  /** While suspected; else null. */
  Suspicion suspicion;

  /** Who said last that it is not there; empty where nobody did. */
  String by = "";

  /** Its place among the live ones, -1 for none; the roster's. */
  int place = -1;

  /** It is to hear what is said of it. */
  boolean toBeTold;

  /** Who said so in a whole view, and of which incarnation; null once it has been told. */
  String hearsay;

  Incarnation hearsayOf;

  Entry(Update update, long since) {
    name = update.name();
    take(update, since);
  }

  void take(Update update, long now) {
    address = update.address();
    zone = update.zone();
    incarnation = update.incarnation();
    state = update.state();
    activity = update.activity();
    by = update.reportedBy();
    since = now;
  }

  Member member() {
    return new Member(name, address, zone, incarnation, state, activity, since);
  }

  Update update(long now) {
    long seconds = Math.max(0, now - since) / 1_000_000;
    return new Update(
        name,
        address,
        zone,
        incarnation,
        state,
        activity,
        (int) Math.min(Update.MAX_AGE_SECONDS, seconds),
        by);
  }
}
