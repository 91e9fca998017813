package brassbank.sim.net;

import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One end of a TCP connection, as its kernel holds it: a send buffer and a receive buffer of finite
 * size, segments that arrive in order and are cut anywhere, an end of sending, a reset, and the
 * repeats of what is lost on the way. What it leaves out stands in docs/simulation.md.
 */
public final class Endpoint {
  /** As a kernel hands it to its network card, which cuts it to packets. */
  private static final int SEGMENT = 16 * 1024;

  /** First wait before something lost is sent again, doubled each time: Linux's least and most. */
  private static final long REPEAT_FIRST = 200 * Agenda.MILLI;

  private static final long REPEAT_MOST = 120 * Agenda.SECOND;

  /** How far ahead of a slow way's capacity segments are handed to it. */
  private static final long AHEAD = 5 * Agenda.MILLI;

  /** Share of segments that are cut short at a random byte. */
  private static final double CUT = 0.05;

  /** Who is told what can be done, on a turn of its program each. */
  public interface Handler {
    /** While reading is on, once a turn for as long as a read would bring bytes, an end or fail. */
    void readable();

    /** While writing is on, once a turn for as long as a write would take a byte or fail. */
    default void writable() {}
  }

  /** Someone who waits until so many bytes have arrived at the peer's machine. */
  private record Awaited(long bytes, Runnable then) {}

  private final Fabric fabric;
  private final Machine machine;
  private final RandomStreams.Stream stream;
  private Endpoint peer;
  private Program program;
  private Handler handler;

  private final ByteQueue unsent = new ByteQueue();
  private int inFlight;
  private long freeAt;
  private long lastArrival;
  private long repeatWait;
  private Agenda.Entry repeat;
  private boolean pumpDue;
  private boolean lost;
  private long arrivedBytes;
  private long writtenBytes;

  /** Its program passes on what it reads, and says itself what of that has arrived. */
  private boolean passesOn;

  private long stalledUntil;

  private final ByteQueue received = new ByteQueue();

  private boolean reading = true;
  private boolean writing;
  private int sendBuffer = Integer.MAX_VALUE;
  private boolean readTurn;
  private boolean writeTurn;

  /** Our sending has ended; its mark goes out after the last byte. */
  private boolean shut;

  private boolean endSent;

  /** The peer's sending has ended, and all its bytes are here. */
  private boolean ended;

  /** A reset has come. */
  private boolean broken;

  /** The program has given it back. */
  private boolean closed;

  /** The kernel knows it no longer: whatever comes for it is answered by a reset. */
  private boolean forgotten;

  /** Our reset met a cut way: the peer takes the connection for a silent one. */
  private boolean resetLost;

  private final Deque<Awaited> awaited = new ArrayDeque<>();
  private Runnable onLocalEnd;
  private long firstWriteAt = -1;

  Endpoint(Fabric fabric, Machine machine, RandomStreams.Stream stream) {
    this.fabric = fabric;
    this.machine = machine;
    this.stream = stream;
    machine.holds(this);
  }

  /** Ties this end, which has opened the connection, to the other. */
  void connect(Endpoint other, long oneWay) {
    peer = other;
    other.peer = this;
    lastArrival = now() + oneWay;
  }

  void ownedBy(Program owner) {
    program = owner;
    passesOn = owner.passesOn();
    wakeReader();
  }

  /** It waits in this program's backlog. */
  void heldFor(Program listener) {
    passesOn = listener.passesOn();
  }

  private long now() {
    return fabric.agenda().now();
  }

  public Machine machine() {
    return machine;
  }

  /** The machine at the other end. */
  public Machine peerMachine() {
    return peer.machine;
  }

  /** Sets who is told; what has come before is told on a later turn. */
  public void handler(Handler told) {
    handler = told;
    wakeReader();
  }

  // ---------------------------------------------------------------- reading

  /**
   * Reads what there is: how many bytes, 0 where none has come, -1 once the peer's sending has
   * ended. Bytes that came before a reset can still be read, as on Linux.
   */
  public int read(byte[] into, int offset, int most) throws ResetException {
    if (closed) {
      throw new ResetException("closed");
    }
    if (received.size() > 0) {
      int count = received.take(into, offset, most);
      if (peer.unsent.size() > 0) {
        // The room is told to the peer's kernel.
        fabric.agenda().after(fabric.latency(machine, peer.machine, stream), peer::pump);
      }
      return count;
    }
    if (broken) {
      throw new ResetException("connection reset by peer");
    }
    return ended ? -1 : 0;
  }

  /**
   * As {@link #read(byte[], int, int)}, into room that is valid until anyone's next such read; see
   * {@link #lastRead}.
   */
  public int read(int most) throws ResetException {
    return read(fabric.scratch(), 0, Math.min(most, fabric.scratch().length));
  }

  /** What the last {@link #read(int)} has brought. */
  public byte[] lastRead() {
    return fabric.scratch();
  }

