package brassbank.cli;

import java.util.LinkedHashMap;
import java.util.Map;

/** The exit statuses of every command; this is the one place that says what they mean. */
public final class ExitStatus {
  public static final int OK = 0;
  public static final int FAILED = 1;
  public static final int USAGE = 2;

  /** Of the fleet lab alone. */
  public static final int INVALID_RUN = 3;

  private ExitStatus() {}

  /** What the help of each command says of them. */
  static Map<String, String> meanings() {
    Map<String, String> meanings = new LinkedHashMap<>();
    meanings.put(String.valueOf(OK), "done, and all is well");
    meanings.put(String.valueOf(FAILED), "it failed, or a rule that it checks was broken");
    meanings.put(String.valueOf(USAGE), "arguments or a configuration that cannot be used");
    return meanings;
  }
}
