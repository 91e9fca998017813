package brassbank.sim.fault;

import brassbank.sim.net.Machine;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The links that a fault is aimed at, as a script names them: {@code "n0,n1 > s-*"} is what goes
 * from these machines to those, {@code "n0 = discovery-*"} both ways. A name may end in a star.
 */
record LinkSelector(List<String> from, List<String> to, boolean both) {
  private static final Pattern FORM =
      Pattern.compile("([\\w-]+\\*?(?:,[\\w-]+\\*?)*) ([>=]) ([\\w-]+\\*?(?:,[\\w-]+\\*?)*)");

  /** Throws IllegalArgumentException where the text is no such thing. */
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

  /** Whether what goes from one machine to another goes over one of them. */
  boolean matches(Machine a, Machine b) {
    return (named(from, a) && named(to, b)) || (both && named(from, b) && named(to, a));
  }

  private static boolean named(List<String> names, Machine machine) {
    String name = machine.name();
    return names.stream()
        .anyMatch(
            one ->
                one.endsWith("*")
                    ? name.startsWith(one.substring(0, one.length() - 1))
                    : name.equals(one));
  }
}
