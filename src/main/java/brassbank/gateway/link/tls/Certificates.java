package brassbank.gateway.link.tls;

import brassbank.gateway.link.frame.GatewayName;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** What a certificate says. */
final class Certificates {
  /** Of a subject alternative name, that it is a URI (RFC 5280, section 4.2.1.6). */
  private static final int URI = 6;

  private Certificates() {}

  /**
   * The gateway that the certificate names: by its one subject alternative name that is a URI of
   * the scheme {@code brassbank}.
   *
   * @throws IllegalArgumentException where it names none, or more than one; the message says it
   */
  static GatewayName gateway(X509Certificate certificate) {
    Collection<List<?>> names;
    try {
      names = certificate.getSubjectAlternativeNames();
    } catch (CertificateParsingException e) {
      throw new IllegalArgumentException("alternative names that cannot be read", e);
    }
    List<String> uris = new ArrayList<>();
    for (List<?> name : names == null ? List.<List<?>>of() : names) {
      if (name.get(0).equals(URI) && name.get(1) instanceof String uri) {
        if (uri.startsWith("brassbank:")) {
          uris.add(uri);
        }
      }
    }
    if (uris.size() != 1) {
      throw new IllegalArgumentException(
          "names " + uris.size() + " gateways (URI:brassbank://site/name), not one");
    }
    return GatewayName.of(uris.get(0));
  }

  /** Who it is and until when it is valid, for a message. */
  static String described(X509Certificate certificate) {
    return "certificate of "
        + certificate.getSubjectX500Principal().getName()
        + " (valid from "
        + certificate.getNotBefore().toInstant()
        + " to "
        + certificate.getNotAfter().toInstant()
        + ")";
  }
}
