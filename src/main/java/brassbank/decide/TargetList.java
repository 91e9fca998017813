package brassbank.decide;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;

/**
 * The target group as discovery sends it: all of it, or the entries that have changed.
 *
 * @param isSnapshot true where a target that is missing has been removed
 */
public record TargetList(long index, boolean isSnapshot, List<Entry> entries) {

  public TargetList {
    entries = List.copyOf(entries);
  }

  /** What discovery says of a target. */
  public enum Status {
    SERVING,
    DRAINING,
    DELETED
  }

  /** One target; {@code sinceMillis} is the Unix time of its last start, 0 for long ago. */
  public record Entry(
      String name,
      InetSocketAddress address,
      String zone,
      String type,
      int group,
      Status status,
      double weight,
      long startUnixMillis) {}

  /** Reads discovery's form; throws IllegalArgumentException on what is malformed. */
  public static TargetList parse(JsonObject json) {
    try {
      List<Entry> entries = new ArrayList<>();
      for (JsonElement element : json.getAsJsonArray("endpoints")) {
        entries.add(entry(element.getAsJsonObject()));
      }
      return new TargetList(
          json.get("index").getAsLong(),
          json.has("snapshot") && json.get("snapshot").getAsBoolean(),
          entries);
    } catch (IllegalStateException
        | UnsupportedOperationException
        | ClassCastException
        | NullPointerException e) {
      throw new IllegalArgumentException("no list of targets: " + e.getMessage(), e);
    }
  }

  private static Entry entry(JsonObject json) {
    Status status = Status.valueOf(json.get("status").getAsString());
    String name = json.get("name").getAsString();
    if (name.isEmpty()) {
      throw new IllegalArgumentException("a target has no name");
    }
    InetSocketAddress address =
        status == Status.DELETED && !json.has("address")
            ? null
            : address(json.get("address").getAsString());
    return new Entry(
        name,
        address,
        json.has("zone") ? json.get("zone").getAsString() : "",
        json.has("type") ? json.get("type").getAsString() : "",
        json.has("group") ? json.get("group").getAsInt() : 0,
        status,
        json.has("weight") ? json.get("weight").getAsDouble() : 1,
        json.has("since_ms") ? json.get("since_ms").getAsLong() : 0);
  }

  /** A numeric address and port; a host name is refused, since there is no DNS. */
  public static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    if (!host.matches("[0-9.]+|\\[?[0-9a-fA-F:]+\\]?")) {
      throw new IllegalArgumentException("no numeric address:port: " + text);
    }
    try {
      return new InetSocketAddress(
          InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("no address: " + text, e);
    }
  }
}
