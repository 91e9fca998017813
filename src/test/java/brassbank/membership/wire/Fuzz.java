package brassbank.membership.wire;

import brassbank.membership.Activity;
import brassbank.membership.Incarnation;
import brassbank.membership.Membership;
import brassbank.membership.MembershipConfig;
import brassbank.membership.Message;
import brassbank.membership.Outbox;
import brassbank.membership.Settings;
import brassbank.membership.State;
import brassbank.membership.Update;
import brassbank.membership.View;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A fuzz test that runs outside CI: {@code Fuzz SEED COUNT} sends seeded datagrams to a member:
 * random bytes, valid datagrams with altered bytes and a corrected checksum, and well-formed
 * forgeries. The member must throw nothing, and bound the datagrams that it sends and the members
 * that it remembers.
 */
final class Fuzz {
  private static final int NAMES = 5_000;
  private static final int MAX_MEMBERS = 2_048 + 1_024 + 64 + 1;

  private final SplittableRandom random;
  private final Codec codec = new Codec("fuzz");
  private long sentDatagrams;
  private long sentBytes;

  private Fuzz(long seed) {
    random = new SplittableRandom(seed);
  }

  private Update update() throws Exception {
    byte[] address = {10, 0, (byte) random.nextInt(4), (byte) random.nextInt(256)};
    return new Update(
        "n" + (random.nextInt(20) == 0 ? 0 : random.nextInt(NAMES)),
        new InetSocketAddress(InetAddress.getByAddress(address), 1 + random.nextInt(65_535)),
        "z",
        new Incarnation(random.nextLong(Incarnation.MAX_START_TIME), random.nextInt(1 << 30)),
        State.values()[random.nextInt(4)],
        Activity.values()[random.nextInt(5)],
        random.nextInt(Update.MAX_AGE_SECONDS),
        "n" + random.nextInt(50));
  }

  private byte[] forgedMessage() throws Exception {
    List<Update> updates = new ArrayList<>();
    for (int i = random.nextInt(20); i > 0; i--) {
      updates.add(update());
    }
    return codec.encode(
        new Message(
            Message.Kind.values()[random.nextInt(7)],
            random.nextInt(8),
            update(),
            random.nextLong(),
            random.nextBoolean() ? "" : "n" + random.nextInt(NAMES),
            updates));
  }

  private byte[] nextDatagram() throws Exception {
    int kind = random.nextInt(3);
    if (kind == 0) {
      byte[] datagram = new byte[random.nextInt(1_400)];
      random.nextBytes(datagram);
      return datagram;
    }
    byte[] forged = forgedMessage();
    if (kind == 1) {
      for (int i = 0; i < 3; i++) {
        forged[random.nextInt(forged.length)] = (byte) random.nextInt();
      }
      return CodecTest.withChecksum(forged);
    }
    return forged;
  }

  private void run(long count) throws Exception {
    InetSocketAddress address = new InetSocketAddress("10.0.9.9", 7_000);
    MembershipConfig config =
        new MembershipConfig("fuzz", address, address, List.of(), Settings.DEFAULTS);
    Update self =
        new Update("n0", address, "z", new Incarnation(5, 0), State.ALIVE, Activity.ACTIVE, 0, "");
    Membership member = new Membership(config.settings(), self, config.seeds(), random.split(), 0);
    Outbox out =
        (to, message) -> {
          sentDatagrams++;
          sentBytes += codec.encode(message).length;
        };
    Map<DropReason, Long> dropped = new EnumMap<>(DropReason.class);
    long decoded = 0;
    long maxSentPerSecond = 0;
    long maxBytesPerSecond = 0;
    int maxMembers = 0;
    long now = 0;
    for (long i = 0; i < count; i++) {
      // One datagram per millisecond; the maximum of the datagrams sent per second is kept.
      if (i % 1_000 == 0) {
        maxSentPerSecond = Math.max(maxSentPerSecond, sentDatagrams);
        maxBytesPerSecond = Math.max(maxBytesPerSecond, sentBytes);
        sentDatagrams = 0;
        sentBytes = 0;
      }
      now += 1_000;
      if (now >= member.nextTickAtMicros()) {
        member.tick(now, out);
      }
      try {
        Message message = codec.decode(nextDatagram());
        decoded++;
        member.receive(now, new InetSocketAddress("10.0.0.1", 1), message, out);
      } catch (InvalidDatagramException e) {
        dropped.merge(e.reason(), 1L, Long::sum);
      }
      if (i % 100_000 == 0) {
        View view = member.view();
        maxMembers = Math.max(maxMembers, view.members().size());
        if (maxMembers > MAX_MEMBERS) {
          throw new IllegalStateException(
              maxMembers + " members are remembered, more than " + MAX_MEMBERS);
        }
      }
    }
    System.out.printf(
        "%d datagrams, %d decoded, dropped %s; maximum sent per second: %d datagrams, %d bytes;"
            + " maximum number of members: %d, local health %d%n",
        count,
        decoded,
        dropped,
        maxSentPerSecond,
        maxBytesPerSecond,
        maxMembers,
        member.localHealth());
  }

  public static void main(String[] arguments) throws Exception {
    new Fuzz(Long.parseLong(arguments[0])).run(Long.parseLong(arguments[1]));
  }
}
