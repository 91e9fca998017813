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
 * The file by which the processes of one proxy see each other: locks on its bytes, which the kernel
 * frees when their process dies, however it does. Its content is the number of the last process;
 * left over from processes that are gone, it misleads nobody.
 *
 * <p>Record locks belong to a process and are all lost when it closes any channel on the file: this
 * one stays open until the end. For one thread; no call waits for another process's lock.
 */
final class Locks {
  /** Guards the numbering. */
  private static final long NUMBERING = 0;

  /** Byte {@code READY + n} is held by process n once it could serve. */
  private static final long READY = 1L << 20;

  /** Byte {@code ALIVE + n} is held by process n as long as it lives. */
  private static final long ALIVE = 1L << 50;

  /** So many predecessors are looked for at most: more than end their clients' time together. */
  private static final int MOST_PREDECESSORS = 8;

  /** Byte {@code ACCEPTING + n} is held by process n while it accepts. */
  private static final long ACCEPTING = 1L << 40;

  private static final long MOST_NUMBER = 1L << 30;
  private static final int MOST_CONTENT = 32;

  private final FileChannel file;
  private final long number;
  private FileLock ready;
  private FileLock accepting;

  private Locks(FileChannel file, long number) {
    this.file = file;
    this.number = number;
  }

  /**
   * Opens the file, or makes it, and takes the next number.
   *
   * @throws IOException where the file cannot be used, or another process holds its numbering
   */
  static Locks open(Path path) throws IOException {
    FileChannel file =
        FileChannel.open(
            path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    FileLock numbering = file.tryLock(NUMBERING, 1, false);
    if (numbering == null) {
      file.close();
      throw new IOException(path + " is being numbered by another process");
    }
    ByteBuffer content = ByteBuffer.allocate(MOST_CONTENT);
    file.read(content, 0);
    String last = new String(content.array(), 0, content.position(), StandardCharsets.US_ASCII);
    // Whatever else stands there is nobody's number.
    long number = last.matches("\\d{1,9}") ? Long.parseLong(last) % (MOST_NUMBER - 1) + 1 : 1;
    file.truncate(0);
    file.write(ByteBuffer.wrap(Long.toString(number).getBytes(StandardCharsets.US_ASCII)), 0);
    if (file.tryLock(ALIVE + number, 1, false) == null) {
      file.close();
      throw new IOException(path + " is being looked at by another process");
    }
    numbering.release();
    return new Locks(file, number);
  }

  /** This process's number: lower ones are its predecessors. */
  long number() {
    return number;
  }

  /** What the others say. */
  HandoverStateMachine.View view() throws IOException {
    return new HandoverStateMachine.View(
        held(ACCEPTING, ACCEPTING + number), held(READY + number + 1, READY + MOST_NUMBER));
  }

  /** The processes with lower numbers that live, the last first. */
  List<Long> predecessors() throws IOException {
    List<Long> alive = new ArrayList<>();
    for (long other = number - 1; other >= 1 && other >= number - MOST_PREDECESSORS; other--) {
      if (held(ALIVE + other, ALIVE + other + 1)) {
        alive.add(other);
      }
    }
    return alive;
  }

  /** Whether a process with a higher number lives. */
  boolean succeeded() throws IOException {
    return held(ALIVE + number + 1, ALIVE + MOST_NUMBER);
  }

  /** Whether another process holds a lock on one of these bytes. */
  private boolean held(long from, long to) throws IOException {
    FileLock probe = file.tryLock(from, to - from, true);
    if (probe == null) {
      return true;
    }
    probe.release();
    return false;
  }

  /**
   * Says what this process does.
   *
   * @return whether it is said; where another's probe is in the way, it is to be said again
   */
  boolean tell(HandoverStateMachine.Phase phase) throws IOException {
    ready = told(ready, READY, phase.isReady());
    accepting = told(accepting, ACCEPTING, phase.isAccepting());
    return (ready != null) == phase.isReady() && (accepting != null) == phase.isAccepting();
  }

  private FileLock told(FileLock lock, long area, boolean wanted) throws IOException {
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
