package brassbank.sim.fault;

import brassbank.sim.net.Machine;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Selects the directed links between machines that a fault affects. In a script {@code "n0,n1 >
 * s-*"} selects traffic from the machines on the left to those on the right, and {@code "n0 =
 * discovery-*"} selects both directions. A trailing {@code *} matches any suffix of a name.
 */
record LinkSelector(List<String> from, List<String> to, boolean both) {
  private static final Pattern FORM =
      Pattern.compile("([\\w-]+\\*?(?:,[\\w-]+\\*?)*) ([>=]) ([\\w-]+\\*?(?:,[\\w-]+\\*?)*)");

  /**
   * Parses the notation of scripts.
   *
   * @throws IllegalArgumentException if the text does not follow the notation
   */
  static LinkSelector parse(String text) {
    var parts = FORM.matcher(text);
    if (!parts.matches()) {
      throw new IllegalArgumentException(
          "no links: '" + text + "'; they are written as \"n0,n1 > s-*\", or with = for both ways");
    }
    return new LinkSelector(
        List.of(parts.group(1).split(",")),
        List.of(parts.group(3).split(",")),
        parts.group(2).equals("="));
  }

  /** Returns whether traffic from {@code a} to {@code b} uses a selected link. */
  boolean matches(Machine a, Machine b) {
    return (matchesAny(from, a) && matchesAny(to, b))
        || (both && matchesAny(from, b) && matchesAny(to, a));
  }

  private static boolean matchesAny(List<String> patterns, Machine machine) {
    String name = machine.name();
    return patterns.stream()
        .anyMatch(
            pattern ->
                pattern.endsWith("*")
                    ? name.startsWith(pattern.substring(0, pattern.length() - 1))
                    : name.equals(pattern));
  }
}
