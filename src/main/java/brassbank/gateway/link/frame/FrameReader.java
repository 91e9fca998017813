package brassbank.gateway.link.frame;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Takes bytes as they come, cut anywhere, and tells of the frames in them. Data is handed on as it
 * comes; of other frames at most one body is kept until it is whole, in a buffer of its announced
 * length, which is checked first. What this version does not know is skipped where a newer minor
 * version says it, and refused otherwise.
 */
public final class FrameReader {
  private static final int MAGIC = 0x42424757;

  private final Frames to;
  private final byte[] header = new byte[Frames.HEADER];
  private int headerBytes;

  /** What the bytes now coming belong to: null for a header, or for a body that is skipped. */
  private Kind kind;

  private int session;

  /** Bytes of the body still to come. */
  private int left;

  /** Those of a body that has come in part, or null. */
  private byte[] body;

  private int bodyBytes;
  private boolean greeted;
  private boolean newer;

  public FrameReader(Frames to) {
    this.to = to;
  }

  /** Bytes kept of a frame that has come in part. */
  public int held() {
    return headerBytes + (body == null ? 0 : body.length);
  }

  /**
   * Takes bytes, all of them unless {@link Frames#listening} says no.
   *
   * @throws FrameException where they are no frames; then nothing more may be given
   */
  public void read(ByteBuffer bytes) throws FrameException {
    while (bytes.hasRemaining() && to.listening()) {
      if (left > 0) {
        readBody(bytes);
      } else {
        readHeader(bytes);
      }
    }
  }

  private void readHeader(ByteBuffer bytes) throws FrameException {
    if (headerBytes == 0 && bytes.remaining() >= Frames.HEADER) {
      int at = bytes.position();
      bytes.position(at + Frames.HEADER);
      begin(bytes.getShort(at) & 0xffff, bytes.get(at + 2) & 0xff, bytes.getInt(at + 4));
      return;
    }
    int count = Math.min(Frames.HEADER - headerBytes, bytes.remaining());
    bytes.get(header, headerBytes, count);
    headerBytes += count;
    if (headerBytes == Frames.HEADER) {
      headerBytes = 0;
      ByteBuffer whole = ByteBuffer.wrap(header);
      begin(whole.getShort(0) & 0xffff, whole.get(2) & 0xff, whole.getInt(4));
    }
  }

  /** A header has come; the flags in it are for versions to come. */
  private void begin(int length, int number, int id) throws FrameException {
    if (length > Frames.MOST_BODY) {
      throw new FrameException("a frame of " + length + " bytes");
    }
    kind = Kind.of(number);
    if (!greeted && kind != Kind.HELLO) {
      throw new FrameException("the first frame is of kind " + number + ", no hello");
    }
    if (kind == null) {
      if (!newer) {
        throw new FrameException("a frame of unknown kind " + number);
      }
    } else {
      if (length < kind.least || (length > kind.most && !newer)) {
        throw new FrameException(kind + " of " + length + " bytes");
      }
      if (kind.ofSession() == (id == 0)) {
        throw new FrameException(kind + " for session " + Integer.toUnsignedString(id));
      }
    }
    session = id;
    left = length;
    if (length == 0 && kind != null) {
      whole(ByteBuffer.allocate(0));
    }
  }

  private void readBody(ByteBuffer bytes) throws FrameException {
    int count = Math.min(left, bytes.remaining());
    if (kind == null) {
      bytes.position(bytes.position() + count);
      left -= count;
    } else if (kind == Kind.DATA) {
      left -= count;
      handOn(bytes, count);
    } else if (body == null && count == left) {
      left = 0;
      ByteBuffer part = bytes.slice(bytes.position(), count);
      bytes.position(bytes.position() + count);
      whole(part);
    } else {
      keep(bytes, count);
    }
  }

  private void handOn(ByteBuffer bytes, int count) throws FrameException {
    int limit = bytes.limit();
    int end = bytes.position() + count;
    bytes.limit(end);
    try {
      to.data(session, bytes);
    } finally {
      bytes.limit(limit).position(end);
    }
  }

  private void keep(ByteBuffer bytes, int count) throws FrameException {
    if (body == null) {
      body = new byte[left];
      bodyBytes = 0;
    }
    bytes.get(body, bodyBytes, count);
    bodyBytes += count;
    left -= count;
    if (left == 0) {
      ByteBuffer part = ByteBuffer.wrap(body);
      body = null;
      whole(part);
    }
  }

