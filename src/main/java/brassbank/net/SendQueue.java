package brassbank.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The bytes of a link that the kernel has not accepted yet. They are kept in one block of the
 * {@link BufferPool}, which grows on demand, is compacted in place and returned when it is empty.
 * The queue itself has no limit: its callers stop reading the other side of the session while much
 * is queued here.
 */
final class SendQueue {
  /**
   * A task to run once the kernel has accepted the first {@code position} bytes ever added to this
   * queue.
   */
  private record WriteCallback(long position, Runnable written) {}

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

  /** Returns the number of queued bytes. */
  int size() {
    return end - start;
  }

  /** Appends the bytes to the queue. */
  void add(ByteBuffer bytes) {
    int added = bytes.remaining();
    if (added == 0) {
      return;
    }
    if (data == null || data.length - end < added) {
      ensureCapacity(size() + added);
    }
    bytes.get(data, end, added);
    end += added;
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

  /** Registers a task to run once the kernel has accepted all bytes that are queued now. */
  void whenWritten(Runnable task) {
    if (callbacks == null) {
      callbacks = new ArrayDeque<>(2);
    }
    callbacks.add(new WriteCallback(writtenBytes + size(), task));
  }

  /** Writes as many bytes as the channel accepts and returns their number. */
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

  /** Runs the tasks whose bytes have been written. A task may queue more bytes. */
  void runWrittenCallbacks() {
    while (callbacks != null && !callbacks.isEmpty() && callbacks.peek().position <= writtenBytes) {
      callbacks.poll().written.run();
    }
  }

  /**
   * Discards the queued bytes behind the first line end, and returns how many they were. Without a
   * line end nothing is discarded.
   */
  int keepFirstLine() {
    int feed = start;
    while (feed < end && data[feed] != '\n') {
      feed++;
    }
    if (feed >= end) {
      return 0;
    }
    int discarded = end - feed - 1;
    byte[] old = data;
    int kept = feed + 1 - start;
    data = buffers.lease(kept);
    System.arraycopy(old, start, data, 0, kept);
    buffers.release(old);
    start = 0;
    end = kept;
    return discarded;
  }

  /** Discards the queued bytes and returns the block to the pool. */
  void clear() {
    if (data != null) {
      buffers.release(data);
      data = null;
    }
    start = 0;
    end = 0;
  }
}
