package brassbank.gateway.link.tls;

import brassbank.gateway.link.frame.GatewayName;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.cert.X509Certificate;
import java.util.List;

/**
 * A gateway's own certificate with its key, and the authorities whose certificates it trusts: any
 * number side by side, as while they are replaced. A value that never changes; any thread may use
 * it.
 */
public final class Keys {
  private final GatewayName gateway;
  private final PrivateKey key;
  private final List<X509Certificate> chain;
  private final List<X509Certificate> trusted;

  private Keys(
      GatewayName gateway,
      PrivateKey key,
      List<X509Certificate> chain,
      List<X509Certificate> trusted) {
    this.gateway = gateway;
    this.key = key;
    this.chain = List.copyOf(chain);
    this.trusted = List.copyOf(trusted);
  }

  /**
   * Reads PEM files; it blocks, and so is not for the loop's thread.
   *
   * @param certificate the gateway's own, and behind it those between it and its authority
   * @param key its private key, PKCS #8 without a password
   * @param trust the certificates of the authorities that the other gateways' come from
   * @throws KeysException where a file cannot be used, or they do not belong together
   */
  public static Keys read(Path certificate, Path key, Path trust) throws KeysException {
    List<X509Certificate> chain = Pem.certificates(certificate);
    PrivateKey secret = Pem.key(key);
    List<X509Certificate> trusted = Pem.certificates(trust);
    if (!belongTogether(secret, chain.get(0).getPublicKey())) {
      throw new KeysException(key + ": is not the key of the first certificate in " + certificate);
    }
    GatewayName gateway;
    try {
      gateway = Certificates.gateway(chain.get(0));
    } catch (IllegalArgumentException e) {
      throw new KeysException(certificate + ": " + e.getMessage());
    }
    return new Keys(gateway, secret, chain, trusted);
  }

  private static boolean belongTogether(PrivateKey secret, PublicKey open) {
    try {
      byte[] text = {1, 2, 3};
      Signature signing = Signature.getInstance(signature(secret));
      signing.initSign(secret);
      signing.update(text);
      byte[] signed = signing.sign();
      signing.initVerify(open);
      signing.update(text);
      return signing.verify(signed);
    } catch (GeneralSecurityException e) {
      return false;
    }
  }

  private static String signature(PrivateKey secret) {
    return switch (secret.getAlgorithm()) {
      case "EC" -> "SHA256withECDSA";
      case "RSA" -> "SHA256withRSA";
      default -> secret.getAlgorithm();
    };
  }

  /** Whom the certificate names. */
  public GatewayName gateway() {
    return gateway;
  }

  PrivateKey key() {
    return key;
  }

  List<X509Certificate> chain() {
    return chain;
  }

  List<X509Certificate> trusted() {
    return trusted;
  }

  /** For the log: whom it names, and from when to when. */
  @Override
  public String toString() {
    return Certificates.described(chain.get(0));
  }
}
