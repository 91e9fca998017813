package brassbank.sim.fault;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads and writes a {@link Plan} as a TOML file. Keys that a script omits take their defaults;
 * docs/simulation.md lists the keys.
 */
public final class Script {
  private static final int MIN_SECONDS = 1;
  private static final int MAX_SECONDS = 3_600;
  private static final int MAX_MACHINES = 250;
  private static final double MAX_CLIENTS_PER_SECOND = 1_000;
  private static final int MIN_SOCKETS = 80;
  private static final int MAX_SOCKETS = 1 << 20;
  private static final double MAX_SIZE = 1e6;

  private final String file;

  private Script(String file) {
    this.file = file;
  }

  /**
   * Reads a script.
   *
   * @throws ScriptException if the script is invalid; the message gives file, line and column
   */
  public static Plan read(Path path) throws IOException, ScriptException {
    return parse(path.toString(), Files.readString(path));
  }

  /** Parses a script; error messages refer to it as {@code file}. */
  static Plan parse(String file, String text) throws ScriptException {
    TomlParseResult toml = Toml.parse(text);
    if (toml.hasErrors()) {
      TomlParseError first = toml.errors().get(0);
      throw new ScriptException(position(file, first.position()) + first.getMessage());
    }
    return new Script(file).plan(toml);
  }

  private static String position(String file, TomlPosition position) {
    return position == null
        ? file + ": "
        : file + ":" + position.line() + ":" + position.column() + ": ";
  }

  private ScriptException error(TomlTable table, String key, String what) {
    return new ScriptException(position(file, table.inputPositionOf(key)) + what);
  }

  private Plan plan(TomlTable toml) throws ScriptException {
    requireKnownKeys(
        toml,
        List.of(
            "seed",
            "seconds",
            "proxies",
            "hosts",
            "rate",
            "sockets",
            "clients",
            "membership",
            "shares",
            "subsets",
            "fault"));
    int proxies = (int) integer(toml, "proxies", Plan.DEFAULT_PROXIES, 1, MAX_MACHINES);
    int hosts = (int) integer(toml, "hosts", Plan.DEFAULT_HOSTS, 1, MAX_MACHINES);
    Plan plan =
        new Plan(
            integer(toml, "seed", 1, Long.MIN_VALUE, Long.MAX_VALUE),
            (int) integer(toml, "seconds", Plan.DEFAULT_SECONDS, MIN_SECONDS, MAX_SECONDS),
            proxies,
            hosts,
            number(toml, "rate", Plan.DEFAULT_CLIENTS_PER_SECOND, 0.01, MAX_CLIENTS_PER_SECOND),
            (int) integer(toml, "sockets", Plan.DEFAULT_SOCKETS, MIN_SOCKETS, MAX_SOCKETS),
            List.of(),
            clients(toml),
            fleetMode(toml));
    return plan.with(faults(toml, plan));
  }

  private void requireKnownKeys(TomlTable table, List<String> keys) throws ScriptException {
    for (String key : table.keySet()) {
      if (!keys.contains(key)) {
        throw error(table, key, "no such key: '" + key + "'; known are " + new TreeSet<>(keys));
      }
    }
  }

  /** Returns the most comprehensive mode that is set; each mode includes those before it. */
  private Plan.FleetMode fleetMode(TomlTable toml) throws ScriptException {
    Plan.FleetMode result = Plan.FleetMode.NONE;
    for (Plan.FleetMode mode : Plan.FleetMode.values()) {
      result = mode != Plan.FleetMode.NONE && flag(toml, mode.key()) ? mode : result;
    }
    return result;
  }

  private long integer(TomlTable table, String key, long defaultValue, long min, long max)
      throws ScriptException {
    Object value = table.get(List.of(key));
    if (value == null) {
      return defaultValue;
    }
    if (!(value instanceof Long number) || number < min || number > max) {
      throw error(table, key, "'" + key + "' must be a whole number from " + min + " to " + max);
    }
    return number;
  }

  private double number(TomlTable table, String key, double defaultValue, double min, double max)
      throws ScriptException {
    Object value = table.get(List.of(key));
    if (value == null) {
      return defaultValue;
    }
    double number =
        value instanceof Double real ? real : value instanceof Long whole ? whole : Double.NaN;
    if (!(number >= min && number <= max)) {
      throw error(table, key, "'" + key + "' must be a number from " + min + " to " + max);
    }
    return number;
  }

  private String text(TomlTable table, String key) throws ScriptException {
    Object value = table.get(List.of(key));
    if (value != null && !(value instanceof String)) {
      throw error(table, key, "'" + key + "' must be a string");
    }
    return (String) value;
  }

