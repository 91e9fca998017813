package brassbank.gateway.link.tls;

import java.net.Socket;
import java.security.Principal;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.util.Arrays;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.X509ExtendedKeyManager;

/** The one certificate of a gateway with its key, shown to whoever asks. */
final class OwnKey extends X509ExtendedKeyManager {
  private static final String ALIAS = "own";

  private final Keys keys;

  OwnKey(Keys keys) {
    this.keys = keys;
  }

  private String alias(String... types) {
    return Arrays.asList(types).contains(keys.key().getAlgorithm()) ? ALIAS : null;
  }

  @Override
  public String chooseEngineClientAlias(String[] types, Principal[] issuers, SSLEngine engine) {
    return alias(types);
  }

  @Override
  public String chooseEngineServerAlias(String type, Principal[] issuers, SSLEngine engine) {
    return alias(type);
  }

  @Override
  public X509Certificate[] getCertificateChain(String alias) {
    return keys.chain().toArray(new X509Certificate[0]);
  }

  @Override
  public PrivateKey getPrivateKey(String alias) {
    return keys.key();
  }

  // An engine calls the four above only.

  @Override
  public String[] getClientAliases(String type, Principal[] issuers) {
    throw new UnsupportedOperationException();
  }

  @Override
  public String[] getServerAliases(String type, Principal[] issuers) {
    throw new UnsupportedOperationException();
  }

  @Override
  public String chooseClientAlias(String[] types, Principal[] issuers, Socket socket) {
    throw new UnsupportedOperationException();
  }

  @Override
  public String chooseServerAlias(String type, Principal[] issuers, Socket socket) {
    throw new UnsupportedOperationException();
  }
}
