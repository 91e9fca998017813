package brassbank.cli;

/**
 * Thrown by a running command whose arguments, or a file that they name, cannot be used. The
 * program reports it in one line and exits with {@link ExitStatus#USAGE}.
 */
public final class UsageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /**
   * @param message what is wrong, in one line; for a file, it begins with the file and line number
   */
  public UsageException(String message) {
    super(message);
  }
}
