package brassbank.cli;

/**
 * Arguments, or a file that they name, cannot be used. Thrown by a command that finds out only
 * while it runs; the program then says so in one line and ends with {@link ExitStatus#USAGE}.
 */
public final class UsageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * @param message what is wrong, in one line; for a file, beginning with its name and the line
   */
  public UsageException(String message) {
    super(message);
  }
}
