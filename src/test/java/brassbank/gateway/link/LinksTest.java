package brassbank.gateway.link;

import static brassbank.gateway.link.Gateway.peer;
import static brassbank.gateway.link.Gateway.until;
import static org.assertj.core.api.Assertions.assertThat;

import brassbank.gateway.link.frame.FrameWriter;
import brassbank.gateway.link.frame.GatewayName;
import brassbank.gateway.link.frame.Hello;
import brassbank.gateway.link.frame.Version;
import brassbank.gateway.link.mux.Ending;
import brassbank.gateway.link.mux.LinkLimits;
import brassbank.gateway.link.mux.ResetCode;
import brassbank.gateway.link.tls.Authority;
import brassbank.gateway.link.tls.Keys;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Links on real sockets of loopback, with TLS but where it says otherwise. */
class LinksTest {
  private static final String DALKEITH = "brassbank://dalkeith/gw-1";
  private static final String LEITH = "brassbank://leith/gw-1";
  private static final LinkLimits LIMITS = LinkLimits.DEFAULTS;

  @TempDir static Path directory;
  private static Authority ours;
  private static Authority other;
  private static Keys dalkeith;
  private static Keys leith;

  @BeforeAll
  static void makeKeys() {
    ours = new Authority("ours");
    other = new Authority("other");
    dalkeith = ours.keys(directory, DALKEITH, ours);
    leith = ours.keys(directory, LEITH, ours);
  }

  private static Gateway far() throws Exception {
    return new Gateway(LEITH, LIMITS, leith, peer(DALKEITH, 0, 1));
  }

  private static Gateway near(int port, int links) throws Exception {
    return new Gateway(DALKEITH, LIMITS, dalkeith, peer(LEITH, port, links));
  }

