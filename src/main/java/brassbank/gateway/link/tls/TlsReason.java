package brassbank.gateway.link.tls;

import java.io.IOException;
import java.security.cert.CertificateException;

/** Why a handshake came to nothing, in words for the log. */
public final class TlsReason {
  private TlsReason() {}

  public static String of(IOException failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof CertificateException) {
        return cause.getMessage();
      }
    }
    return String.valueOf(failure.getMessage());
  }
}
