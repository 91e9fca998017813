package brassbank.gateway.link.frame;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Puts frames into a buffer that has room for them, which whoever calls has seen to. */
public final class FrameWriter {
  /** The longest frame that carries no data, header and all. */
  public static final int LONGEST_CONTROL = Frames.HEADER + Kind.OPEN.most;

  private static final int MAGIC = 0x42424757;

  private FrameWriter() {}

  private static ByteBuffer begin(ByteBuffer out, Kind kind, int session, int length) {
    return out.putShort((short) length).put((byte) kind.number).put((byte) 0).putInt(session);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  private static void version(ByteBuffer out, Version version) {
    out.put((byte) version.major()).put((byte) version.minor());
  }

  public static void hello(ByteBuffer out, Hello hello) {
    byte[] site = bytes(hello.gateway().site());
    byte[] name = bytes(hello.gateway().name());
    begin(out, Kind.HELLO, 0, 20 + site.length + name.length).putInt(MAGIC);
    version(out, hello.version());
    out.putLong(hello.incarnation()).putInt(hello.sessions());
    out.put((byte) site.length).put(site).put((byte) name.length).put(name);
  }

  public static void refuse(ByteBuffer out, Refusal refusal) {
    byte[] text = bytes(refusal.text());
    begin(out, Kind.REFUSE, 0, 3 + text.length).put((byte) refusal.code().number);
    version(out, refusal.version());
    out.put(text);
  }

  public static void leave(ByteBuffer out, Leave leave) {
    begin(out, Kind.LEAVE, 0, 5).put((byte) leave.code().number).putInt(leave.withinMillis());
  }

  public static void ping(ByteBuffer out, long stamp) {
    begin(out, Kind.PING, 0, 8).putLong(stamp);
  }

  public static void pong(ByteBuffer out, long stamp) {
    begin(out, Kind.PONG, 0, 8).putLong(stamp);
  }

  public static void room(ByteBuffer out, Room room) {
    byte[] name = bytes(room.flowClass());
    begin(out, Kind.ROOM, 0, 25 + name.length).putLong(room.stamp()).putInt(room.ageMillis());
    out.putLong(room.generation()).putInt(room.room()).put((byte) name.length).put(name);
  }

  public static void open(ByteBuffer out, int session, Open open) {
    byte[] line = bytes(open.line());
    begin(out, Kind.OPEN, session, 32 + line.length).putLong(open.stamp()).putLong(open.flow());
    out.put((byte) open.attempt()).put((byte) open.attempts());
    out.putInt(open.leaseMillis()).putInt(open.deadlineMillis()).putInt(open.credit());
    out.putShort((short) line.length).put(line);
  }

  public static void answer(ByteBuffer out, int session, Answer answer) {
    byte[] line = bytes(answer.line());
    begin(out, Kind.ANSWER, session, 11 + line.length).put((byte) answer.code().number);
    out.putInt(answer.pauseMillis()).putInt(answer.credit());
    out.putShort((short) line.length).put(line);
  }

  public static void keep(ByteBuffer out, int session) {
    begin(out, Kind.KEEP, session, 0);
  }

  /** The header of a data frame; so many bytes must follow. */
  public static void data(ByteBuffer out, int session, int length) {
    begin(out, Kind.DATA, session, length);
  }

  public static void credit(ByteBuffer out, int session, int bytes) {
    begin(out, Kind.CREDIT, session, 4).putInt(bytes);
  }

  public static void end(ByteBuffer out, int session) {
    begin(out, Kind.END, session, 0);
  }

  public static void reset(ByteBuffer out, int session, int code) {
    begin(out, Kind.RESET, session, 1).put((byte) code);
  }
}
