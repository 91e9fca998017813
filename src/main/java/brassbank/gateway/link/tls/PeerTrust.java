package brassbank.gateway.link.tls;

import brassbank.gateway.link.frame.GatewayName;
import java.net.Socket;
import java.security.GeneralSecurityException;
import java.security.cert.CertificateException;
import java.security.cert.CertificateExpiredException;
import java.security.cert.CertificateNotYetValidException;
import java.security.cert.PKIXBuilderParameters;
import java.security.cert.TrustAnchor;
import java.security.cert.X509CertSelector;
import java.security.cert.X509Certificate;
import java.util.Date;
import java.util.LinkedHashSet;
import java.util.Set;
import javax.net.ssl.CertPathTrustManagerParameters;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.TrustManager;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509ExtendedTrustManager;

/**
 * The check of one connection's peer: its certificate is in time, comes from a trusted authority
 * (the JDK's PKIX, RFC 5280, as of the moment given), and names a gateway that may speak here. The
 * message of what it throws is for the log.
 */
final class PeerTrust extends X509ExtendedTrustManager {
  private final Date now;
  private final X509ExtendedTrustManager path;
  private final PeerCheck check;
  private volatile GatewayName gateway;

  PeerTrust(Keys keys, PeerCheck check, long unixMillis) throws GeneralSecurityException {
    this.check = check;
    now = new Date(unixMillis);
    Set<TrustAnchor> anchors = new LinkedHashSet<>();
    for (X509Certificate trusted : keys.trusted()) {
      anchors.add(new TrustAnchor(trusted, null));
    }
    PKIXBuilderParameters parameters = new PKIXBuilderParameters(anchors, new X509CertSelector());
    parameters.setDate(now);
    // There is nobody to ask: who is to be let in no longer is taken out of the configuration.
    parameters.setRevocationEnabled(false);
    TrustManagerFactory factory = TrustManagerFactory.getInstance("PKIX");
    factory.init(new CertPathTrustManagerParameters(parameters));
    X509ExtendedTrustManager found = null;
    for (TrustManager manager : factory.getTrustManagers()) {
      if (manager instanceof X509ExtendedTrustManager extended) {
        found = extended;
      }
    }
    path = found;
  }

  /** Whom the peer's certificate named, once it has passed; null before. */
  GatewayName gateway() {
    return gateway;
  }

  private interface Path {
    void check() throws CertificateException;
  }

  private void check(X509Certificate[] chain, Path way) throws CertificateException {
    X509Certificate own = chain[0];
    // First, since it is the likeliest and has the clearest words; and since the path's check
    // passes a certificate over that is trusted by itself, whatever its dates.
    try {
      own.checkValidity(now);
    } catch (CertificateExpiredException e) {
      throw new CertificateException("expired: " + Certificates.described(own));
    } catch (CertificateNotYetValidException e) {
      throw new CertificateException("not valid yet: " + Certificates.described(own));
    }
    try {
      way.check();
    } catch (CertificateException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      throw new CertificateException(
          "not trusted: " + Certificates.described(own) + ": " + cause.getMessage(), e);
    }
    GatewayName named;
    try {
      named = Certificates.gateway(own);
    } catch (IllegalArgumentException e) {
      throw new CertificateException(Certificates.described(own) + " " + e.getMessage());
    }
    String refusal = check.refuse(named);
    if (refusal != null) {
      throw new CertificateException(refusal + ": " + named);
    }
    gateway = named;
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String type, SSLEngine engine)
      throws CertificateException {
    check(chain, () -> path.checkClientTrusted(chain, type, engine));
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String type, SSLEngine engine)
      throws CertificateException {
    check(chain, () -> path.checkServerTrusted(chain, type, engine));
  }

  // The engine calls the two above only.

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String type, Socket socket) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String type, Socket socket) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void checkClientTrusted(X509Certificate[] chain, String type) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void checkServerTrusted(X509Certificate[] chain, String type) {
    throw new UnsupportedOperationException();
  }

  /** None are named to the peer: it has one certificate, and shows that. */
  @Override
  public X509Certificate[] getAcceptedIssuers() {
    return new X509Certificate[0];
  }
}
