package brassbank;

import brassbank.config.Config;
import brassbank.config.file.Options;
import brassbank.config.file.OptionsFile;
import brassbank.config.file.Problem;
import brassbank.membership.MembershipConfig;
import brassbank.membership.Update;
import brassbank.relay.limits.RelayLimits;
import java.nio.file.Path;
import java.util.List;

/**
 * Loads the options of the program from the file that {@code --config} names, if any. Without a
 * file, neither classes of {@code brassbank.config.file} nor the TOML library behind it are loaded.
 */
final class OptionsLoader {
  private final Path file;

  /**
   * @param file the options file, or null if {@code --config} is not given
   */
  OptionsLoader(Path file) {
    this.file = file;
  }

  /** Thrown if the options file cannot be used. */
  static final class UnusableException extends Exception {
    private static final long serialVersionUID = 1L;

    /** All problems, one line each. */
    private final List<String> problems;

    UnusableException(List<String> problems) {
      super(String.join("; ", problems));
      this.problems = List.copyOf(problems);
    }

    List<String> problems() {
      return problems;
    }
  }

  /**
   * The options of the file.
   *
   * @param relay the limits on slow peers
   * @param membership how the proxy joins its fleet, or null if the file configures no fleet
   */
  record Loaded(RelayLimits relay, MembershipConfig membership) {
    static final Loaded DEFAULTS = new Loaded(RelayLimits.NONE, null);
  }

  /**
   * Reads the file.
   *
   * @throws UnusableException if the file cannot be read or has problems
   */
  Loaded read(Config config) throws UnusableException {
    return file == null ? Loaded.DEFAULTS : Reader.read(file, config);
  }

  /** A class of its own, so that verifying the outer class loads none of the types used here. */
  private static final class Reader {
    static Loaded read(Path file, Config config) throws UnusableException {
      OptionsFile.Result result = OptionsFile.read(file);
      if (result.options().isEmpty()) {
        throw new UnusableException(result.problems().stream().map(Problem::toString).toList());
      }
      Options options = result.options().get();
      return new Loaded(
          options.relay(),
          options.membership() == null ? null : validated(file, options.membership(), config));
    }

    private static MembershipConfig validated(Path file, MembershipConfig membership, Config config)
        throws UnusableException {
      MembershipConfig resolved = membership.withDefaultAddress(config.listen());
      if (resolved.advertised().getAddress().isAnyLocalAddress()) {
        throw new UnusableException(
            List.of(
                file
                    + ": membership.advertise is needed if membership.listen is a wildcard address"));
      }
      if (!Update.isValidName(config.name())) {
        throw new UnusableException(
            List.of(file + ": the proxy's name is not a valid member name: " + config.name()));
      }
      String zone = config.settings().zone();
      if (zone != null && !zone.isEmpty() && !Update.isValidName(zone)) {
        throw new UnusableException(
            List.of(file + ": the proxy's zone is not a valid member zone: " + zone));
      }
      return resolved;
    }
  }
}