  private void whole(ByteBuffer in) throws FrameException {
    switch (kind) {
      case HELLO -> hello(in);
      case REFUSE -> to.refuse(value(this::refusal, in));
      case LEAVE -> to.leave(value(this::leave, in));
      case PING -> to.ping(value(this::stamp, in));
      case PONG -> to.pong(value(this::stamp, in));
      case ROOM -> to.room(value(this::room, in));
      case OPEN -> to.open(session, value(this::open, in));
      case ANSWER -> to.answer(session, value(this::answer, in));
      case KEEP -> to.keep(session);
      case CREDIT -> to.credit(session, value(this::credit, in));
      case END -> to.end(session);
      case RESET -> to.reset(session, in.get() & 0xff);
      case DATA -> throw new AssertionError("data is handed on in parts");
    }
  }

  /** Reads a body's fields into a value. */
  private interface Body<T> {
    T from(ByteBuffer in) throws FrameException;
  }

  private <T> T value(Body<T> body, ByteBuffer in) throws FrameException {
    T value;
    try {
      value = body.from(in);
    } catch (IllegalArgumentException e) {
      throw new FrameException(kind + ": " + e.getMessage());
    }
    if (in.hasRemaining() && !newer) {
      throw new FrameException(kind + " with " + in.remaining() + " bytes too many");
    }
    return value;
  }

  private Refusal refusal(ByteBuffer in) {
    Refusal.Code code = Refusal.Code.of(in.get() & 0xff);
    Version version = version(in);
    byte[] text = new byte[in.remaining()];
    in.get(text);
    return new Refusal(code, version, new String(text, StandardCharsets.ISO_8859_1));
  }

  private Leave leave(ByteBuffer in) throws FrameException {
    return new Leave(Leave.Code.of(in.get() & 0xff), notNegative(in.getInt()));
  }

  private Long stamp(ByteBuffer in) throws FrameException {
    return notNegative(in.getLong());
  }

  private Room room(ByteBuffer in) throws FrameException {
    long stamp = in.getLong();
    int age = in.getInt();
    long generation = in.getLong();
    int room = in.getInt();
    return new Room(text(in, in.get() & 0xff), room, generation, age, stamp);
  }

  private Open open(ByteBuffer in) throws FrameException {
    long stamp = in.getLong();
    long flow = in.getLong();
    int attempt = in.get() & 0xff;
    int attempts = in.get() & 0xff;
    int lease = in.getInt();
    int deadline = in.getInt();
    int credit = in.getInt();
    String line = text(in, in.getShort() & 0xffff);
    return new Open(flow, attempt, attempts, lease, deadline, stamp, credit, line);
  }

  private Answer answer(ByteBuffer in) throws FrameException {
    Answer.Code code = Answer.Code.of(in.get() & 0xff);
    int pause = in.getInt();
    int credit = in.getInt();
    return new Answer(code, pause, credit, text(in, in.getShort() & 0xffff));
  }

  private Integer credit(ByteBuffer in) throws FrameException {
    int more = in.getInt();
    if (more < 1) {
      throw new FrameException("CREDIT of " + more);
    }
    return more;
  }

  private void hello(ByteBuffer in) throws FrameException {
    if (greeted) {
      throw new FrameException("a second hello");
    }
    int magic = in.getInt();
    if (magic != MAGIC) {
      throw new FrameException("a hello that begins with " + Integer.toHexString(magic));
    }
    greeted = true;
    Version version = version(in);
    if (version.major() != Version.OURS.major()) {
      to.foreign(version);
      return;
    }
    newer = version.minor() > Version.OURS.minor();
    to.hello(value(rest -> hello(version, rest), in));
  }

  private Hello hello(Version version, ByteBuffer in) throws FrameException {
    if (in.remaining() < Long.BYTES + Integer.BYTES) {
      throw new FrameException("a hello of a few bytes");
    }
    long incarnation = in.getLong();
    int sessions = notNegative(in.getInt());
    GatewayName gateway = new GatewayName(text(in), text(in));
    return new Hello(version, gateway, incarnation, sessions);
  }

  private String text(ByteBuffer in) throws FrameException {
    return text(in, in.hasRemaining() ? in.get() & 0xff : 0);
  }

  private static Version version(ByteBuffer in) {
    return new Version(in.get() & 0xff, in.get() & 0xff);
  }

  private static int notNegative(int value) throws FrameException {
    if (value < 0) {
      throw new FrameException("a figure of " + Integer.toUnsignedString(value));
    }
    return value;
  }

  private static long notNegative(long value) throws FrameException {
    if (value < 0) {
      throw new FrameException("a time of " + Long.toUnsignedString(value));
    }
    return value;
  }

  private String text(ByteBuffer in, int length) throws FrameException {
    if (length > in.remaining()) {
      throw new FrameException(kind + " with " + length + " bytes of text, but a shorter body");
    }
    byte[] bytes = new byte[length];
    in.get(bytes);
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }
}
