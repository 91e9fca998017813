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
 * Joins one connection of a real process to its other half in the simulated network: bytes, ends of
 * stream and resets pass both ways, as far as the flow-control windows of both sides allow. Owns
 * both halves and closes them together.
 */
final class SocketBridge implements Endpoint.Handler, RealTimeDriver.ReadyHandler {
  private static final int READ_SIZE = 16 * 1024;

  /** Limits the reads per event, so that one connection does not delay the others. */
  private static final int MAX_READS_PER_EVENT = 8;

  private static final byte[] EMPTY = {};

  private final SocketChannel channel;
  private final Endpoint endpoint;
  private final Consumer<SocketBridge> closeListener;
  private final ByteBuffer scratch;
  private final UnaryOperator<byte[]> tampering;
  private SelectionKey key;

  /** Bytes that were read from one side and not yet accepted by the other. */
  private byte[] pendingToNetwork = EMPTY;

  private byte[] pendingToProcess = EMPTY;
  private boolean processEnded;
  private boolean networkEnded;
  private boolean closed;

  /**
   * Joins two halves that are both established.
   *
   * @param scratch a buffer of {@link #scratchSize} bytes, which all bridges of a thread may share
   * @param tampering applied to the bytes that the process has written
   * @param closeListener notified once, when both halves are closed
   */
  SocketBridge(
      SocketChannel channel,
      Endpoint endpoint,
      ByteBuffer scratch,
      UnaryOperator<byte[]> tampering,
      Consumer<SocketBridge> closeListener) {
    this.channel = channel;
    this.endpoint = endpoint;
    this.scratch = scratch;
    this.tampering = tampering;
    this.closeListener = closeListener;
  }

  static int scratchSize() {
    return READ_SIZE;
  }

  void start(RealTimeDriver driver) {
    try {
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      key = driver.register(channel, SelectionKey.OP_READ, this);
    } catch (IOException e) {
      resetBoth();
      return;
    }
    endpoint.handler(this);
  }

  @Override
  public void onReady(SelectionKey ready) {
    if (ready.isWritable()) {
      flushToProcess();
    }
    if (!closed && key.isValid() && (ready.readyOps() & SelectionKey.OP_READ) != 0) {
      readFromProcess();
    }
  }

  /** Forwards what the process has written, and its end of stream. */
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
          byte[] bytes = tampering.apply(Arrays.copyOf(scratch.array(), count));
          int accepted = endpoint.write(bytes, 0, bytes.length);
          if (accepted < bytes.length) {
            pendingToNetwork = Arrays.copyOfRange(bytes, accepted, bytes.length);
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
      // The process, or the kernel on its behalf, has reset the connection.
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
      int accepted = endpoint.write(pendingToNetwork, 0, pendingToNetwork.length);
      pendingToNetwork = Arrays.copyOfRange(pendingToNetwork, accepted, pendingToNetwork.length);
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

  private void closeIfBothEnded() {
    if (processEnded && networkEnded && !closed) {
      closed = true;
      endpoint.close();
      close(channel);
      closeListener.accept(this);
    }
  }

  /** Resets both halves: a reset on one side is passed to the other. */
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
   * Resets the simulated half at once, and the real one when the driver is idle. Used when the
   * process is killed: ten proxies with a thousand connections may be killed at the same moment.
   */
  void abandon(RealTimeDriver driver) {
    if (!closed) {
      closed = true;
      endpoint.reset();
      driver.whenIdle(() -> reset(channel));
      closeListener.accept(this);
    }
  }

  /** Closes a channel so that its peer sees a reset. */
  static void reset(SocketChannel channel) {
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException e) {
      // The connection is broken already; closing it is enough.
    }
    close(channel);
  }

  private static void close(SocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // The channel holds no resource any more.
    }
  }
}
