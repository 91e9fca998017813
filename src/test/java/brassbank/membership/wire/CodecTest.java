package brassbank.membership.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import brassbank.membership.Activity;
import brassbank.membership.Incarnation;
import brassbank.membership.Message;
import brassbank.membership.State;
import brassbank.membership.Update;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

class CodecTest {
  private final Codec codec = new Codec("leith");

  private static Update update(SplittableRandom random) throws Exception {
    byte[] address = new byte[random.nextBoolean() ? 4 : 16];
    random.nextBytes(address);
    State state = State.values()[random.nextInt(4)];
    return new Update(
        "n".repeat(1 + random.nextInt(Update.MAX_NAME_LENGTH)),
        new InetSocketAddress(InetAddress.getByAddress(address), 1 + random.nextInt(65_535)),
        random.nextBoolean() ? "" : "leith",
        new Incarnation(random.nextLong(Incarnation.MAX_START_TIME), random.nextInt(1 << 30)),
        state,
        Activity.values()[random.nextInt(5)],
        random.nextInt(Update.MAX_AGE_SECONDS + 1),
        random.nextBoolean() ? "" : "n4");
  }

  /** Returns a random message whose updates fill the datagram. */
  private static Message message(SplittableRandom random) throws Exception {
    Update sender = update(random);
    List<Update> updates = new ArrayList<>();
    int freeBytes = Message.MAX_BYTES - Message.FIXED_BYTES - sender.sizeBytes() - 1;
    for (Update next = update(random);
        freeBytes >= next.sizeBytes() && updates.size() < Message.MAX_UPDATES;
        next = update(random)) {
      updates.add(next);
      freeBytes -= next.sizeBytes();
    }
    return new Message(
        Message.Kind.values()[random.nextInt(7)],
        random.nextInt(),
        sender,
        random.nextLong(),
        "",
        updates);
  }

  @Test
  void decodesEncodedMessages() throws Exception {
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 500; i++) {
      Message message = message(random);
      byte[] bytes = codec.encode(message);
      assertThat(bytes.length).isLessThanOrEqualTo(Message.MAX_BYTES);
      // IPv4-mapped IPv6 addresses are decoded as IPv4 addresses, so that bytes may differ.
      assertThat(codec.decode(bytes).updates()).hasSameSizeAs(message.updates());
      assertThat(codec.encode(codec.decode(bytes))).hasSizeLessThanOrEqualTo(bytes.length);
    }
    Update plain =
        new Update(
            "n1",
            new InetSocketAddress("10.0.0.7", 7070),
            "leith",
            new Incarnation(7, 3),
            State.SUSPECT,
            Activity.DRAINING,
            12,
            "n2");
    Message message = new Message(Message.Kind.PING_REQ, 9, plain, -5, "n3", List.of(plain, plain));
    assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
  }

  private DropReason dropReason(byte[] bytes) {
    InvalidDatagramException dropped =
        catchThrowableOfType(InvalidDatagramException.class, () -> codec.decode(bytes));
    return dropped == null ? null : dropped.reason();
  }

  @Test
  void dropsTruncatedOrAlteredDatagrams() throws Exception {
    byte[] whole = codec.encode(message(new SplittableRandom(2)));
    for (int length = 0; length < whole.length; length++) {
      assertThat(dropReason(Arrays.copyOf(whole, length)))
          .isIn(DropReason.FOREIGN, DropReason.DAMAGED);
    }
    for (int at = 0; at < whole.length; at++) {
      byte[] changed = whole.clone();
      changed[at] ^= 0x40;
      assertThat(dropReason(changed)).isIn(DropReason.FOREIGN, DropReason.DAMAGED);
    }
    assertThat(dropReason(Arrays.copyOf(whole, Message.MAX_BYTES + 1)))
        .isEqualTo(DropReason.FOREIGN);
    assertThat(dropReason(new Codec("dalkeith").encode(message(new SplittableRandom(3)))))
        .isEqualTo(DropReason.FLEET);
  }

  /** A datagram with a valid checksum and arbitrary content is decoded or rejected, never more. */
  @Test
  void dropsMalformedContentWithValidChecksum() throws Exception {
    SplittableRandom random = new SplittableRandom(4);
    int malformed = 0;
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = codec.encode(message(random));
      for (int k = 0; k < 4; k++) {
        bytes[12 + random.nextInt(bytes.length - 16)] = (byte) random.nextInt();
      }
      malformed += dropReason(withChecksum(bytes)) == DropReason.MALFORMED ? 1 : 0;
    }
    assertThat(malformed).isBetween(2_000, 19_999);
    byte[] newerVersion = codec.encode(message(random));
    newerVersion[2] = 2;
    assertThat(dropReason(withChecksum(newerVersion))).isEqualTo(DropReason.VERSION);
  }

  static byte[] withChecksum(byte[] bytes) {
    CRC32C sum = new CRC32C();
    sum.update(bytes, 0, bytes.length - 4);
    for (int i = 0; i < 4; i++) {
      bytes[bytes.length - 4 + i] = (byte) (sum.getValue() >>> (24 - 8 * i));
    }
    return bytes;
  }
}
