package brassbank.relay;

import brassbank.net.Link;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Parses the lines of a stream host by their first word: {@code LOAD X}, {@code BYE}, {@code MOVE};
 * every other line is a response. A line longer than the protocol allows is relayed like any other,
 * and is ignored here.
 */
final class HostLineParser {
  /** How much of a line that arrives in pieces is kept: enough for a keyword and a number. */
  private static final int MAX_HEAD_BYTES = 64;

  /** Receives the parsed lines, in their order. */
  interface Listener {
    /** Reports {@code LOAD}, with the text after the keyword. */
    void loadReported(String text);

    /** Reports {@code BYE}: the host has served the session completely. */
    void byeReceived();

    /** Reports {@code MOVE}: the host asks the client to leave. */
    void moveReceived();

    /** Reports any other line. */
    void responseReceived();
  }

  private final LineFeedScanner lineFeeds;
  private final Listener listener;

  /** Bytes so far of the line that has not ended. */
  private int length;

  /** The first bytes of that line if it may start with a keyword; otherwise null. */
  private byte[] head;

  HostLineParser(LineFeedScanner lineFeeds, Listener listener) {
    this.lineFeeds = lineFeeds;
    this.listener = listener;
  }

  /** Processes the bytes and returns whether a line ends within them. */
  boolean follow(ByteBuffer bytes, int from, int to) {
    if (from == to) {
      return false;
    }
    lineFeeds.reset(bytes, from, to);
    int start = from;
    int feed = lineFeeds.next(start);
    boolean ended = feed >= 0;
    while (feed >= 0) {
      lineEnded(bytes, start, feed);
      start = feed + 1;
      feed = start < to ? lineFeeds.next(start) : -1;
    }
    if (start < to) {
      lineContinued(bytes, start, to);
    }
    return ended;
  }

  /** Returns whether the bytes so far end within a line. */
  boolean inLine() {
    return length > 0;
  }

  /** Returns how many bytes of an unfinished line there are so far; 0 between two lines. */
  int unfinishedBytes() {
    return length;
  }

  /** Returns whether the unfinished line is already longer than the protocol allows. */
  boolean isOverlong() {
    return length > Link.MAX_LINE_BYTES;
  }

  private void lineContinued(ByteBuffer bytes, int from, int to) {
    if (length == 0 && mayBeKeyword(bytes.get(from))) {
      head = new byte[MAX_HEAD_BYTES];
    }
    if (head != null && length < MAX_HEAD_BYTES) {
      bytes.get(from, head, length, Math.min(MAX_HEAD_BYTES - length, to - from));
    }
    // Saturates: beyond the maximum length, the exact length does not matter.
    length = (int) Math.min(Integer.MAX_VALUE, (long) length + to - from);
  }

  private void lineEnded(ByteBuffer bytes, int from, int feed) {
    int end = feed > from && bytes.get(feed - 1) == '\r' ? feed - 1 : feed;
    if (length == 0) {
      if (end - from > Link.MAX_LINE_BYTES) {
        return;
      }
      if (end == from || !mayBeKeyword(bytes.get(from))) {
        listener.responseReceived();
      } else {
        dispatch(text(bytes, from, Math.min(end, from + MAX_HEAD_BYTES)));
      }
      return;
    }
    boolean whole = (long) length + feed - from <= Link.MAX_LINE_BYTES;
    if (head != null) {
      lineContinued(bytes, from, feed);
      String text =
          new String(head, 0, Math.min(MAX_HEAD_BYTES, length), StandardCharsets.ISO_8859_1);
      if (whole) {
        dispatch(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
      }
    } else if (whole) {
      listener.responseReceived();
    }
    head = null;
    length = 0;
  }

  private static boolean mayBeKeyword(byte first) {
    return first == 'L' || first == 'B' || first == 'M';
  }

  private static String text(ByteBuffer bytes, int from, int to) {
    byte[] text = new byte[to - from];
    bytes.get(from, text);
    return new String(text, StandardCharsets.ISO_8859_1);
  }

  private void dispatch(String line) {
    int space = line.indexOf(' ');
    switch (space < 0 ? line : line.substring(0, space)) {
      case "LOAD" -> listener.loadReported(space < 0 ? "" : line.substring(space + 1));
      case "BYE" -> listener.byeReceived();
      case "MOVE" -> listener.moveReceived();
      default -> listener.responseReceived();
    }
  }
}