  @Test
  void manySessionsShareTheLinksOfAPairAndEitherSideMayOpenThem() throws Exception {
    try (Gateway far = far();
        Gateway near = near(far.port, 3)) {
      until("all links", () -> near.up(far) == 3 && far.up(near) == 3);
      List<Gateway.Caller> callers = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        callers.add(i % 2 == 0 ? near.standing(far, i) : far.standing(near, i));
      }
      List<Integer> shares =
          near.on(() -> near.links.of(far.name).stream().map(GatewayLink::sessions).toList());
      assertThat(shares).containsExactly(20, 20, 20);
      for (int i = 0; i < 60; i++) {
        Gateway.Caller caller = callers.get(i);
        (i % 2 == 0 ? near : far).run(() -> caller.send(3_000));
      }
      until("all is back", () -> callers.stream().allMatch(c -> c.came == 3_000));
      for (int i = 0; i < 60; i++) {
        Gateway.Caller caller = callers.get(i);
        (i % 2 == 0 ? near : far).run(caller.session::finish);
      }
      until("all are over", () -> callers.stream().allMatch(c -> c.ending != null));
      assertThat(callers).allMatch(c -> c.ending.how() == Ending.How.FINISHED);
    }
  }

  @Test
  void aResetInMidFrameEndsEachSessionOnceAndTheLinkComesBack() throws Exception {
    try (Gateway far = far();
        Wire wire = new Wire(far.port);
        Gateway near = near(wire.port(), 1)) {
      Gateway.Caller standing = near.standing(far, 1);
      wire.loseBack = true;
      Gateway.Caller asked = near.call(far, 2, 900_000);
      near.run(() -> standing.send(50_000));
      wire.delayMillis = 1;
      wire.cut();
      until("both are told", () -> standing.ending != null && asked.ending != null);
      assertThat(standing.ending.waitMicros()).isZero();
      assertThat(asked.ending.how()).isEqualTo(Ending.How.LINK);
      assertThat(asked.ending.waitMicros()).isBetween(500_000L, 1_100_000L);
      until("the far side is told", () -> far.echoes.get(0).ending != null);
      wire.loseBack = false;
      wire.delayMillis = 0;
      assertThat(near.standing(far, 3).up).isTrue();
      assertThat(standing.endings).hasValue(1);
      assertThat(near.told).startsWith("up leith", "down broken", "up leith");
    }
  }

  @Test
  void aLinkThatIsSilentOneWayIsFoundByBothWithinTwoSeconds() throws Exception {
    for (boolean there : new boolean[] {true, false}) {
      try (Gateway far = far();
          Wire wire = new Wire(far.port);
          Gateway near = near(wire.port(), 1)) {
        Gateway.Caller standing = near.standing(far, 1);
        wire.loseThere = there;
        wire.loseBack = !there;
        long from = System.nanoTime();
        until("both find it", () -> standing.ending != null && far.echoes.get(0).ending != null);
        assertThat((System.nanoTime() - from) / 1_000_000).isBetween(1_000L, 2_000L);
        wire.cut();
      }
    }
  }

  @Test
  void aSlowSessionHoldsUpNoOtherOfItsLink() throws Exception {
    try (Gateway far = far();
        Gateway near = near(far.port, 1)) {
      Gateway.Caller slow = near.standing(far, 1);
      far.echoes.get(0).reads = false;
      near.run(() -> slow.send(60_000));
      Gateway.Caller quick = near.standing(far, 2);
      quick.whenCame =
          () -> {
            if (quick.sent < 5_000_000 && quick.session.room() >= 10_000) {
              quick.send(10_000);
            }
          };
      near.run(() -> quick.send(10_000));
      until("5 MB passed the slow one", () -> quick.came >= 5_000_000);
      assertThat(slow.came).isZero();
      int waiting = near.on(slow.session::waiting);
      assertThat(waiting).isEqualTo(60_000 - LIMITS.credit());
    }
  }

  @Test
  void keysAndAuthorityAreReplacedUnderLoadWithoutASessionLost() throws Exception {
    try (Gateway far = far();
        Gateway near = near(far.port, 2)) {
      List<Gateway.Caller> callers = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        Gateway.Caller caller = near.standing(far, i);
        caller.whenCame = () -> caller.send(100);
        near.run(() -> caller.send(100));
        callers.add(caller);
      }
      Set<GatewayLink> old = Set.copyOf(near.on(() -> near.links.of(far.name)));
      // Both authorities on both sides; then the new keys; then the new authority alone.
      Keys[][] steps = {
        {ours.keys(directory, DALKEITH, ours, other), ours.keys(directory, LEITH, ours, other)},
        {other.keys(directory, DALKEITH, ours, other), other.keys(directory, LEITH, ours, other)},
        {other.keys(directory, DALKEITH, other), other.keys(directory, LEITH, other)}
      };
      for (Keys[] step : steps) {
        near.run(() -> near.links.guards(near.guards(step[0])));
        far.run(() -> far.links.guards(far.guards(step[1])));
        until("links with these keys", () -> newest(near) == 2);
      }
      long before = callers.stream().mapToLong(c -> c.came).sum();
      until("all go on", () -> callers.stream().mapToLong(c -> c.came).sum() > before + 200_000);
      assertThat(callers).allMatch(c -> c.ending == null);
      near.run(() -> callers.forEach(c -> c.session.reset(ResetCode.DONE)));
      until("the old links end", () -> near.on(near.links::all).stream().noneMatch(old::contains));
      until("no more than wanted", () -> near.up(far) == 2);
      assertThat(Set.copyOf(near.told))
          .containsExactlyInAnyOrder("up leith", "down closed", "leaving RENEW", "leaving CLOSE");
    }
  }

  /** How many links that go on were set up with the keys of the last step, on both sides. */
  private static int newest(Gateway near) {
    return near.on(
        () ->
            (int)
                near.links.all().stream()
                    .filter(l -> !l.leaving(brassbank.gateway.link.frame.Leave.Code.RENEW))
                    .filter(l -> l.guards() == near.links.guards())
                    .count());
  }

  @Test
  void aPeerThatIsNotLetInIsToldInTheLogWithTheReason() throws Exception {
    Keys expired = ours.files(directory, 0, -1_000, new Authority[] {ours}, DALKEITH).read();
    Keys musselburgh = ours.keys(directory, "brassbank://musselburgh/gw-1", ours);
    Keys unknown = other.keys(directory, DALKEITH, ours);
    try (Gateway far = far()) {
      for (Keys keys : List.of(expired, musselburgh, unknown)) {
        // A second attempt that the end of this block cuts short would be refused for that reason.
        try (Gateway near =
            Gateway.withLateRetry(
                keys.gateway().toString(), LIMITS, keys, peer(LEITH, far.port, 1))) {
          int before = far.logged("link-refused", "reason").size();
          until("refused", () -> far.logged("link-refused", "reason").size() > before);
          until("told there", () -> !near.logged("link-unreachable", "reason").isEmpty());
          assertThat(near.told).isEmpty();
        }
      }
      Set<String> reasons =
          far.logged("link-refused", "reason").stream()
              .map(reason -> reason.split(":")[0])
              .collect(Collectors.toSet());
      assertThat(reasons)
          .containsExactlyInAnyOrder("expired", "not a peer of this gateway", "not trusted");
      assertThat(far.told).isEmpty();
      // Of the right authority, and not the one that was to be reached.
      try (Gateway near =
          new Gateway(DALKEITH, LIMITS, dalkeith, peer("brassbank://leith/gw-2", far.port, 1))) {
        until("told", () -> !near.logged("link-unreachable", "reason").isEmpty());
        assertThat(near.logged("link-unreachable", "reason").get(0))
            .isEqualTo("refused: not brassbank://leith/gw-2: " + LEITH);
      }
    }
  }

  @Test
  void aGatewayThatStartsAnewVoidsWhatItsEarlierStartLeft() throws Exception {
    try (Gateway far = far();
        Wire wire = new Wire(far.port);
        Gateway before = near(wire.port(), 1)) {
      before.standing(far, 1);
      // It is gone without a word that gets through.
      wire.loseThere = true;
      try (Gateway after = near(far.port, 1)) {
        assertThat(after.standing(far, 1).up).isTrue();
        until("void", () -> far.echoes.get(0).ending != null);
        assertThat(far.told).containsSequence("up dalkeith", "down restarted");
        assertThat(far.echoes).hasSize(2);
      }
      wire.cut();
    }
  }

  @Test
  void aPlannedStopLetsSessionsEndAndThenEndsTheLinks() throws Exception {
    try (Gateway far = far();
        Gateway near = near(far.port, 2)) {
      Gateway.Caller caller = near.standing(far, 1);
      far.run(() -> far.links.tellRoom("preview", 12, 1));
      until("room is told", () -> near.told.contains("room preview 12"));
      far.run(() -> far.links.leave(3_000_000));
      until("announced", () -> near.told.contains("leaving STOP"));
      boolean opened =
          near.on(() -> near.links.open(far.name, caller.session.attempt(), caller) != null);
      assertThat(opened).isFalse();
      near.run(() -> caller.send(100));
      until("the session goes on", () -> caller.came == 100);
      near.run(caller.session::finish);
      until("all links end", () -> near.up(far) == 0);
      assertThat(caller.ending.how()).isEqualTo(Ending.How.FINISHED);
      assertThat(near.told).doesNotContain("down broken");
    }
  }

  @Test
  void aSecondAttemptOfAFlowIsTurnedAwayWhileTheFirstIsHere() throws Exception {
    try (Gateway far = far();
        Gateway near = near(far.port, 2)) {
      near.standing(far, 7);
      Gateway.Caller second = near.call(far, 7, 500_000);
      until("turned away", () -> second.ending != null);
      assertThat(second.ending.answer().code())
          .isEqualTo(brassbank.gateway.link.frame.Answer.Code.TURNED_AWAY);
      assertThat(far.echoes).hasSize(1);
      assertThat(far.logged("attempt-doubled", "flow")).containsExactly("7");
    }
  }

  @Test
  void strangersThatSayNothingAreGivenUpAndAPeerStillGetsIn() throws Exception {
    try (Gateway far = far()) {
      List<Socket> strangers = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        strangers.add(new Socket("127.0.0.1", far.port));
      }
      strangers.get(0).getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
      until("garbage is refused", () -> !far.logged("link-refused", "reason").isEmpty());
      assertThat(far.logged("link-refused", "reason").get(0))
          .isEqualTo("what came is no record of TLS");
      int connections = far.on(far.links::connections);
      assertThat(connections).isBetween(1, 16);
      try (Gateway near = near(far.port, 1)) {
        assertThat(near.standing(far, 1).up).isTrue();
      }
      assertThat(far.logged("link-refused", "how")).contains("late");
      for (Socket stranger : strangers) {
        stranger.close();
      }
    }
  }

  /** Without TLS: a peer of a version to come, byte by byte. */
  @Test
  void aNewerMinorVersionIsSpokenWithAndAnotherMajorRefusedWithAReason() throws Exception {
    try (Gateway far = new Gateway(LEITH, LIMITS, null, peer(DALKEITH, 0, 1))) {
      try (Socket socket = new Socket("127.0.0.1", far.port)) {
        ByteBuffer out = ByteBuffer.allocate(1_000);
        FrameWriter.hello(out, new Hello(new Version(1, 9), GatewayName.of(DALKEITH), 1, 5));
        out.putShort((short) 3).put((byte) 11).put((byte) 1).putInt(0).put(new byte[3]);
        FrameWriter.ping(out, 77);
        socket.getOutputStream().write(out.array(), 0, out.position());
        DataInputStream in = new DataInputStream(socket.getInputStream());
        assertThat(frames(in, 5)).isEqualTo(ByteBuffer.allocate(8).putLong(77).flip());
      }
      try (Socket socket = new Socket("127.0.0.1", far.port)) {
        ByteBuffer out = ByteBuffer.allocate(1_000);
        out.putShort((short) 40).put((byte) 1).put((byte) 0).putInt(0);
        out.putInt(0x42424757).put((byte) 2).put((byte) 0).put(new byte[34]);
        socket.getOutputStream().write(out.array(), 0, out.position());
        DataInputStream in = new DataInputStream(socket.getInputStream());
        ByteBuffer body = frames(in, 2);
        assertThat(body.getShort() >> 8).isOne();
        assertThat(StandardCharsets.US_ASCII.decode(body.position(3)).toString())
            .isEqualTo("speaks 1.0, and not 2.0");
        assertThat(in.read()).isEqualTo(-1);
      }
      assertThat(far.logged("link-refused", "how")).endsWith("refused");
    }
  }

  /** The body of the first frame of the kind. */
  private static ByteBuffer frames(DataInputStream in, int kind) throws IOException {
    while (true) {
      int length = in.readUnsignedShort();
      int found = in.readUnsignedByte();
      in.skipNBytes(5);
      byte[] body = in.readNBytes(length);
      if (found == kind) {
        return ByteBuffer.wrap(body);
      }
    }
  }
}