  /** Whether {@link Handler#readable} is told; it is so from the start. */
  public void reading(boolean on) {
    reading = on;
    wakeReader();
  }

  private boolean readable() {
    return received.size() > 0 || ended || broken;
  }

  private void wakeReader() {
    if (reading && !readTurn && !closed && program != null && handler != null && readable()) {
      readTurn = true;
      program.later(0, this::readTurn);
    }
  }

  private void readTurn() {
    readTurn = false;
    if (reading && !closed) {
      handler.readable();
      wakeReader();
    }
  }

  private int receiveRoom() {
    return fabric.buffers().receive() - received.size();
  }

  // ---------------------------------------------------------------- writing

  /** Writes as much as the send buffer takes; how many bytes that was. */
  public int write(byte[] from, int offset, int count) throws ResetException {
    if (closed || broken || shut) {
      throw new ResetException(closed || shut ? "closed" : "connection reset by peer");
    }
    int taken = Math.min(count, room());
    if (taken > 0) {
      if (firstWriteAt < 0) {
        firstWriteAt = now();
      }
      unsent.add(from, offset, taken);
      writtenBytes += taken;
      pump();
    }
    return taken;
  }

  /** Bounds what this end's kernel keeps for its peer, in bytes; never above its own bound. */
  public void sendBuffer(int bytes) {
    sendBuffer = bytes;
  }

  private int room() {
    return Math.max(0, Math.min(sendBuffer, fabric.buffers().send()) - unsent.size() - inFlight);
  }

  /** Bytes that were written and have not arrived at the peer's machine. */
  public int unarrived() {
    return unsent.size() + inFlight;
  }

  /** Whether {@link Handler#writable} is told; it is not so from the start. */
  public void writing(boolean on) {
    writing = on;
    wakeWriter();
  }

  /** Linux tells of room once a third of the buffer is free. */
  private boolean writable() {
    return broken || room() >= fabric.buffers().send() / 3;
  }

  private void wakeWriter() {
    if (writing && !writeTurn && !closed && program != null && handler != null && writable()) {
      writeTurn = true;
      program.later(0, this::writeTurn);
    }
  }

  private void writeTurn() {
    writeTurn = false;
    if (writing && !closed && writable()) {
      handler.writable();
      wakeWriter();
    }
  }

  /** Ends our sending after all that was written. */
  public void shutdownOutput() throws ResetException {
    if (closed || broken) {
      throw new ResetException("not connected");
    }
    endsHere();
    shut = true;
    pump();
  }

  /**
   * Gives the connection back. What was written is still sent, unless bytes have come that nobody
   * has read: then the peer sees a reset.
   */
  public void close() {
    if (closed) {
      return;
    }
    if (received.size() > 0) {
      reset();
      return;
    }
    closed = true;
    endsHere();
    giveBack();
    if (broken) {
      forget();
    } else {
      shut = true;
      pump();
    }
  }

  /** Gives the connection back at once; the peer sees a reset if the way is free. */
  public void reset() {
    if (closed) {
      return;
    }
    closed = true;
    endsHere();
    giveBack();
    sendReset();
  }

  private void giveBack() {
    if (program != null) {
      program.released(this);
    }
  }

  /** The machine has lost its power: its kernel knows nothing of this connection any longer. */
  void vanish() {
    closed = true;
    endsHere();
    if (program != null) {
      program.released(this);
    }
    forget();
  }

  private void forget() {
    forgotten = true;
    unsent.clear();
    received.clear();
    cancelRepeat();
    machine.forgets(this);
  }

  private void cancelRepeat() {
    if (repeat != null) {
      repeat.cancel();
      repeat = null;
      stalledUntil = Math.max(stalledUntil, now());
    }
  }

  // --------------------------------------------------------------- the way

  /** A reset is sent once and not repeated: on a way that is cut it is lost. */
  private void sendReset() {
    forget();
    if (!fabric.blocked(machine, peer.machine)) {
      long arrival = Math.max(lastArrival, now() + latency());
      fabric.agenda().at(arrival, peer::resetArrives);
    } else {
      resetLost = true;
    }
  }

  private long latency() {
    return fabric.latency(machine, peer.machine, stream);
  }

  private boolean toSend() {
    return lost || unsent.size() > 0 || (shut && !endSent);
  }

  /** Sends what the peer's window and the way's capacity allow. */
  private void pump() {
    while (!forgotten && repeat == null && toSend()) {
      if (fabric.blocked(machine, peer.machine)) {
        stall();
        return;
      }
      if (lost) {
        // What is repeated meets a kernel that knows nothing of the connection.
        lost = false;
        fabric.agenda().after(2 * latency(), this::resetArrives);
        return;
      }
      repeatWait = 0;
      if (unsent.size() == 0) {
        endSent = true;
        long arrival = arrival(0);
        fabric.agenda().at(arrival, peer::endArrives);
        return;
      }
      if (freeAt > now() + AHEAD) {
        pumpAt(freeAt);
        return;
      }
      int window = peer.receiveRoom() - inFlight;
      if (window <= 0) {
        return;
      }
      int most = fabric.segment(machine, peer.machine, SEGMENT);
      send(Math.min(Math.min(window, most), unsent.size()));
    }
  }

