package brassbank.lab;

import brassbank.sim.event.Event;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;

/** Parses the membership view that a process returns at its management address. */
final class MemberViewParser {
  private MemberViewParser() {}

  /**
   * Parses the response to {@code GET /members}.
   *
   * @return the view, or null if the process is no member at present
   * @throws RuntimeException if the text is not a membership view
   */
  static Event.ViewSeen parse(String proxy, int process, String text) {
    JsonObject json = JsonParser.parseString(text).getAsJsonObject();
    if (!json.get("member").getAsBoolean()) {
      return null;
    }
    List<Event.Seen> members = new ArrayList<>();
    for (JsonElement element : json.getAsJsonArray("members")) {
      JsonObject member = element.getAsJsonObject();
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
