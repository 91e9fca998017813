package brassbank.membership.wire;

import brassbank.membership.Activity;
import brassbank.membership.Incarnation;
import brassbank.membership.Message;
import brassbank.membership.State;
import brassbank.membership.Update;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes the membership datagrams of one fleet. Thread-safe. */
public final class Codec {
  /** The first two bytes of each datagram. */
  static final short MAGIC = (short) 0xB5A7;

  static final byte VERSION = 1;

  private static final int CHECKSUM_BYTES = 4;
  private static final int MIN_BYTES = Message.FIXED_BYTES + 20;

  private static final Message.Kind[] KINDS = Message.Kind.values();
  private static final State[] STATES = State.values();
  private static final Activity[] ACTIVITIES = Activity.values();

  private final long fleet;

  /**
   * Creates a codec.
   *
   * @param fleet the fleet's name; datagrams of other fleets are rejected
   */
  public Codec(String fleet) {
    this.fleet = Frame.fleetHash(fleet);
  }

  /**
   * Returns the bytes of a message.
   *
   * @throws IllegalArgumentException if the message does not fit into a datagram
   */
  public byte[] encode(Message message) {
    ByteBuffer to = ByteBuffer.allocate(Message.MAX_BYTES);
    try {
      to.putShort(MAGIC).put(VERSION).put((byte) message.kind().ordinal()).putLong(fleet);
      to.putInt(message.sequence()).putLong(message.digest());
      writeText(to, message.target());
      to.put((byte) message.updates().size());
      writeUpdate(to, message.sender());
      message.updates().forEach(update -> writeUpdate(to, update));
      to.putInt(Frame.checksum(to.array(), to.position()));
    } catch (java.nio.BufferOverflowException e) {
      throw new IllegalArgumentException("message exceeds " + Message.MAX_BYTES + " bytes", e);
    }
    byte[] bytes = new byte[to.flip().remaining()];
    to.get(bytes);
    return bytes;
  }

  private static void writeText(ByteBuffer to, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    if (bytes.length > Update.MAX_NAME_LENGTH) {
      throw new IllegalArgumentException(
          "name of " + bytes.length + " bytes exceeds " + Update.MAX_NAME_LENGTH);
    }
    to.put((byte) bytes.length).put(bytes);
  }

  private static void writeUpdate(ByteBuffer to, Update update) {
    writeText(to, update.name());
    byte[] address = update.address().getAddress().getAddress();
    to.put((byte) address.length).put(address).putShort((short) update.address().getPort());
    writeText(to, update.zone());
    to.putLong(update.incarnation().startTime()).putInt(update.incarnation().revision());
    to.put((byte) (update.state().ordinal() << 4 | update.activity().ordinal()));
    to.putShort((short) update.ageSeconds());
    writeText(to, update.reportedBy());
  }

  /**
   * Decodes a datagram and checks that all its fields are within their bounds.
   *
   * @throws InvalidDatagramException if the datagram is not a valid message of this fleet
   */
  public Message decode(byte[] bytes) throws InvalidDatagramException {
    ByteBuffer from = ByteBuffer.wrap(bytes);
    if (bytes.length < MIN_BYTES || bytes.length > Message.MAX_BYTES || from.getShort() != MAGIC) {
      throw new InvalidDatagramException(
          DropReason.FOREIGN, "not a membership datagram (" + bytes.length + " bytes)");
    }
    int end = bytes.length - CHECKSUM_BYTES;
    if (from.getInt(end) != Frame.checksum(bytes, end)) {
      throw new InvalidDatagramException(
          DropReason.DAMAGED, "checksum mismatch: truncated or corrupt");
    }
    byte version = from.get();
    if (version != VERSION) {
      throw new InvalidDatagramException(DropReason.VERSION, "unsupported version " + version);
    }
    from.limit(end);
    try {
      Message.Kind kind = constant(KINDS, from.get(), "kind");
      if (from.getLong() != fleet) {
        throw new InvalidDatagramException(DropReason.FLEET, "identifier of another fleet");
      }
      int sequence = from.getInt();
      long digest = from.getLong();
      String target = readName(from, true);
      int count = from.get();
      if (count < 0 || count > Message.MAX_UPDATES) {
        throw malformed("invalid number of updates: " + count);
      }
      Update sender = readUpdate(from);
      List<Update> updates = new ArrayList<>(count);
      for (int i = 0; i < count; i++) {
        updates.add(readUpdate(from));
      }
      if (from.hasRemaining()) {
        throw malformed(from.remaining() + " trailing bytes");
      }
      return new Message(kind, sequence, sender, digest, target, updates);
    } catch (BufferUnderflowException e) {
      throw malformed("fields exceed the datagram");
    }
  }

  private static InvalidDatagramException malformed(String detail) {
    return new InvalidDatagramException(DropReason.MALFORMED, detail);
  }

  private static <T> T constant(T[] values, int number, String field)
      throws InvalidDatagramException {
    if (number < 0 || number >= values.length) {
      throw malformed("unknown " + field + " " + number);
    }
    return values[number];
  }

  private static String readName(ByteBuffer from, boolean mayBeEmpty)
      throws InvalidDatagramException {
    int length = from.get();
    if (length < 0 || length > Update.MAX_NAME_LENGTH) {
      throw malformed("name of " + length + " bytes");
    }
    byte[] bytes = new byte[length];
    from.get(bytes);
    String name = new String(bytes, StandardCharsets.US_ASCII);
    if (!(length == 0 ? mayBeEmpty : Update.isValidName(name))) {
      throw malformed("empty name or invalid characters in a name");
    }
    return name;
  }

  private static Update readUpdate(ByteBuffer from) throws InvalidDatagramException {
    String name = readName(from, false);
    int length = from.get();
    if (length != 4 && length != 16) {
      throw malformed("address of " + length + " bytes");
    }
    byte[] address = new byte[length];
    from.get(address);
    int port = from.getShort() & 0xffff;
    if (port == 0) {
      throw malformed("port 0");
    }
    String zone = readName(from, true);
    long startTime = from.getLong();
    int revision = from.getInt();
    // The member could not refute an update with an incarnation at the bound.
    if (startTime < 0
        || startTime >= Incarnation.MAX_START_TIME
        || revision < 0
        || revision >= Incarnation.MAX_REVISION) {
      throw malformed("incarnation out of bounds: " + startTime + "." + revision);
    }
    int stateAndActivity = from.get() & 0xff;
    State state = constant(STATES, stateAndActivity >> 4, "state");
    Activity activity = constant(ACTIVITIES, stateAndActivity & 0xf, "activity");
    int ageSeconds = from.getShort() & 0xffff;
    String reportedBy = readName(from, true);
    try {
      return new Update(
          name,
          new InetSocketAddress(InetAddress.getByAddress(address), port),
          zone,
          new Incarnation(startTime, revision),
          state,
          activity,
          ageSeconds,
          reportedBy);
    } catch (UnknownHostException e) {
      throw malformed("invalid address");
    }
  }
}
