package brassbank.gateway.link.mux;

import brassbank.gateway.link.frame.FrameWriter;
import brassbank.gateway.link.frame.Frames;
import java.nio.ByteBuffer;

/** What a session has to send: bytes within the other side's credit, and their end. */
final class Outflow {
  /** The bytes that one session sends before the next has its turn. */
  private static final int TURN = 4096;

  private final Mux mux;
  private final Backlog backlog = new Backlog();
  private int credit;
  private boolean endWanted;
  private boolean endSent;

  Outflow(Mux mux, int credit) {
    this.mux = mux;
    this.credit = credit;
  }

  int waiting() {
    return backlog.size();
  }

  /** Of the link's buffers the first few bytes are each session's own, whatever others hold. */
  int room() {
    if (endWanted) {
      return 0;
    }
    LinkLimits limits = mux.limits();
    int size = backlog.size();
    long ofLink = Math.max(limits.sendBuffers() - mux.waiting(), limits.credit() - size);
    return (int) Math.max(0, Math.min(limits.sendBuffer() - size, ofLink));
  }

  void add(ByteBuffer bytes) {
    int count = Math.min(room(), bytes.remaining());
    backlog.add(bytes, count);
    mux.waits(count);
  }

  /** Whether so much more credit can be counted; if so, it is. */
  boolean credit(int bytes) {
    if (Integer.MAX_VALUE - credit < bytes) {
      return false;
    }
    credit += bytes;
    return true;
  }

  void finish() {
    endWanted = true;
  }

  /** Whether nothing more can be sent. */
  boolean finished() {
    return endWanted;
  }

  boolean endSent() {
    return endSent;
  }

  /** Whether there is something to send now. */
  boolean ready() {
    return backlog.size() > 0 ? credit > 0 : endWanted && !endSent;
  }

  /** Puts one turn's data, and the end once it is due. Returns how many bytes went. */
  int put(ByteBuffer out, int session) {
    int space = out.remaining() - 2 * Frames.HEADER;
    int count = Math.min(Math.min(backlog.size(), credit), Math.min(TURN, space));
    if (count > 0) {
      FrameWriter.data(out, session, count);
      backlog.moveTo(out, count);
      credit -= count;
      mux.waits(-count);
    }
    if (backlog.size() == 0 && endWanted && !endSent) {
      FrameWriter.end(out, session);
      endSent = true;
    }
    return count;
  }

  /** Throws away what waits. */
  void close() {
    mux.waits(-backlog.size());
    backlog.clear();
  }
}
