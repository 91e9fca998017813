package brassbank.cli;

import java.util.LinkedHashMap;
import java.util.Map;

/** The exit statuses of all commands. */
public final class ExitStatus {
  public static final int OK = 0;
  public static final int FAILED = 1;
  public static final int USAGE = 2;

  /** The run does not count, because the machine was too slow; of the {@code lab} command only. */
  public static final int INVALID_RUN = 3;

  private ExitStatus() {}

  /** Returns the descriptions of the statuses for the help of each command. */
  static Map<String, String> meanings() {
    Map<String, String> meanings = new LinkedHashMap<>();
    meanings.put(String.valueOf(OK), "done, without failure");
    meanings.put(String.valueOf(FAILED), "it failed, or a rule that it checks was broken");
    meanings.put(String.valueOf(USAGE), "arguments or a configuration that cannot be used");
    return meanings;
  }
}
