package brassbank.gateway.link.tls;

import brassbank.gateway.link.frame.GatewayName;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * What stands between the bytes of one link and those on the wire. It keeps no more than a record
 * or two. For the loop's thread.
 */
public interface Guard {
  /** Room that the wire's buffer must have for {@link #toWire}: more than any record of TLS. */
  int RECORD = 5 + 16_384 + 2_048;

  /** Takes the bytes of the link, which are valid during the call only. */
  interface Plain {
    void take(ByteBuffer bytes);
  }

  /**
   * Takes all bytes that have come off the wire; only while it {@link #takes} any, and not more
   * than {@link #RECORD} before it is {@link #ready}.
   *
   * @throws IOException where they, or the peer, are not acceptable; {@link TlsReason} has the
   *     reason
   */
  void fromWire(ByteBuffer wire, Plain to) throws IOException;

  /**
   * Goes on with what came before it stopped to {@link #takes take} any; to be called when it was
   * told that it can, and after it has spoken.
   *
   * @throws IOException as {@link #fromWire}
   */
  void resume(Plain to) throws IOException;

  /**
   * Puts one record into the wire's buffer: of its own while {@link #speaks}, otherwise with as
   * many of the link's bytes as it takes.
   *
   * @throws IOException as {@link #fromWire}; the next call may still put an alert for the peer
   */
  void toWire(ByteBuffer plain, ByteBuffer wire) throws IOException;

  /** Whether it has something of its own for the wire. */
  boolean speaks();

  /** Whether it can be given bytes off the wire now. */
  boolean takes();

  /** Whether the peer is known and the link's bytes may be put. */
  boolean ready();

  /** Whom the peer's certificate names, once ready; null where there are no certificates. */
  GatewayName gateway();

  /** What is put from here on is an end that the peer can tell from a cut. */
  void close();
}