  private void send(int most) {
    int size = most > 1 && stream.chance(CUT) ? 1 + stream.below(most) : most;
    byte[] segment = unsent.take(size);
    inFlight += size;
    fabric.agenda().at(arrival(size), () -> peer.arrives(segment));
  }

  private long arrival(int size) {
    freeAt =
        Math.max(freeAt, now())
            + size * Agenda.SECOND / Math.max(1, fabric.bandwidth(machine, peer.machine));
    lastArrival = Math.max(lastArrival, freeAt + latency());
    if (fabric.disturbed(machine, peer.machine)) {
      // What is on its way stays late, even where the cause ends before it arrives.
      stalledUntil = Math.max(stalledUntil, lastArrival);
    }
    return lastArrival;
  }

  private void pumpAt(long time) {
    if (!pumpDue) {
      pumpDue = true;
      fabric
          .agenda()
          .at(
              time,
              () -> {
                pumpDue = false;
                pump();
              });
    }
  }

  private void stall() {
    repeatWait = repeatWait == 0 ? REPEAT_FIRST : Math.min(REPEAT_MOST, 2 * repeatWait);
    repeat =
        fabric
            .agenda()
            .after(
                repeatWait,
                () -> {
                  repeat = null;
                  stalledUntil = Math.max(stalledUntil, now());
                  pump();
                });
  }

  // --------------------------------------------------------------- arrivals

  private void arrives(byte[] segment) {
    peer.inFlight -= segment.length;
    if (forgotten || closed) {
      refuse();
      return;
    }
    if (broken) {
      return;
    }
    mix(segment);
    received.add(segment, 0, segment.length);
    if (!passesOn) {
      peer.arrived(segment.length);
    }
    peer.wakeWriter();
    wakeReader();
  }

  private void mix(byte[] segment) {
    long value = segment.length;
    for (byte b : segment) {
      value = value * 31 + b;
    }
    fabric.agenda().mix(value);
  }

  private void arrived(int bytes) {
    arrivedBytes += bytes;
    while (!awaited.isEmpty() && awaited.peek().bytes() <= arrivedBytes) {
      awaited.poll().then().run();
    }
  }

  /** So many of the bytes that were read here have reached where the program passes them on to. */
  public void passedOn(int bytes) {
    peer.arrived(bytes);
  }

  /** Bytes for a connection that is closed here, or that this kernel does not know. */
  private void refuse() {
    if (machine.dark()) {
      peer.lost = true;
      peer.pump();
    } else if (!peer.forgotten) {
      if (!forgotten) {
        sendReset();
      } else if (!fabric.blocked(machine, peer.machine)) {
        fabric.agenda().after(latency(), peer::resetArrives);
      }
    }
  }

  private void endArrives() {
    if (forgotten) {
      refuse();
      return;
    }
    ended = true;
    if (closed && endSent) {
      forget();
    }
    wakeReader();
  }

  /** A box on the way resets it. */
  void cutOff() {
    stalledUntil = Math.max(stalledUntil, now());
    resetArrives();
  }

  private void resetArrives() {
    if (forgotten || broken) {
      return;
    }
    broken = true;
    unsent.clear();
    cancelRepeat();
    if (closed) {
      forget();
    }
    wakeReader();
    wakeWriter();
  }

  // ------------------------------------------------- what only checks may ask

  private void endsHere() {
    if (onLocalEnd != null) {
      Runnable told = onLocalEnd;
      onLocalEnd = null;
      told.run();
    }
  }

  /** Runs at the very moment when the peer's program ends its sending; for the checks' sake. */
  public void whenPeerEnds(Runnable then) {
    peer.onLocalEnd = then;
  }

  /** Whether the peer's program has ended its sending, told or not. */
  public boolean peerHasEnded() {
    return peer.shut || peer.closed;
  }

  /** When the peer's program wrote its first byte, or -1. */
  public long peerFirstWriteAt() {
    return peer.firstWriteAt;
  }

  /** Runs once all that was written so far has arrived at the peer's machine. */
  public void whenArrived(Runnable then) {
    awaited.add(new Awaited(writtenBytes, then));
  }

  /** Since when nothing has been late on this connection through the network's fault. */
  public long calmSince() {
    if (resetLost || peer.resetLost) {
      return now();
    }
    if (repeat != null || peer.repeat != null || fabric.disturbed(machine, peer.machine)) {
      return now();
    }
    long ways = fabric.calmSince(machine, peer.machine);
    return Math.max(ways, Math.max(stalledUntil, peer.stalledUntil));
  }
}
