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
 * The project's own options, from the file that {@code --config} names, or none. Without a file no
 * class of {@code brassbank.config.file} is loaded, nor any of the library's behind it.
 */
final class OwnOptions {
  private final Path file;

  /**
   * @param file null where none is named
   */
  OwnOptions(Path file) {
    this.file = file;
  }

  /** A file that cannot be used. */
  static final class UnusableException extends Exception {
    private static final long serialVersionUID = 1L;

    /** All that is wrong, a line each. */
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
   * What it says.
   *
   * @param joining null where it says nothing of a fleet
   */
  record Said(RelayLimits relay, MembershipConfig joining) {
    static final Said NOTHING = new Said(RelayLimits.NONE, null);
  }

  /** Reads the file, now. */
  Said read(Config config) throws UnusableException {
    return file == null ? Said.NOTHING : Reading.read(file, config);
  }

  /** Apart from the above, so that the verifier needs none of its types where there is no file. */
  private static final class Reading {
    static Said read(Path file, Config config) throws UnusableException {
      OptionsFile.Result result = OptionsFile.read(file);
      if (result.options().isEmpty()) {
        throw new UnusableException(result.problems().stream().map(Problem::toString).toList());
      }
      Options options = result.options().get();
      return new Said(
          options.relay(),
          options.joining() == null ? null : usable(file, options.joining(), config));
    }

    private static MembershipConfig usable(Path file, MembershipConfig joining, Config config)
        throws UnusableException {
      MembershipConfig whole = joining.withDefaultAddress(config.listen());
      if (whole.advertised().getAddress().isAnyLocalAddress()) {
        throw new UnusableException(
            List.of(
                file + ": membership.advertise is needed where datagrams are taken everywhere"));
      }
      if (!Update.isValidName(config.name())) {
        throw new UnusableException(
            List.of(file + ": the proxy's name cannot be a member's: " + config.name()));
      }
      String zone = config.settings().zone();
      if (zone != null && !zone.isEmpty() && !Update.isValidName(zone)) {
        throw new UnusableException(
            List.of(file + ": the proxy's zone cannot be a member's: " + zone));
      }
      return whole;
    }
  }
}
