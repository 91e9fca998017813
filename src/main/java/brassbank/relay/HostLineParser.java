package brassbank.relay;

import brassbank.net.Link;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The lines of a stream host, told apart by their first word as PROTOCOL has it: {@code LOAD X},
 * {@code BYE}, {@code MOVE}, and all others, which are answers. A line longer than the protocol
 * allows is passed on like any other and means nothing.
 */
final class HostLineParser {
  /** Of a line that comes in pieces so many bytes are kept: a word and a figure. */
  private static final int MAX_HEAD_BYTES = 64;

  /** Who is told what lines say, in their order. */
  interface Listener {
    /** The host tells a load; the text after the word. */
    void loadReported(String text);

    /** The host has served the session to its end. */
    void byeReceived();

    /** The host sends its client away. */
    void moveReceived();

    /** Any other line. */
    void responseReceived();
  }

  private final LineFeedScanner feeds;
  private final Listener listener;

  /** Bytes of the line that has begun. */
  private int length;

  /** Its first bytes, where it may be more than an answer. */
  private byte[] head;

  HostLineParser(LineFeedScanner feeds, Listener told) {
    this.feeds = feeds;
    this.listener = told;
  }

  /** Follows the bytes; true where a line ends within them. */
  boolean follow(ByteBuffer bytes, int from, int to) {
    if (from == to) {
      return false;
    }
    feeds.reset(bytes, from, to);
    int start = from;
    int feed = feeds.next(start);
    boolean ended = feed >= 0;
    while (feed >= 0) {
      lineEnded(bytes, start, feed);
      start = feed + 1;
      feed = start < to ? feeds.next(start) : -1;
    }
    if (start < to) {
      lineContinued(bytes, start, to);
    }
    return ended;
  }

  /** Whether a line has begun that has not ended. */
  boolean inLine() {
    return length > 0;
  }

  /** Whether the line that has begun is longer than the protocol allows. */
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
    // Beyond what any line may have, only that it is beyond counts.
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
