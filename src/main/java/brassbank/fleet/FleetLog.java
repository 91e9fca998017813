package brassbank.fleet;

import static brassbank.log.Field.value;

import brassbank.log.Log;
import brassbank.membership.Member;
import brassbank.membership.ViewChange;
import brassbank.membership.wire.DropReason;
import java.net.InetSocketAddress;
import java.util.Locale;

/**
 * Logs the changes that a member sees and the datagrams that it drops, both with a rate limit.
 * Changes and datagrams beyond the limit are counted.
 */
final class FleetLog {
  private static final Log LOG = Log.of("fleet");
  private static final long SECOND_MICROS = 1_000_000;

  /** Log entries for changes per second; further changes are counted and reported in one entry. */
  private static final int MAX_CHANGES_PER_SECOND = 20;

  private static final long WARNING_INTERVAL_MICROS = 10 * SECOND_MICROS;

  private long currentSecond;
  private int changesInSecond;
  private long unloggedChanges;
  private long warnedAtMicros = Long.MIN_VALUE / 2;
  private long droppedSinceWarning;

  void memberChanged(long now, ViewChange change) {
    if (change.before() == null && change.after() == null) {
      return;
    }
    if (now / SECOND_MICROS != currentSecond) {
      currentSecond = now / SECOND_MICROS;
      changesInSecond = 0;
    }
    if (++changesInSecond > MAX_CHANGES_PER_SECOND) {
      unloggedChanges++;
      return;
    }
    logUnloggedChanges();
    Member member = change.after() == null ? change.before() : change.after();
    LOG.info(
        "member-changed",
        value("member", member.name()),
        value("from", change.before() == null ? "unknown" : lowerCase(change.before().state())),
        value("to", change.after() == null ? "forgotten" : lowerCase(member.state())),
        value("activity", lowerCase(member.activity())),
        value("incarnation", member.incarnation()),
        value("version", change.version()));
  }

  private void logUnloggedChanges() {
    if (unloggedChanges > 0) {
      LOG.info("members-changed", value("count", unloggedChanges));
      unloggedChanges = 0;
    }
  }

  private static String lowerCase(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  void settled(long version, int live) {
    logUnloggedChanges();
    LOG.info("fleet-settled", value("live", live), value("version", version));
  }

  void nameTaken(String name, InetSocketAddress by, boolean yields) {
    LOG.warn(
        "name-taken",
        value("member", name),
        value("by", by),
        value("outcome", yields ? "gives way" : "takes it over"));
  }

  void datagramDropped(long now, DropReason reason, String detail, InetSocketAddress from) {
    droppedSinceWarning++;
    if (now - warnedAtMicros >= WARNING_INTERVAL_MICROS) {
      warnedAtMicros = now;
      LOG.warn(
          "datagram-dropped",
          value("reason", lowerCase(reason)),
          value("what", detail),
          value("from", from),
          value("count", droppedSinceWarning));
      droppedSinceWarning = 0;
    }
  }

  void opened(InetSocketAddress address, String fleet) {
    LOG.info("fleet-open", value("fleet", fleet), value("address", address));
  }

  void openFailed(InetSocketAddress address, String reason) {
    LOG.warn("fleet-closed", value("address", address), value("reason", reason));
  }

  void closed(boolean leaveAnnounced) {
    LOG.info("fleet-left", value("goodbye", leaveAnnounced));
  }
}
