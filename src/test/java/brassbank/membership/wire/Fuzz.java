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
 * Outside CI: {@code Fuzz SEED COUNT} sends a member that many datagrams, seeded: random bytes,
 * whole ones with bytes changed and the checksum made right again, and well-formed lies. It must
 * throw nothing, answer within its bounds and remember within its bounds.
 */
final class Fuzz {
  private static final int NAMES = 5_000;
  private static final int MOST_MEMBERS = 2_048 + 1_024 + 64 + 1;

  private final SplittableRandom random;
  private final Codec codec = new Codec("fuzz");
  private long sent;
  private long bytes;

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

  private byte[] lie() throws Exception {
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

  private byte[] one() throws Exception {
    int kind = random.nextInt(3);
    if (kind == 0) {
      byte[] rubbish = new byte[random.nextInt(1_400)];
      random.nextBytes(rubbish);
      return rubbish;
    }
    byte[] lie = lie();
    if (kind == 1) {
      for (int i = 0; i < 3; i++) {
        lie[random.nextInt(lie.length)] = (byte) random.nextInt();
      }
      return CodecTest.signed(lie);
    }
    return lie;
  }

  private void run(long count) throws Exception {
    InetSocketAddress here = new InetSocketAddress("10.0.9.9", 7_000);
    MembershipConfig joining =
        new MembershipConfig("fuzz", here, here, List.of(), Settings.DEFAULTS);
    Update self =
        new Update("n0", here, "z", new Incarnation(5, 0), State.ALIVE, Activity.ACTIVE, 0, "");
    Membership member =
        new Membership(joining.settings(), self, joining.seeds(), random.split(), 0);
    Outbox out =
        (to, message) -> {
          sent++;
          bytes += codec.encode(message).length;
        };
    Map<DropReason, Long> refused = new EnumMap<>(DropReason.class);
    long taken = 0;
    long mostSent = 0;
    long mostBytes = 0;
    int most = 0;
    long now = 0;
    for (long i = 0; i < count; i++) {
      // A thousand come in a second; each second's answers are counted.
      if (i % 1_000 == 0) {
        mostSent = Math.max(mostSent, sent);
        mostBytes = Math.max(mostBytes, bytes);
        sent = 0;
        bytes = 0;
      }
      now += 1_000;
      if (now >= member.nextTickAtMicros()) {
        member.tick(now, out);
      }
      try {
        Message message = codec.decode(one());
        taken++;
        member.receive(now, new InetSocketAddress("10.0.0.1", 1), message, out);
      } catch (InvalidDatagramException e) {
        refused.merge(e.reason(), 1L, Long::sum);
      }
      if (i % 100_000 == 0) {
        View view = member.view();
        most = Math.max(most, view.members().size());
        if (most > MOST_MEMBERS) {
          throw new IllegalStateException(most + " members are remembered");
        }
      }
    }
    System.out.printf(
        "%d datagrams, %d taken, dropped %s; most in a second of 1000: %d datagrams, %d bytes sent;"
            + " %d members at most, health %d%n",
        count, taken, refused, mostSent, mostBytes, most, member.localHealth());
  }

  public static void main(String[] arguments) throws Exception {
    new Fuzz(Long.parseLong(arguments[0])).run(Long.parseLong(arguments[1]));
  }
}
