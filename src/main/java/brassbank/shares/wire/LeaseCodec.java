package brassbank.shares.wire;

import brassbank.membership.wire.DropReason;
import brassbank.membership.wire.Frame;
import brassbank.membership.wire.InvalidDatagramException;
import brassbank.shares.LeaseMessage;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * Writes and reads what one fleet says of seats. Big-endian: mark {@code B5A8}, version, kind; the
 * fleet's name (FNV-1a, 8 bytes); process 8; rank 2; ranks 2; sequence 4; length 1 and bytes of the
 * seats' bits, at most 32; weight 1; demand 4; one byte for each seat's weight, in {@code HELD};
 * CRC-32C of all before. Any thread may use one codec.
 */
public final class LeaseCodec {
  private static final short MARK = (short) 0xB5A8;
  private static final byte VERSION = 2;
  private static final int CHECKSUM = 4;
  private static final int FIXED = 4 + 8 + 8 + 2 + 2 + 4 + 1 + 1 + 4;
  private static final int MOST_SEATS = LeaseMessage.MAX_RANKS / 8;
  private static final LeaseMessage.Kind[] KINDS = LeaseMessage.Kind.values();

  private final long fleet;

  public LeaseCodec(String fleet) {
    this.fleet = Frame.fleetHash(fleet);
  }

  /** Whether a datagram is meant to be one of these. */
  public static boolean hasMagic(byte[] bytes) {
    return bytes.length >= 2 && ByteBuffer.wrap(bytes).getShort() == MARK;
  }

  public byte[] encode(LeaseMessage message) {
    byte[] seats = message.ranks().toByteArray();
    ByteBuffer to = ByteBuffer.allocate(FIXED + seats.length + message.weights().size() + CHECKSUM);
    to.putShort(MARK).put(VERSION).put((byte) message.kind().ordinal()).putLong(fleet);
    to.putLong(message.process())
        .putShort((short) message.rank())
        .putShort((short) message.rankCount());
    to.putInt(message.sequence()).put((byte) seats.length).put(seats);
    to.put((byte) message.weight()).putInt(message.demand());
    message.weights().forEach(weight -> to.put(weight.byteValue()));
    to.putInt(Frame.checksum(to.array(), to.position()));
    return to.array();
  }

  /** The message in a datagram that is {@link #hasMagic}, all of whose fields are within bounds. */
  public LeaseMessage decode(byte[] bytes) throws InvalidDatagramException {
    int end = bytes.length - CHECKSUM;
    ByteBuffer from = ByteBuffer.wrap(bytes);
    if (end < FIXED
        || end > FIXED + MOST_SEATS + LeaseMessage.MAX_RANKS
        || from.getShort() != MARK) {
      throw new InvalidDatagramException(
          DropReason.FOREIGN, bytes.length + " bytes that are no message");
    }
    if (from.getInt(end) != Frame.checksum(bytes, end)) {
      throw new InvalidDatagramException(DropReason.DAMAGED, "cut off or damaged");
    }
    byte version = from.get();
    if (version != VERSION) {
      throw new InvalidDatagramException(DropReason.VERSION, "version " + version);
    }
    from.limit(end);
    try {
      int kind = from.get();
      if (kind < 0 || kind >= KINDS.length) {
        throw malformed("kind " + kind);
      }
      if (from.getLong() != fleet) {
        throw new InvalidDatagramException(DropReason.FLEET, "another fleet's");
      }
      long process = from.getLong();
      int rank = from.getShort();
      int of = from.getShort();
      int sequence = from.getInt();
      byte[] seats = new byte[Math.max(0, from.get())];
      from.get(seats);
      BitSet ranks = BitSet.valueOf(seats);
      int weight = from.get();
      int demand = from.getInt();
      List<Integer> weights = new ArrayList<>();
      while (weights.size() < ranks.cardinality() && KINDS[kind] == LeaseMessage.Kind.HELD) {
        weights.add((int) from.get());
      }
      if (from.hasRemaining()) {
        throw malformed(from.remaining() + " bytes after its end");
      }
      return new LeaseMessage(
          KINDS[kind], process, rank, of, sequence, ranks, weights, weight, demand);
    } catch (BufferUnderflowException e) {
      throw malformed("ends before its end");
    } catch (IllegalArgumentException e) {
      throw malformed(e.getMessage());
    }
  }

  private static InvalidDatagramException malformed(String what) {
    return new InvalidDatagramException(DropReason.MALFORMED, what);
  }
}
