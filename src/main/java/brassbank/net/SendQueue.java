package brassbank.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a link has been given to send and the kernel has not taken yet: one buffer, which grows as
 * it needs, is compacted in place, and is given back when it is empty. It is bounded by those who
 * fill it: they stop reading the other side while much waits here.
 */
final class SendQueue {
  /** What runs once the bytes up to here, counted from the first ever, are with the kernel. */
  private record WriteCallback(long upTo, Runnable written) {}

  private final BufferPool buffers;
  private byte[] data;
  private int start;
  private int end;
  private long writtenBytes;
  private Deque<WriteCallback> callbacks;

  SendQueue(BufferPool buffers) {
    this.buffers = buffers;
  }

  boolean isEmpty() {
    return start == end;
  }

  /** How many bytes wait. */
  int size() {
    return end - start;
  }

  /** Keeps the bytes behind those that wait. */
  void add(ByteBuffer bytes) {
    int more = bytes.remaining();
    if (more == 0) {
      return;
    }
    if (data == null || data.length - end < more) {
      ensureCapacity(size() + more);
    }
    bytes.get(data, end, more);
    end += more;
  }

  private void ensureCapacity(int needed) {
    byte[] old = data;
    if (data == null || data.length < needed) {
      data = buffers.lease(needed);
    }
    if (old != null) {
      System.arraycopy(old, start, data, 0, size());
      if (old != data) {
        buffers.release(old);
      }
    }
    end = size();
    start = 0;
  }

  /** Runs the task once all that waits now is with the kernel. */
  void whenWritten(Runnable task) {
    if (callbacks == null) {
      callbacks = new ArrayDeque<>(2);
    }
    callbacks.add(new WriteCallback(writtenBytes + size(), task));
  }

  /** Writes as much as the channel takes, and returns how many bytes that was. */
  int writeTo(Channel channel) throws IOException {
    if (isEmpty()) {
      return 0;
    }
    int count = channel.write(ByteBuffer.wrap(data, start, size()));
    start += count;
    writtenBytes += count;
    if (isEmpty()) {
      clear();
    }
    return count;
  }

  /** Runs what was to run once the bytes were taken that now are. What runs may add more. */
  void runWrittenCallbacks() {
    while (callbacks != null && !callbacks.isEmpty() && callbacks.peek().upTo <= writtenBytes) {
      callbacks.poll().written.run();
    }
  }

  /** Throws away what waits, and gives the buffer back. */
  void clear() {
    if (data != null) {
      buffers.release(data);
      data = null;
    }
    start = 0;
    end = 0;
  }
}
