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
 * Encodes and decodes the lease datagrams of one fleet. All integers are big-endian: magic number
 * {@code B5A8}, version, kind; the fleet's identifier (FNV-1a, 8 bytes); process 8; rank 2; number
 * of ranks 2; sequence 4; length 1 and bytes of the bit set of ranks, at most 32; weight 1; demand
 * 4; one byte for each rank's weight, in {@code HELD}; CRC-32C of all before. Thread-safe.
 */
public final class LeaseCodec {
  private static final short MAGIC = (short) 0xB5A8;
  private static final byte VERSION = 2;
  private static final int CHECKSUM_BYTES = 4;
  private static final int FIXED_BYTES = 4 + 8 + 8 + 2 + 2 + 4 + 1 + 1 + 4;
  private static final int MAX_RANK_BYTES = LeaseMessage.MAX_RANKS / 8;
  private static final LeaseMessage.Kind[] KINDS = LeaseMessage.Kind.values();

  private final long fleet;

  /**
   * Creates a codec.
   *
   * @param fleet the fleet's name; datagrams of other fleets are rejected
   */
  public LeaseCodec(String fleet) {
    this.fleet = Frame.fleetHash(fleet);
  }

  /** Returns whether a datagram begins with the magic number of lease datagrams. */
  public static boolean hasMagic(byte[] bytes) {
    return bytes.length >= 2 && ByteBuffer.wrap(bytes).getShort() == MAGIC;
  }

  /** Returns the bytes of a message. */
  public byte[] encode(LeaseMessage message) {
    byte[] ranks = message.ranks().toByteArray();
    ByteBuffer to =
        ByteBuffer.allocate(FIXED_BYTES + ranks.length + message.weights().size() + CHECKSUM_BYTES);
    to.putShort(MAGIC).put(VERSION).put((byte) message.kind().ordinal()).putLong(fleet);
    to.putLong(message.process())
        .putShort((short) message.rank())
        .putShort((short) message.rankCount());
    to.putInt(message.sequence()).put((byte) ranks.length).put(ranks);
    to.put((byte) message.weight()).putInt(message.demand());
    message.weights().forEach(weight -> to.put(weight.byteValue()));
    to.putInt(Frame.checksum(to.array(), to.position()));
    return to.array();
  }

  /**
   * Decodes a datagram for which {@link #hasMagic} is true, and checks that all its fields are
   * within their bounds.
   *
   * @throws InvalidDatagramException if the datagram is not a valid message of this fleet
   */
  public LeaseMessage decode(byte[] bytes) throws InvalidDatagramException {
    int end = bytes.length - CHECKSUM_BYTES;
    ByteBuffer from = ByteBuffer.wrap(bytes);
    if (end < FIXED_BYTES
        || end > FIXED_BYTES + MAX_RANK_BYTES + LeaseMessage.MAX_RANKS
        || from.getShort() != MAGIC) {
      throw new InvalidDatagramException(
          DropReason.FOREIGN, "not a lease datagram (" + bytes.length + " bytes)");
    }
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
      int kind = from.get();
      if (kind < 0 || kind >= KINDS.length) {
        throw malformed("unknown kind " + kind);
      }
      if (from.getLong() != fleet) {
        throw new InvalidDatagramException(DropReason.FLEET, "identifier of another fleet");
      }
      long process = from.getLong();
      int rank = from.getShort();
      int rankCount = from.getShort();
      int sequence = from.getInt();
      byte[] rankBits = new byte[Math.max(0, from.get())];
      from.get(rankBits);
      BitSet ranks = BitSet.valueOf(rankBits);
      int weight = from.get();
      int demand = from.getInt();
      List<Integer> weights = new ArrayList<>();
      while (weights.size() < ranks.cardinality() && KINDS[kind] == LeaseMessage.Kind.HELD) {
        weights.add((int) from.get());
      }
      if (from.hasRemaining()) {
        throw malformed(from.remaining() + " trailing bytes");
      }
      return new LeaseMessage(
          KINDS[kind], process, rank, rankCount, sequence, ranks, weights, weight, demand);
    } catch (BufferUnderflowException e) {
      throw malformed("fields exceed the datagram");
    } catch (IllegalArgumentException e) {
      throw malformed(e.getMessage());
    }
  }

  private static InvalidDatagramException malformed(String detail) {
    return new InvalidDatagramException(DropReason.MALFORMED, detail);
  }
}
