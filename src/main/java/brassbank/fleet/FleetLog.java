package brassbank.fleet;

import static brassbank.log.Field.value;

import brassbank.log.Log;
import brassbank.membership.Member;
import brassbank.membership.ViewChange;
import brassbank.membership.wire.DropReason;
import java.net.InetSocketAddress;
import java.util.Locale;

/** What a member logs: each change, damped in a storm, and what it drops, at a bounded pace. */
final class FleetLog {
  private static final Log LOG = Log.of("fleet");
  private static final long SECOND = 1_000_000;

  /** Lines for changes in a second; what is more is counted. */
  private static final int MOST_LINES = 20;

  private static final long WARN_EVERY = 10 * SECOND;

  private long second;
  private int lines;
  private long left;
  private long warnedAt = Long.MIN_VALUE / 2;
  private long refused;

  void changed(long now, ViewChange change) {
    if (change.before() == null && change.after() == null) {
      return;
    }
    if (now / SECOND != second) {
      second = now / SECOND;
      lines = 0;
    }
    if (++lines > MOST_LINES) {
      left++;
      return;
    }
    tellLeft();
    Member one = change.after() == null ? change.before() : change.after();
    LOG.info(
        "member-changed",
        value("member", one.name()),
        value("from", change.before() == null ? "unknown" : text(change.before().state())),
        value("to", change.after() == null ? "forgotten" : text(one.state())),
        value("activity", text(one.activity())),
        value("incarnation", one.incarnation()),
        value("version", change.version()));
  }

  private void tellLeft() {
    if (left > 0) {
      LOG.info("members-changed", value("count", left));
      left = 0;
    }
  }

  private static String text(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  void settled(long version, int live) {
    tellLeft();
    LOG.info("fleet-settled", value("live", live), value("version", version));
  }

  void nameTaken(String name, InetSocketAddress by, boolean yields) {
    LOG.warn(
        "name-taken",
        value("member", name),
        value("by", by),
        value("outcome", yields ? "gives way" : "takes it over"));
  }

  void refused(long now, DropReason why, String what, InetSocketAddress from) {
    refused++;
    if (now - warnedAt >= WARN_EVERY) {
      warnedAt = now;
      LOG.warn(
          "datagram-dropped",
          value("reason", text(why)),
          value("what", what),
          value("from", from),
          value("count", refused));
      refused = 0;
    }
  }

  void opened(InetSocketAddress address, String fleet) {
    LOG.info("fleet-open", value("fleet", fleet), value("address", address));
  }

  void cannotOpen(InetSocketAddress address, String why) {
    LOG.warn("fleet-closed", value("address", address), value("reason", why));
  }

  void closed(boolean goodbye) {
    LOG.info("fleet-left", value("goodbye", goodbye));
  }
}
