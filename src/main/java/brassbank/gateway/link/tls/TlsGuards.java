package brassbank.gateway.link.tls;

import brassbank.gateway.link.frame.GatewayName;
import brassbank.sources.Clock;
import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.util.concurrent.Executor;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.TrustManager;

/**
 * TLS 1.3 and no other version, with a certificate asked of both sides. Each connection has a
 * context of its own, so that no earlier session can be resumed past a certificate that is trusted
 * no longer. The randomness is the JDK's.
 */
public final class TlsGuards implements Guards {
  /**
   * Which cipher goes first, where both sides have it: the taking side's wish decides. AES is the
   * quicker by far where the runtime's second compiler (C2) runs, and the slower by far where it
   * does not, as with {@code -XX:TieredStopAtLevel=1}; docs/gateway-link.md has figures.
   */
  public enum Preference {
    AES("TLS_AES_128_GCM_SHA256", "TLS_AES_256_GCM_SHA384", "TLS_CHACHA20_POLY1305_SHA256"),
    CHACHA20("TLS_CHACHA20_POLY1305_SHA256", "TLS_AES_128_GCM_SHA256", "TLS_AES_256_GCM_SHA384");

    private final String[] suites;

    Preference(String... suites) {
      this.suites = suites;
    }
  }

  private final Keys keys;
  private final Preference preference;
  private final Clock clock;
  private final Executor worker;
  private final Executor loop;

  /** What a record holds once it is opened; of all guards in turn. */
  private final ByteBuffer plain = ByteBuffer.allocate(Guard.RECORD);

  /**
   * @param clock its Unix time says which certificates are in time
   * @param worker runs the costly parts of handshakes, some milliseconds each, elsewhere
   * @param loop runs a task on the loop
   */
  public TlsGuards(Keys keys, Preference preference, Clock clock, Executor worker, Executor loop) {
    this.keys = keys;
    this.preference = preference;
    this.clock = clock;
    this.worker = worker;
    this.loop = loop;
  }

  @Override
  public GatewayName gateway() {
    return keys.gateway();
  }

  @Override
  public String toString() {
    return keys.toString();
  }

  @Override
  public Guard guard(boolean dialled, PeerCheck check, Runnable resumed) {
    try {
      PeerTrust trust = new PeerTrust(keys, check, clock.unixMillis());
      SSLContext context = SSLContext.getInstance("TLSv1.3");
      context.init(new KeyManager[] {new OwnKey(keys)}, new TrustManager[] {trust}, null);
      SSLEngine engine = context.createSSLEngine();
      engine.setUseClientMode(dialled);
      engine.setEnabledProtocols(new String[] {"TLSv1.3"});
      engine.setEnabledCipherSuites(preference.suites);
      engine.setNeedClientAuth(true);
      engine.beginHandshake();
      return new TlsGuard(engine, trust, plain, worker, task -> loop.execute(task), resumed);
    } catch (GeneralSecurityException | java.io.IOException e) {
      // All of it was used when the keys were read, and the JDK has the rest.
      throw new IllegalStateException(e);
    }
  }
}
