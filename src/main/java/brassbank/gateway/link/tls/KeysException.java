package brassbank.gateway.link.tls;

/** Certificates or keys cannot be used; the message names the file and what is wrong. */
public final class KeysException extends Exception {
  private static final long serialVersionUID = 1;

  KeysException(String message) {
    super(message);
  }
}
