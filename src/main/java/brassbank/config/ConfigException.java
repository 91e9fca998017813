package brassbank.config;

/** A configuration that cannot be used; the message says plainly what is wrong with it. */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  ConfigException(String message) {
    super(message);
  }
}
