package brassbank.fleet;

import brassbank.membership.Counters;
import brassbank.membership.Member;
import brassbank.membership.Membership;
import brassbank.membership.View;
import brassbank.shares.Part;
import brassbank.shares.Seats;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.Locale;

/** A view as operators get it; docs/management.md has the fields. */
final class Told {
  private static final double MICROS = 1e6;
  private static final double MICROS_PER_MILLI = 1e3;

  private Told() {}

  static String json(
      long now, String name, Membership membership, Sharing sharing, Traffic traffic) {
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
      json.add("share", share(now, sharing.part(now), sharing.seats()));
    }
    JsonObject figures = new JsonObject();
    figures.addProperty("sent", traffic.sent());
    figures.addProperty("sent_bytes", traffic.sentBytes());
    figures.addProperty("received", traffic.received());
    figures.addProperty("received_bytes", traffic.receivedBytes());
    traffic.refused().forEach((why, count) -> figures.addProperty("dropped_" + lower(why), count));
    Counters counters = membership.counters();
    figures.addProperty("round_trip_ms", membership.roundTrip() / MICROS_PER_MILLI);
    figures.addProperty("health", membership.health());
    figures.addProperty("probes", counters.probes());
    figures.addProperty("probes_failed", counters.probesFailed());
    figures.addProperty("late_acks", counters.lateAcks());
    figures.addProperty("suspicions", counters.suspicions());
    figures.addProperty("refutations", counters.refutations());
    figures.addProperty("deaths", counters.deaths());
    figures.addProperty("views_asked", counters.pulls());
    figures.addProperty("views_sent", counters.views());
    figures.addProperty("old", counters.old());
    figures.addProperty("own", counters.own());
    figures.addProperty("overfull", counters.overfull());
    figures.addProperty("unanswered", counters.unanswered());
    json.add("figures", figures);
    return json.toString();
  }

  private static JsonObject share(long now, Part part, Seats seats) {
    JsonObject json = new JsonObject();
    json.addProperty("part", part.part());
    json.addProperty("base", part.base());
    json.addProperty("seated", part.seated());
    json.addProperty("turn", part.turn());
    json.addProperty("of", part.of());
    json.addProperty("weight", seats.weight(now));
    json.addProperty("rank_taken", seats.taken());
    json.addProperty("other_size", seats.refused());
    return json;
  }

  private static JsonObject member(long now, Member member) {
    JsonObject json = new JsonObject();
    json.addProperty("name", member.name());
    json.addProperty("address", text(member.address()));
    json.addProperty("zone", member.zone());
    json.addProperty("state", lower(member.state()));
    json.addProperty("activity", lower(member.activity()));
    json.addProperty("birth", member.incarnation().birth());
    json.addProperty("raised", member.incarnation().raised());
    json.addProperty("for_s", Math.max(0, now - member.since()) / MICROS);
    return json;
  }

  private static String text(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + address.getPort();
  }

  private static String lower(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
