package brassbank.lab;

import brassbank.sim.event.Event;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;

/** A view as a process tells it at its management door. */
final class MemberViewParser {
  private MemberViewParser() {}

  /** Null where the process is no member now; throws where the text is no such thing. */
  static Event.ViewSeen parse(String proxy, int process, String text) {
    JsonObject json = JsonParser.parseString(text).getAsJsonObject();
    if (!json.get("member").getAsBoolean()) {
      return null;
    }
    List<Event.Seen> members = new ArrayList<>();
    for (JsonElement one : json.getAsJsonArray("members")) {
      JsonObject member = one.getAsJsonObject();
      members.add(
          new Event.Seen(
              member.get("name").getAsString(),
              member.get("state").getAsString(),
              member.get("birth").getAsLong(),
              member.get("raised").getAsInt()));
    }
    return new Event.ViewSeen(
        proxy,
        process,
        json.get("version").getAsLong(),
        json.get("settled").getAsBoolean(),
        json.get("displaced").getAsBoolean(),
        members);
  }
}
