package brassbank.config.file;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A list of addresses with ports. The comparison, which bounds checks need, uses the size only. */
record Addresses(List<InetSocketAddress> all) implements Comparable<Addresses> {
  private static final Pattern PATTERN =
      Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:.]{2,45}\\]):(\\d{1,5})");

  private static final int MAX_PORT = 65_535;

  Addresses {
    all = List.copyOf(all);
  }

  /**
   * Parses an address with its port; host names are not accepted.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  static InetSocketAddress parse(String text) {
    Matcher parts = PATTERN.matcher(text);
    if (!parts.matches()) {
      throw new IllegalArgumentException();
    }
    int port = Integer.parseInt(parts.group(2));
    if (port == 0 || port > MAX_PORT) {
      throw new IllegalArgumentException();
    }
    try {
      return new InetSocketAddress(InetAddress.getByName(parts.group(1)), port);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Returns the only address of a list with one. */
  InetSocketAddress single() {
    return all.get(0);
  }

  @Override
  public int compareTo(Addresses other) {
    return Integer.compare(all.size(), other.all.size());
  }

  @Override
  public String toString() {
    return all.toString();
  }
}
