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

/** Writes and reads the datagrams of one fleet. Any thread may use one codec. */
public final class Codec {
  /** What each datagram begins with. */
  static final short MARK = (short) 0xB5A7;

  static final byte VERSION = 1;

  private static final int CHECKSUM = 4;
  private static final int LEAST_BYTES = Message.FIXED_BYTES + 20;

  private static final Message.Kind[] KINDS = Message.Kind.values();
  private static final State[] STATES = State.values();
  private static final Activity[] ACTIVITIES = Activity.values();

  private final long fleet;

  /**
   * @param fleet the fleet's name; what comes from another one is dropped
   */
  public Codec(String fleet) {
    this.fleet = Frame.fleetHash(fleet);
  }

  /** The bytes of a message; throws IllegalArgumentException where they are too many. */
  public byte[] encode(Message message) {
    ByteBuffer to = ByteBuffer.allocate(Message.MAX_BYTES);
    try {
      to.putShort(MARK).put(VERSION).put((byte) message.kind().ordinal()).putLong(fleet);
      to.putInt(message.sequence()).putLong(message.digest());
      text(to, message.target());
      to.put((byte) message.updates().size());
      update(to, message.sender());
      message.updates().forEach(one -> update(to, one));
      to.putInt(Frame.checksum(to.array(), to.position()));
    } catch (java.nio.BufferOverflowException e) {
      throw new IllegalArgumentException("a message of more than " + Message.MAX_BYTES, e);
    }
    byte[] bytes = new byte[to.flip().remaining()];
    to.get(bytes);
    return bytes;
  }

  private static void text(ByteBuffer to, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    if (bytes.length > Update.MAX_NAME_LENGTH) {
      throw new IllegalArgumentException("a name of " + bytes.length + " bytes");
    }
    to.put((byte) bytes.length).put(bytes);
  }

  private static void update(ByteBuffer to, Update update) {
    text(to, update.name());
    byte[] address = update.address().getAddress().getAddress();
    to.put((byte) address.length).put(address).putShort((short) update.address().getPort());
    text(to, update.zone());
    to.putLong(update.incarnation().startTime()).putInt(update.incarnation().revision());
    to.put((byte) (update.state().ordinal() << 4 | update.activity().ordinal()));
    to.putShort((short) update.ageSeconds());
    text(to, update.reportedBy());
  }

  /** The message in a datagram, all of whose fields are within their bounds. */
  public Message decode(byte[] bytes) throws InvalidDatagramException {
    ByteBuffer from = ByteBuffer.wrap(bytes);
    if (bytes.length < LEAST_BYTES || bytes.length > Message.MAX_BYTES || from.getShort() != MARK) {
      throw new InvalidDatagramException(
          DropReason.FOREIGN, bytes.length + " bytes that are no message");
    }
    int end = bytes.length - CHECKSUM;
    if (from.getInt(end) != Frame.checksum(bytes, end)) {
      throw new InvalidDatagramException(DropReason.DAMAGED, "cut off or damaged");
    }
    byte version = from.get();
    if (version != VERSION) {
      throw new InvalidDatagramException(DropReason.VERSION, "version " + version);
    }
    from.limit(end);
    try {
      Message.Kind kind = one(KINDS, from.get(), "kind");
      if (from.getLong() != fleet) {
        throw new InvalidDatagramException(DropReason.FLEET, "another fleet's");
      }
      int sequence = from.getInt();
      long digest = from.getLong();
      String target = name(from, true);
      int count = from.get();
      if (count < 0 || count > Message.MAX_UPDATES) {
        throw malformed(count + " updates");
      }
      Update sender = update(from);
      List<Update> updates = new ArrayList<>(count);
      for (int i = 0; i < count; i++) {
        updates.add(update(from));
      }
      if (from.hasRemaining()) {
        throw malformed(from.remaining() + " bytes after its end");
      }
      return new Message(kind, sequence, sender, digest, target, updates);
    } catch (BufferUnderflowException e) {
      throw malformed("ends before its end");
    }
  }

  private static InvalidDatagramException malformed(String what) {
    return new InvalidDatagramException(DropReason.MALFORMED, what);
  }

  private static <T> T one(T[] all, int number, String what) throws InvalidDatagramException {
    if (number < 0 || number >= all.length) {
      throw malformed(what + " " + number);
    }
    return all[number];
  }

  private static String name(ByteBuffer from, boolean mayBeEmpty) throws InvalidDatagramException {
    int length = from.get();
    if (length < 0 || length > Update.MAX_NAME_LENGTH) {
      throw malformed("a name of " + length + " bytes");
    }
    byte[] bytes = new byte[length];
    from.get(bytes);
    String name = new String(bytes, StandardCharsets.US_ASCII);
    if (!(length == 0 ? mayBeEmpty : Update.isValidName(name))) {
      throw malformed("a name that is none");
    }
    return name;
  }

  private static Update update(ByteBuffer from) throws InvalidDatagramException {
    String name = name(from, false);
    int length = from.get();
    if (length != 4 && length != 16) {
      throw malformed("an address of " + length + " bytes");
    }
    byte[] address = new byte[length];
    from.get(address);
    int port = from.getShort() & 0xffff;
    if (port == 0) {
      throw malformed("port 0");
    }
    String zone = name(from, true);
    long birth = from.getLong();
    int raised = from.getInt();
    // Beyond the bound nobody could contradict it any more.
    if (birth < 0
        || birth >= Incarnation.MAX_START_TIME
        || raised < 0
        || raised >= Incarnation.MAX_REVISION) {
      throw malformed("incarnation " + birth + "." + raised);
    }
    int both = from.get() & 0xff;
    State state = one(STATES, both >> 4, "state");
    Activity activity = one(ACTIVITIES, both & 0xf, "activity");
    int age = from.getShort() & 0xffff;
    String by = name(from, true);
    try {
      return new Update(
          name,
          new InetSocketAddress(InetAddress.getByAddress(address), port),
          zone,
          new Incarnation(birth, raised),
          state,
          activity,
          age,
          by);
    } catch (UnknownHostException e) {
      throw malformed("no address");
    }
  }
}