  private IndexSet clients(TomlTable toml) throws ScriptException {
    String text = text(toml, "clients");
    if (text == null || text.equals("all")) {
      return IndexSet.ALL;
    }
    try {
      return IndexSet.parse(text);
    } catch (IllegalArgumentException e) {
      throw error(toml, "clients", "'clients' is neither \"all\" nor a list: " + e.getMessage());
    }
  }

  private boolean flag(TomlTable toml, String key) throws ScriptException {
    Object value = toml.get(List.of(key));
    if (value != null && !(value instanceof Boolean)) {
      throw error(toml, key, "'" + key + "' must be true or false");
    }
    return Boolean.TRUE.equals(value);
  }

  private List<Fault> faults(TomlTable toml, Plan plan) throws ScriptException {
    List<Fault> faults = new ArrayList<>();
    Object value = toml.get(List.of("fault"));
    if (value == null) {
      return faults;
    }
    if (!(value instanceof TomlArray array)) {
      throw error(toml, "fault", "'fault' must be written as [[fault]]");
    }
    for (int i = 0; i < array.size(); i++) {
      if (!(array.get(i) instanceof TomlTable table)) {
        throw error(toml, "fault", "'fault' must be written as [[fault]]");
      }
      faults.add(fault(table, array.inputPositionOf(i), plan));
    }
    return faults;
  }

  private Fault fault(TomlTable table, TomlPosition start, Plan plan) throws ScriptException {
    requireKnownKeys(table, List.of("kind", "at_ms", "for_ms", "target", "size"));
    String name = text(table, "kind");
    if (name == null) {
      throw new ScriptException(position(file, start) + "a fault needs a 'kind'");
    }
    FaultKind kind = FaultKinds.byName(name);
    if (kind == null) {
      throw error(
          table, "kind", "no such kind of fault: '" + name + "'; 'simulate --kinds' lists them");
    }
    long maxMillis = plan.seconds() * 1_000L;
    long from = integer(table, "at_ms", 0, 0, maxMillis);
    long length = integer(table, "for_ms", kind.minMillis(), 0, maxMillis);
    List<String> targets = Plan.targets(kind.targetType(), plan.proxies(), plan.hosts());
    String target = text(table, "target");
    if (kind.targetType() == FaultKind.TargetType.LINK) {
      validateLinks(table, start, name, target);
    } else if (target == null) {
      if (!targets.isEmpty()) {
        throw new ScriptException(position(file, start) + name + " needs a 'target'");
      }
      target = "";
    } else if (!targets.contains(target)) {
      throw error(
          table,
          "target",
          targets.isEmpty()
              ? name + " takes no target"
              : "no such target: '" + target + "'; there are " + targets);
    }
    double size = number(table, "size", kind.minSize(), -MAX_SIZE, MAX_SIZE);
    return new Fault(kind, from, length, target, size);
  }

  private void validateLinks(TomlTable table, TomlPosition start, String name, String target)
      throws ScriptException {
    if (target == null) {
      throw new ScriptException(position(file, start) + name + " needs a 'target'");
    }
    try {
      LinkSelector.parse(target);
    } catch (IllegalArgumentException e) {
      throw error(table, "target", e.getMessage());
    }
  }

  /** Writes a plan as a script that parses to the same plan, preceded by {@code comment}. */
  public static String write(Plan plan, String comment) {
    StringBuilder text = new StringBuilder();
    comment.lines().forEach(line -> text.append("# ").append(line).append('\n'));
    text.append("seed = ").append(plan.seed()).append('\n');
    text.append("seconds = ").append(plan.seconds()).append('\n');
    text.append("proxies = ").append(plan.proxies()).append('\n');
    text.append("hosts = ").append(plan.hosts()).append('\n');
    text.append("rate = ").append(plan.rate()).append('\n');
    text.append("sockets = ").append(plan.sockets()).append('\n');
    text.append("clients = \"").append(plan.clients()).append("\"\n");
    if (plan.usesMembership()) {
      text.append(plan.fleetMode().key()).append(" = true\n");
    }
    for (Fault fault : plan.faults()) {
      text.append("\n[[fault]]\n");
      text.append("kind = \"").append(fault.kind()).append("\"\n");
      text.append("at_ms = ").append(fault.atMillis()).append('\n');
      text.append("for_ms = ").append(fault.forMillis()).append('\n');
      if (!fault.target().isEmpty()) {
        text.append("target = \"").append(fault.target()).append("\"\n");
      }
      text.append(String.format(Locale.ROOT, "size = %s%n", fault.size()));
    }
    return text.toString();
  }
}
