package brassbank.decide;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;

/**
 * A target list as discovery sends it: the whole target group, or the entries that have changed.
 *
 * @param index the version of the target group at discovery
 * @param isSnapshot whether the list is complete: a target that is not listed has been removed
 */
public record TargetList(long index, boolean isSnapshot, List<Entry> entries) {

  public TargetList {
    entries = List.copyOf(entries);
  }

  /** The status of a target in discovery. */
  public enum Status {
    SERVING,
    DRAINING,
    DELETED
  }

  /**
   * One target.
   *
   * @param address where the target listens; null only if a deleted target is listed without one
   * @param startUnixMillis the Unix time of the target's last start, 0 for long ago
   */
  public record Entry(
      String name,
      InetSocketAddress address,
      String zone,
      String type,
      int group,
      Status status,
      double weight,
      long startUnixMillis) {}

  /**
   * Parses a list in discovery's JSON form.
   *
   * @throws IllegalArgumentException if the list is malformed
   */
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
      throw new IllegalArgumentException("malformed target list: " + e.getMessage(), e);
    }
  }

  private static Entry entry(JsonObject json) {
    Status status = Status.valueOf(json.get("status").getAsString());
    String name = json.get("name").getAsString();
    if (name.isEmpty()) {
      throw new IllegalArgumentException("malformed target list: a target has an empty name");
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

  /**
   * Parses a numeric address and port. Host names are rejected, since there is no DNS.
   *
   * @throws IllegalArgumentException if the text is not of the form {@code address:port}
   */
  public static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    if (!host.matches("[0-9.]+|\\[?[0-9a-fA-F:]+\\]?")) {
      throw new IllegalArgumentException("expected a numeric address:port, found " + text);
    }
    try {
      return new InetSocketAddress(
          InetAddress.getByName(host), Integer.parseInt(text.substring(colon + 1)));
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("invalid address: " + text, e);
    }
  }
}
