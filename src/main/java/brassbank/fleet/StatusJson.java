package brassbank.fleet;

import brassbank.membership.Counters;
import brassbank.membership.Member;
import brassbank.membership.Membership;
import brassbank.membership.View;
import brassbank.shares.BudgetShare;
import brassbank.shares.LeaseParticipant;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.Locale;

/** Renders the state of the fleet as JSON for operators; docs/management.md has the fields. */
final class StatusJson {
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MICROS_PER_MILLI = 1e3;

  private StatusJson() {}

  static String render(
      long now,
      String name,
      Membership membership,
      BudgetSharing sharing,
      DatagramCounters datagrams) {
    JsonObject json = new JsonObject();
    json.addProperty("self", name);
    json.addProperty("member", membership != null);
    if (membership == null) {
      return json.toString();
    }
    View view = membership.view();
    json.addProperty("version", view.version());
    json.addProperty("settled", view.settled());
    json.addProperty("displaced", view.displaced());
    JsonArray members = new JsonArray();
    view.members().forEach(member -> members.add(member(now, member)));
    json.add("members", members);
    if (sharing != null) {
      json.add("share", share(now, sharing.share(now), sharing.leases()));
    }
    JsonObject figures = new JsonObject();
    figures.addProperty("sent", datagrams.sent());
    figures.addProperty("sent_bytes", datagrams.sentBytes());
    figures.addProperty("received", datagrams.received());
    figures.addProperty("received_bytes", datagrams.receivedBytes());
    datagrams
        .dropped()
        .forEach((reason, count) -> figures.addProperty("dropped_" + lowerCase(reason), count));
    Counters counters = membership.counters();
    figures.addProperty("round_trip_ms", membership.smoothedRoundTripMicros() / MICROS_PER_MILLI);
    figures.addProperty("health", membership.localHealth());
    figures.addProperty("probes", counters.probes());
    figures.addProperty("probes_failed", counters.failedProbes());
    figures.addProperty("late_acks", counters.lateAcks());
    figures.addProperty("suspicions", counters.suspicions());
    figures.addProperty("refutations", counters.refutations());
    figures.addProperty("deaths", counters.declaredDead());
    figures.addProperty("views_asked", counters.viewRequests());
    figures.addProperty("views_sent", counters.viewsSent());
    figures.addProperty("old", counters.staleDatagrams());
    figures.addProperty("own", counters.ownDatagrams());
    figures.addProperty("overfull", counters.rejectedMembers());
    figures.addProperty("unanswered", counters.unansweredRequests());
    json.add("figures", figures);
    return json.toString();
  }

  private static JsonObject share(long now, BudgetShare share, LeaseParticipant leases) {
    JsonObject json = new JsonObject();
    json.addProperty("part", share.fraction());
    json.addProperty("base", share.baseFraction());
    json.addProperty("seated", share.hasLease());
    json.addProperty("turn", share.index());
    json.addProperty("of", share.participants());
    json.addProperty("weight", leases.weight(now));
    json.addProperty("rank_taken", leases.rankConflicts());
    json.addProperty("other_size", leases.rankCountMismatches());
    return json;
  }

  private static JsonObject member(long now, Member member) {
    JsonObject json = new JsonObject();
    json.addProperty("name", member.name());
    json.addProperty("address", formatAddress(member.address()));
    json.addProperty("zone", member.zone());
    json.addProperty("state", lowerCase(member.state()));
    json.addProperty("activity", lowerCase(member.activity()));
    json.addProperty("birth", member.incarnation().startTime());
    json.addProperty("raised", member.incarnation().revision());
    json.addProperty("for_s", Math.max(0, now - member.changedAtMicros()) / MICROS_PER_SECOND);
    return json;
  }

  private static String formatAddress(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
  }

  private static String lowerCase(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
