package brassbank.config;

/** Thrown when a configuration cannot be used; the message says what is wrong with it. */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  ConfigException(String message) {
    super(message);
  }
}
