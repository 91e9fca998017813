package brassbank.sim.actor;

import brassbank.sim.event.Event;
import brassbank.sim.net.Endpoint;
import brassbank.sim.net.Machine;
import brassbank.sim.net.Program;
import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/**
 * A client that violates the protocol. It sends at full speed and reads all that it is sent; the
 * proxy must answer it with an error or close the connection in time, and must not serve it.
 */
public final class BadClient implements Program.ConnectHandler, LineConnection.Listener {
  private static final int CHUNK_BYTES = 64 * 1024;

  /** The way in which a bad client violates the protocol. */
  public enum Kind {
    GARBAGE("send bytes that cannot be read"),
    ENDLESS("send a line that never ends"),
    TIMES("send deadlines that are negative, huge or no numbers"),
    HUGE("send a value of many megabytes"),
    NO_CLASS("name a class that does not exist"),
    NO_ID("send no id"),
    COPIED_ID("send the id of another client's open flow"),
    HALF("send half a command and then the end"),
    MANY("send hundreds of commands at a time"),
    AGAIN("send the same again as soon as they are turned away"),
    SILENT("connect and say nothing");

    private final String about;

    Kind(String about) {
      this.about = about;
    }

    /** Returns a description for authors of scripts. */
    public String about() {
      return about;
    }
  }

  private static final long LIMIT_MILLIS = 3_000;
  private static final long HUGE_LIMIT_MILLIS = 6_000;
  private static final int HUGE_BYTES = 12 << 20;
  private static final int ENDLESS_BYTES = 1 << 20;

  private final World world;
  private final Kind kind;
  private final Machine machine;
  private final Program program;
  private final String name;
  private final RandomStreams.Stream stream;
  private LineConnection lines;
  private String copiedFlow;
  private int remainingBytes;
  private int remainingRounds;
  private boolean settled;

  public BadClient(World world, Kind kind, Machine machine, Program program, int number) {
    this.world = world;
    this.kind = kind;
    this.machine = machine;
    this.program = program;
    this.name = "bad-" + kind.name().toLowerCase(Locale.ROOT) + "-" + number;
    this.stream = world.draws().of(name);
    this.remainingRounds = kind == Kind.AGAIN ? 30 : 1;
  }

  /** Connects, unless all repetitions are done or no proxy is admitted. */
  public void start() {
    InetSocketAddress address = world.loadBalancer().pick(machine.zone(), stream);
    if (address != null && remainingRounds > 0) {
      remainingRounds--;
      program.connect(address, this);
    }
  }

  @Override
  public void failed(IOException cause) {
    // The proxy is not reachable, which breaks no rule.
  }

  @Override
  public void connected(Endpoint endpoint) {
    settled = false;
    lines = new LineConnection(endpoint, this);
    String flow = name + "." + remainingRounds;
    world.flows().setClient(flow, endpoint);
    world.publish(
        new Event.BadConnected(
            flow,
            kind.name().toLowerCase(Locale.ROOT),
            endpoint.peerMachine().name(),
            kind == Kind.HUGE ? HUGE_LIMIT_MILLIS : LIMIT_MILLIS));
    misbehave(endpoint.peerMachine().name());
  }

  private void misbehave(String proxy) {
    switch (kind) {
      case GARBAGE, AGAIN -> {
        byte[] bytes = new byte[stream.between(1, 300)];
        for (int i = 0; i < bytes.length; i++) {
          bytes[i] = (byte) stream.bits();
        }
        bytes[bytes.length - 1] = '\n';
        lines.sendBytes(bytes);
      }
      case ENDLESS -> sendUnterminated(ENDLESS_BYTES);
      case HUGE -> {
        lines.sendBytes(bytes("OPEN " + name + " k c=preview,d=2000,g="));
        sendUnterminated(HUGE_BYTES);
      }
      case TIMES ->
          lines.send(
              "OPEN "
                  + name
                  + " k c=preview,d="
                  + stream.pick(
                      Arrays.asList("-5", "1e99", "x", "", "99999999999999999999", "0x10"))
                  + ",life=1000");
      case NO_CLASS -> lines.send("OPEN " + name + " k c=none,d=2000,life=1000");
      case NO_ID ->
          lines.send(
              stream.pick(
                  Arrays.asList(
                      "OPEN", "OPEN  k c=preview,d=2000", "OPEN c=preview,d=2000", "open x y z")));
      case COPIED_ID -> {
        copiedFlow = world.flows().anyOpen(proxy, stream);
        if (copiedFlow == null) {
          reportOutcome("");
          lines.close();
        } else {
          lines.send("OPEN " + copiedFlow + " k c=preview,d=2000,life=1000");
        }
      }
      case HALF -> {
        lines.sendBytes(bytes("OPEN " + name + " k c=prev"));
        lines.finish();
      }
      case MANY -> {
        for (int i = 0; i < 300; i++) {
          lines.send("OPEN " + name + "-" + i + " k c=preview,d=2000,life=1000");
        }
      }
      default -> {
        // The client sends nothing.
      }
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Sends {@code count} bytes without an end of line, as fast as the peer accepts them. */
  private void sendUnterminated(int count) {
    remainingBytes = count;
    sendChunk();
  }

  private void sendChunk() {
    byte[] chunk = new byte[CHUNK_BYTES];
    Arrays.fill(chunk, (byte) 'x');
    while (remainingBytes > 0 && lines.unwritten() < CHUNK_BYTES && !lines.isClosed()) {
      remainingBytes -= CHUNK_BYTES;
      lines.sendBytes(chunk);
    }
    if (remainingBytes > 0 && !lines.isClosed()) {
      program.schedule(Agenda.MILLI, this::sendChunk);
    } else if (kind == Kind.HUGE) {
      lines.sendBytes(bytes("\r\n"));
    }
  }

  @Override
  public void onLine(String line) {
    reportOutcome(line);
  }

  @Override
  public void onEnd(boolean reset) {
    reportOutcome("");
    remainingBytes = 0;
    lines.close();
    if (remainingRounds > 0) {
      start();
    }
  }

  private void reportOutcome(String line) {
    if (!settled) {
      settled = true;
      // A copied id whose flow has ended meanwhile is a valid id, and the client may be served.
      boolean isValid = copiedFlow != null && !world.flows().isOpen(copiedFlow);
      world.publish(new Event.BadSettled(name + "." + remainingRounds, isValid ? "" : line));
    }
  }
}
