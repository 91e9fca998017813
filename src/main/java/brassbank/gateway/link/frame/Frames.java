package brassbank.gateway.link.frame;

import java.nio.ByteBuffer;

/**
 * Who is told of the frames that come, in their order. Where one may not come now, it throws, and
 * nothing more is read.
 */
public interface Frames {
  /** The bytes before a frame's body: its length (2), kind (1), flags (1) and session (4). */
  int HEADER = 8;

  /** The longest frame with its header fills one record of TLS. */
  int LONGEST = 16_384;

  int MOST_BODY = LONGEST - HEADER;

  /** Whether anything more is to be told; asked before each frame. */
  boolean listening();

  /** The other side's version is of another major, in which nothing more can be read. */
  void foreign(Version version) throws FrameException;

  /** The first frame, once. */
  void hello(Hello hello) throws FrameException;

  void refuse(Refusal refusal) throws FrameException;

  void leave(Leave leave) throws FrameException;

  /**
   * @param stamp when it was made, in microseconds since its side made its {@link Hello}
   */
  void ping(long stamp) throws FrameException;

  /**
   * @param stamp that of the ping which it answers
   */
  void pong(long stamp) throws FrameException;

  void room(Room room) throws FrameException;

  void open(int session, Open open) throws FrameException;

  void answer(int session, Answer answer) throws FrameException;

  void keep(int session) throws FrameException;

  /** Some bytes, not always all of a frame; they are valid during the call only. */
  void data(int session, ByteBuffer bytes) throws FrameException;

  /**
   * @param bytes 1 or more
   */
  void credit(int session, int bytes) throws FrameException;

  void end(int session) throws FrameException;

  /**
   * @param code 0 to 255, see docs/gateway-protocol.md
   */
  void reset(int session, int code) throws FrameException;
}
