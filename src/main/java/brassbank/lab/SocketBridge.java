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
final class SocketBridge implements Endpoint.Handler, RealTimeDriver.ReadyHandler {
  private static final int READ_SIZE = 16 * 1024;

  /** One connection may not keep the others waiting. */
  private static final int MAX_READS_PER_EVENT = 8;

  private static final byte[] EMPTY = {};

  private final SocketChannel channel;
  private final Endpoint endpoint;
  private final Consumer<SocketBridge> closeListener;
  private final ByteBuffer scratch;
  private final UnaryOperator<byte[]> tampering;
  private SelectionKey key;

  /** What one side has given and the other has not taken yet. */
  private byte[] pendingToNetwork = EMPTY;

  private byte[] pendingToProcess = EMPTY;
  private boolean processEnded;
  private boolean networkEnded;
  private boolean closed;

  /**
   * Joins two halves that both stand.
   *
   * @param scratch room for one read, which all splices of a thread may share
   * @param tampering what goes on of what the process has written
   * @param over is told once, when both halves have been given back
   */
  SocketBridge(
      SocketChannel channel,
      Endpoint endpoint,
      ByteBuffer scratch,
      UnaryOperator<byte[]> tampering,
      Consumer<SocketBridge> over) {
    this.channel = channel;
    this.endpoint = endpoint;
    this.scratch = scratch;
    this.tampering = tampering;
    this.closeListener = over;
  }

  static int scratchSize() {
    return READ_SIZE;
  }

  void start(RealTimeDriver turner) {
    try {
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      key = turner.register(channel, SelectionKey.OP_READ, this);
    } catch (IOException e) {
      resetBoth();
      return;
    }
    endpoint.handler(this);
  }

  // ----------------------------------------------------- from the real process

  @Override
  public void onReady(SelectionKey ready) {
    if (ready.isWritable()) {
      flushToProcess();
    }
    if (!closed && key.isValid() && (ready.readyOps() & SelectionKey.OP_READ) != 0) {
      readFromProcess();
    }
  }

  /** Takes what the process has written, and its end. */
  void readFromProcess() {
    try {
      for (int i = 0;
          i < MAX_READS_PER_EVENT && !closed && pendingToNetwork.length == 0 && !processEnded;
          i++) {
        scratch.clear();
        int count = channel.read(scratch);
        if (count == 0) {
          break;
        }
        if (count < 0) {
          processEnded = true;
          key.interestOpsAnd(~SelectionKey.OP_READ);
        } else {
          byte[] said = tampering.apply(Arrays.copyOf(scratch.array(), count));
          int taken = endpoint.write(said, 0, said.length);
          if (taken < said.length) {
            pendingToNetwork = Arrays.copyOfRange(said, taken, said.length);
            key.interestOpsAnd(~SelectionKey.OP_READ);
            endpoint.writing(true);
          }
        }
      }
      if (processEnded && pendingToNetwork.length == 0) {
        forwardProcessEndOfStream();
      }
    } catch (ResetException e) {
      resetBoth();
    } catch (IOException e) {
      // The process, or its kernel for it, has reset the connection.
      resetBoth();
    }
  }

  private void forwardProcessEndOfStream() throws ResetException {
    endpoint.shutdownOutput();
    closeIfBothEnded();
  }

  @Override
  public void writable() {
    try {
      int taken = endpoint.write(pendingToNetwork, 0, pendingToNetwork.length);
      pendingToNetwork = Arrays.copyOfRange(pendingToNetwork, taken, pendingToNetwork.length);
      if (pendingToNetwork.length == 0) {
        endpoint.writing(false);
        if (processEnded) {
          forwardProcessEndOfStream();
        } else {
          key.interestOpsOr(SelectionKey.OP_READ);
        }
      }
    } catch (ResetException e) {
      resetBoth();
    }
  }

  // ----------------------------------------------------- to the real process

  @Override
  public void readable() {
    if (pendingToProcess.length > 0) {
      endpoint.reading(false);
      return;
    }
    try {
      int count = endpoint.read(READ_SIZE);
      if (count < 0) {
        endpoint.reading(false);
        networkEnded = true;
        channel.shutdownOutput();
        closeIfBothEnded();
      } else {
        pendingToProcess = Arrays.copyOf(endpoint.lastRead(), count);
        flushToProcess();
      }
    } catch (ResetException e) {
      resetBoth();
    } catch (IOException e) {
      resetBoth();
    }
  }

  private void flushToProcess() {
    if (closed) {
      return;
    }
    try {
      int count = channel.write(ByteBuffer.wrap(pendingToProcess));
      pendingToProcess = Arrays.copyOfRange(pendingToProcess, count, pendingToProcess.length);
      endpoint.confirmRelayed(count);
      boolean empty = pendingToProcess.length == 0;
      if (empty) {
        key.interestOpsAnd(~SelectionKey.OP_WRITE);
      } else {
        key.interestOpsOr(SelectionKey.OP_WRITE);
      }
      endpoint.reading(empty && !networkEnded);
    } catch (IOException e) {
      resetBoth();
    }
  }

  // -------------------------------------------------------------------- ends

  private void closeIfBothEnded() {
    if (processEnded && networkEnded && !closed) {
      closed = true;
      endpoint.close();
      close(channel);
      closeListener.accept(this);
    }
  }

  /** A reset on one side is one on the other. */
  void resetBoth() {
    if (closed) {
      return;
    }
    closed = true;
    endpoint.reset();
    reset(channel);
    closeListener.accept(this);
  }

  /**
   * The process is being killed: the other half is reset at once, and this one given back when
   * there is time. Ten proxies with a thousand connections are killed at one moment.
   */
  void abandon(RealTimeDriver turner) {
    if (!closed) {
      closed = true;
      endpoint.reset();
      turner.whenIdle(() -> reset(channel));
      closeListener.accept(this);
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
