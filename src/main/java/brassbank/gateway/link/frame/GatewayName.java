package brassbank.gateway.link.frame;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Which gateway this is: its site and its name there, each up to 63 lower case letters, digits,
 * dots and hyphens. As text, in a certificate too, it is {@code brassbank://site/name}.
 */
public record GatewayName(String site, String name) {
  private static final Pattern PART = Pattern.compile("[a-z0-9](?:[a-z0-9.-]{0,61}[a-z0-9])?");
  private static final Pattern TEXT = Pattern.compile("brassbank://([^/]*)/([^/]*)");

  /** The bytes that a part may have. */
  static final int LONGEST_PART = 63;

  /**
   * @throws IllegalArgumentException where one of the two is not of that form
   */
  public GatewayName {
    check("site", site);
    check("name", name);
  }

  private static void check(String what, String part) {
    if (!PART.matcher(part).matches()) {
      throw new IllegalArgumentException(
          "the " + what + " of a gateway has 1 to 63 of a-z 0-9 . -, and not " + part);
    }
  }

  /**
   * Reads {@link #toString} back.
   *
   * @throws IllegalArgumentException where it is not of that form
   */
  public static GatewayName of(String text) {
    Matcher parts = TEXT.matcher(text);
    if (!parts.matches()) {
      throw new IllegalArgumentException("not brassbank://site/name: " + text);
    }
    return new GatewayName(parts.group(1), parts.group(2));
  }

  @Override
  public String toString() {
    return "brassbank://" + site + "/" + name;
  }
}
