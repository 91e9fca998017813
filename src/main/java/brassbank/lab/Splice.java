package brassbank.lab;

import brassbank.sim.net.Endpoint;
import brassbank.sim.net.ResetException;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * One connection of a real process, joined to its other half in the simulated network: bytes, ends
 * and resets pass both ways, as far as the windows of both sides allow. It owns both halves and
 * gives them back together.
 */
final class Splice implements Endpoint.Handler, Turner.Ready {
  private static final int READ_SIZE = 16 * 1024;

  /** One connection may not keep the others waiting. */
  private static final int READS_AT_ONCE = 8;

  private static final byte[] NOTHING = {};

  private final SocketChannel channel;
  private final Endpoint endpoint;
  private final Consumer<Splice> over;
  private final ByteBuffer scratch;
  private final UnaryOperator<byte[]> tampering;
  private SelectionKey key;

  /** What one side has given and the other has not taken yet. */
  private byte[] toSim = NOTHING;

  private byte[] toReal = NOTHING;
  private boolean realEnded;
  private boolean simEnded;
  private boolean ended;

  /**
   * Joins two halves that both stand.
   *
   * @param scratch room for one read, which all splices of a thread may share
   * @param tampering what goes on of what the process has written
   * @param over is told once, when both halves have been given back
   */
  Splice(
      SocketChannel channel,
      Endpoint endpoint,
      ByteBuffer scratch,
      UnaryOperator<byte[]> tampering,
      Consumer<Splice> over) {
    this.channel = channel;
    this.endpoint = endpoint;
    this.scratch = scratch;
    this.tampering = tampering;
    this.over = over;
  }

  static int scratchSize() {
    return READ_SIZE;
  }

  void begin(Turner turner) {
    try {
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      key = turner.register(channel, SelectionKey.OP_READ, this);
    } catch (IOException e) {
      breakBoth();
      return;
    }
    endpoint.handler(this);
  }

  // ----------------------------------------------------- from the real process

  @Override
  public void ready(SelectionKey ready) {
    if (ready.isWritable()) {
      flushToReal();
    }
    if (!ended && key.isValid() && (ready.readyOps() & SelectionKey.OP_READ) != 0) {
      fromReal();
    }
  }

  /** Takes what the process has written, and its end. */
  void fromReal() {
    try {
      for (int i = 0; i < READS_AT_ONCE && !ended && toSim.length == 0 && !realEnded; i++) {
        scratch.clear();
        int count = channel.read(scratch);
        if (count == 0) {
          break;
        }
        if (count < 0) {
          realEnded = true;
          key.interestOpsAnd(~SelectionKey.OP_READ);
        } else {
          byte[] said = tampering.apply(Arrays.copyOf(scratch.array(), count));
          int taken = endpoint.write(said, 0, said.length);
          if (taken < said.length) {
            toSim = Arrays.copyOfRange(said, taken, said.length);
            key.interestOpsAnd(~SelectionKey.OP_READ);
            endpoint.writing(true);
          }
        }
      }
      if (realEnded && toSim.length == 0) {
        passRealEnd();
      }
    } catch (ResetException e) {
      breakBoth();
    } catch (IOException e) {
      // The process, or its kernel for it, has reset the connection.
      breakBoth();
    }
  }

  private void passRealEnd() throws ResetException {
    endpoint.shutdownOutput();
    endIfBoth();
  }

  @Override
  public void writable() {
    try {
      int taken = endpoint.write(toSim, 0, toSim.length);
      toSim = Arrays.copyOfRange(toSim, taken, toSim.length);
      if (toSim.length == 0) {
        endpoint.writing(false);
        if (realEnded) {
          passRealEnd();
        } else {
          key.interestOpsOr(SelectionKey.OP_READ);
        }
      }
    } catch (ResetException e) {
      breakBoth();
    }
  }

  // ----------------------------------------------------- to the real process

  @Override
  public void readable() {
    if (toReal.length > 0) {
      endpoint.reading(false);
      return;
    }
    try {
      int count = endpoint.read(READ_SIZE);
      if (count < 0) {
        endpoint.reading(false);
        simEnded = true;
        channel.shutdownOutput();
        endIfBoth();
      } else {
        toReal = Arrays.copyOf(endpoint.lastRead(), count);
        flushToReal();
      }
    } catch (ResetException e) {
      breakBoth();
    } catch (IOException e) {
      breakBoth();
    }
  }

  private void flushToReal() {
    if (ended) {
      return;
    }
    try {
      int count = channel.write(ByteBuffer.wrap(toReal));
      toReal = Arrays.copyOfRange(toReal, count, toReal.length);
      endpoint.confirmRelayed(count);
      boolean empty = toReal.length == 0;
      if (empty) {
        key.interestOpsAnd(~SelectionKey.OP_WRITE);
      } else {
        key.interestOpsOr(SelectionKey.OP_WRITE);
      }
      endpoint.reading(empty && !simEnded);
    } catch (IOException e) {
      breakBoth();
    }
  }

  // -------------------------------------------------------------------- ends

  private void endIfBoth() {
    if (realEnded && simEnded && !ended) {
      ended = true;
      endpoint.close();
      close(channel);
      over.accept(this);
    }
  }

  /** A reset on one side is one on the other. */
  void breakBoth() {
    if (ended) {
      return;
    }
    ended = true;
    endpoint.reset();
    reset(channel);
    over.accept(this);
  }

  /**
   * The process is being killed: the other half is reset at once, and this one given back when
   * there is time. Ten proxies with a thousand connections are killed at one moment.
   */
  void abandon(Turner turner) {
    if (!ended) {
      ended = true;
      endpoint.reset();
      turner.whenIdle(() -> reset(channel));
      over.accept(this);
    }
  }

  /** Closes it so that its peer sees a reset. */
  static void reset(SocketChannel channel) {
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException e) {
      // It is broken already, and a close is all that is left.
    }
    close(channel);
  }

  private static void close(SocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // Nothing is left to be given back.
    }
  }
}
