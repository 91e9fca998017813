package brassbank.handover;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * The file by which the processes of one proxy observe each other.
 *
 * <p>Each process holds record locks on bytes of the file that its process number selects. The
 * kernel releases them when the process ends, in whatever way it ends. The content of the file is
 * the number of the process that started last; a number left by stopped processes does no harm,
 * because the next process only counts on from it.
 *
 * <p>Record locks belong to the process, which loses all of them when it closes any channel on the
 * file; the one channel therefore stays open until the process ends. Not thread-safe. No call
 * blocks on a lock that another process holds.
 */
final class LockFile {
  /** The byte that a process locks while it takes its number. */
  private static final long NUMBERING = 0;

  /** Byte {@code READY + n} is locked by process n once it could serve clients. */
  private static final long READY = 1L << 20;

  /** Byte {@code ALIVE + n} is locked by process n as long as it runs. */
  private static final long ALIVE = 1L << 50;

  /**
   * How many predecessors are looked for. A predecessor ends soon after it has moved its clients,
   * so that fewer than this run at a time.
   */
  private static final int MAX_PREDECESSORS = 8;

  /** Byte {@code ACCEPTING + n} is locked by process n while it accepts connections. */
  private static final long ACCEPTING = 1L << 40;

  /** Process numbers are below this and start again from 1. */
  private static final long NUMBER_LIMIT = 1L << 30;

  private static final int MAX_CONTENT_BYTES = 32;

  private final FileChannel file;
  private final long number;
  private FileLock readyLock;
  private FileLock acceptingLock;

  private LockFile(FileChannel file, long number) {
    this.file = file;
    this.number = number;
  }

  /**
   * Opens the file, or creates it, and takes the next process number.
   *
   * @throws IOException if the file cannot be used, or another process holds one of the locks
   */
  static LockFile open(Path path) throws IOException {
    FileChannel file =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    FileLock numbering = file.tryLock(NUMBERING, 1, false);
    if (numbering == null) {
      file.close();
      throw new IOException(path + ": another process holds the lock for taking a number");
    }
    ByteBuffer content = ByteBuffer.allocate(MAX_CONTENT_BYTES);
    file.read(content, 0);
    String last = new String(content.array(), 0, content.position(), StandardCharsets.US_ASCII);
    // Any content that is not a number is ignored, and numbering starts from 1.
    long number = last.matches("\\d{1,9}") ? Long.parseLong(last) % (NUMBER_LIMIT - 1) + 1 : 1;
    file.truncate(0);
    file.write(ByteBuffer.wrap(Long.toString(number).getBytes(StandardCharsets.US_ASCII)), 0);
    if (file.tryLock(ALIVE + number, 1, false) == null) {
      file.close();
      throw new IOException(path + ": another process is probing the lock of number " + number);
    }
    numbering.release();
    return new LockFile(file, number);
  }

  /** Returns the number of this process; processes with lower numbers are its predecessors. */
  long number() {
    return number;
  }

  /** Returns what the locks of the other processes indicate. */
  HandoverStateMachine.View view() throws IOException {
    return new HandoverStateMachine.View(
        isLockedByOther(ACCEPTING, ACCEPTING + number),
        isLockedByOther(READY + number + 1, READY + NUMBER_LIMIT));
  }

  /** Returns the numbers of the running predecessors, the highest first. */
  List<Long> livePredecessors() throws IOException {
    List<Long> live = new ArrayList<>();
    for (long other = number - 1; other >= 1 && other >= number - MAX_PREDECESSORS; other--) {
      if (isLockedByOther(ALIVE + other, ALIVE + other + 1)) {
        live.add(other);
      }
    }
    return live;
  }

  /** Returns whether a process with a higher number is running. */
  boolean hasSuccessor() throws IOException {
    return isLockedByOther(ALIVE + number + 1, ALIVE + NUMBER_LIMIT);
  }

  /** Returns whether another process holds a lock on a byte of {@code [from, to)}. */
  private boolean isLockedByOther(long from, long to) throws IOException {
    FileLock probe = file.tryLock(from, to - from, true);
    if (probe == null) {
      return true;
    }
    probe.release();
    return false;
  }

  /**
   * Acquires and releases the locks of this process so that they match its phase.
   *
   * @return whether the locks match; false if a probe by another process was in the way, in which
   *     case the caller must call this method again
   */
  boolean announce(HandoverStateMachine.Phase phase) throws IOException {
    readyLock = update(readyLock, READY, phase.isReady());
    acceptingLock = update(acceptingLock, ACCEPTING, phase.isAccepting());
    return (readyLock != null) == phase.isReady() && (acceptingLock != null) == phase.isAccepting();
  }

  private FileLock update(FileLock lock, long area, boolean wanted) throws IOException {
    if (lock == null && wanted) {
      return file.tryLock(area + number, 1, false);
    }
    if (lock != null && !wanted) {
      lock.release();
      return null;
    }
    return lock;
  }
}
