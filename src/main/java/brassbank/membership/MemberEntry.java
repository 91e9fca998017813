package brassbank.membership;

import java.net.InetSocketAddress;

/** The mutable state of one member, or of this process itself, in the {@link MemberTable}. */
final class MemberEntry {
  final String name;
  InetSocketAddress address;
  String zone;
  Incarnation incarnation;
  State state;
  Activity activity;

  /** When the state or the activity changed in this process, by the caller's clock. */
  long changedAtMicros;

  /** The suspicion while the state is {@link State#SUSPECT}; otherwise null. */
  Suspicion suspicion;

  /** The member that last reported this one suspect or dead; empty if none did. */
  String reportedBy = "";

  /** Index in the list of live members, or -1; maintained by {@link MemberTable}. */
  int liveIndex = -1;

  /** Whether the member is queued to be notified of what is reported about it. */
  boolean notificationQueued;

  /**
   * The member that suspects this one according to a whole view; null once the suspect has been
   * notified.
   */
  String deferredAccuser;

  /** The incarnation that the deferred suspicion refers to. */
  Incarnation deferredIncarnation;

  MemberEntry(Update update, long changedAtMicros) {
    name = update.name();
    apply(update, changedAtMicros);
  }

  void apply(Update update, long now) {
    address = update.address();
    zone = update.zone();
    incarnation = update.incarnation();
    state = update.state();
    activity = update.activity();
    reportedBy = update.reportedBy();
    changedAtMicros = now;
  }

  Member toMember() {
    return new Member(name, address, zone, incarnation, state, activity, changedAtMicros);
  }

  Update toUpdate(long now) {
    long seconds = Math.max(0, now - changedAtMicros) / 1_000_000;
    return new Update(
        name,
        address,
        zone,
        incarnation,
        state,
        activity,
        (int) Math.min(Update.MAX_AGE_SECONDS, seconds),
        reportedBy);
  }
}
