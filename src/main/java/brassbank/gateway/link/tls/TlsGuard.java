package brassbank.gateway.link.tls;

import brassbank.gateway.link.frame.GatewayName;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.Executor;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLEngineResult;
import javax.net.ssl.SSLEngineResult.HandshakeStatus;
import javax.net.ssl.SSLEngineResult.Status;
import javax.net.ssl.SSLException;

/**
 * One connection's TLS, by the JDK's engine. Records are opened where they lie, and only one that
 * has come in part is kept, or what came behind one that work goes on for.
 */
final class TlsGuard implements Guard {
  /** Type, version and length of a record (RFC 8446, section 5.1). */
  private static final int HEADER = 5;

  private static final int FIRST_TYPE = 20;
  private static final int LAST_TYPE = 23;
  private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

  private final SSLEngine engine;
  private final PeerTrust trust;
  private final ByteBuffer plain;
  private final Executor worker;
  private final Executor loop;
  private final Runnable resumed;

  /** What has come and could not be opened yet; null where there is none. */
  private byte[] kept;

  private int keptBytes;

  /** A part of the handshake is being worked at elsewhere. */
  private boolean working;

  /** The engine takes nothing before it has spoken. */
  private boolean waiting;

  private boolean ready;
  private boolean failed;

  TlsGuard(
      SSLEngine engine,
      PeerTrust trust,
      ByteBuffer plain,
      Executor worker,
      Executor loop,
      Runnable resumed) {
    this.engine = engine;
    this.trust = trust;
    this.plain = plain;
    this.worker = worker;
    this.loop = loop;
    this.resumed = resumed;
  }

  @Override
  public void fromWire(ByteBuffer wire, Plain to) throws IOException {
    while (wire.hasRemaining() && takes()) {
      if (kept == null) {
        int length = record(wire, wire.position(), wire.remaining());
        if (length > wire.remaining()) {
          keep(wire, wire.remaining());
        } else {
          open(wire, to);
        }
      } else {
        int length = record(ByteBuffer.wrap(kept), 0, keptBytes);
        keep(wire, Math.min(wire.remaining(), length - keptBytes));
        if (keptBytes >= HEADER && keptBytes == record(ByteBuffer.wrap(kept), 0, keptBytes)) {
          ByteBuffer whole = ByteBuffer.wrap(kept, 0, keptBytes);
          kept = null;
          open(whole, to);
          // Where the engine has to speak first, the record is still there.
          if (whole.hasRemaining()) {
            keep(whole, whole.remaining());
          }
        }
      }
    }
    if (wire.hasRemaining()) {
      keep(wire, wire.remaining());
    }
  }

  /** How long the record that begins there is; of one that has hardly begun, its header. */
  private static int record(ByteBuffer bytes, int at, int count) throws IOException {
    if (count < HEADER) {
      return HEADER;
    }
    int type = bytes.get(at);
    int length = bytes.getShort(at + 3) & 0xffff;
    if (type < FIRST_TYPE || type > LAST_TYPE || HEADER + length > RECORD) {
      throw new SSLException("what came is no record of TLS");
    }
    return HEADER + length;
  }

  private void keep(ByteBuffer wire, int count) {
    int size = kept == null ? 0 : keptBytes;
    if (kept == null) {
      kept = new byte[Math.max(count, HEADER)];
    } else if (kept.length < size + count) {
      // Twice as long, so that a peer which sends byte by byte costs no copy for each.
      kept = Arrays.copyOf(kept, Math.max(size + count, 2 * kept.length));
    }
    wire.get(kept, size, count);
    keptBytes = size + count;
  }

  private void open(ByteBuffer record, Plain to) throws IOException {
    SSLEngineResult result = engine.unwrap(record, plain.clear());
    switch (result.getStatus()) {
      case OK -> {}
      case CLOSED -> record.position(record.limit());
      default -> throw new SSLException("a record that cannot be opened: " + result.getStatus());
    }
    waiting = result.getStatus() == Status.OK && result.bytesConsumed() == 0;
    after(result);
    if (plain.flip().hasRemaining()) {
      to.take(plain);
    }
  }

  private void after(SSLEngineResult result) throws SSLException {
    if (result.getHandshakeStatus() == HandshakeStatus.FINISHED) {
      if (trust.gateway() == null) {
        throw new SSLException("the peer has shown no certificate");
      }
      ready = true;
    }
    if (engine.getHandshakeStatus() == HandshakeStatus.NEED_TASK) {
      working = true;
      worker.execute(this::work);
    }
  }

  /** On the worker; meanwhile the loop leaves the engine alone. */
  private void work() {
    for (Runnable task = engine.getDelegatedTask();
        task != null;
        task = engine.getDelegatedTask()) {
      task.run();
    }
    loop.execute(this::worked);
  }

  private void worked() {
    working = false;
    if (engine.getHandshakeStatus() == HandshakeStatus.NEED_TASK) {
      working = true;
      worker.execute(this::work);
    } else {
      resumed.run();
    }
  }

  @Override
  public void resume(Plain to) throws IOException {
    if (kept != null && takes()) {
      ByteBuffer rest = ByteBuffer.wrap(kept, 0, keptBytes);
      kept = null;
      fromWire(rest, to);
    }
  }

  @Override
  public void toWire(ByteBuffer bytes, ByteBuffer wire) throws IOException {
    try {
      SSLEngineResult result = engine.wrap(ready ? bytes : NOTHING, wire);
      switch (result.getStatus()) {
        case OK -> {
          waiting = false;
          after(result);
        }
        case CLOSED -> bytes.position(bytes.limit());
        default -> throw new SSLException("a record that cannot be made: " + result.getStatus());
      }
    } catch (IOException e) {
      failed = true;
      throw e;
    }
  }

  @Override
  public boolean takes() {
    return !working && !waiting;
  }

  @Override
  public boolean speaks() {
    return !working && !failed && engine.getHandshakeStatus() == HandshakeStatus.NEED_WRAP;
  }

  @Override
  public boolean ready() {
    return ready && !working;
  }

  @Override
  public GatewayName gateway() {
    return trust.gateway();
  }

  @Override
  public void close() {
    if (!working) {
      engine.closeOutbound();
    }
  }
}
