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
  private static final int MAX_SEGMENT_BYTES = 16 * 1024;

  /** First wait before something lost is sent again, doubled each time: Linux's least and most. */
  private static final long MIN_RETRANSMIT_MICROS = 200 * Agenda.MILLI;

  private static final long MAX_RETRANSMIT_MICROS = 120 * Agenda.SECOND;

  /** How far ahead of a slow way's capacity segments are handed to it. */
  private static final long MAX_QUEUE_AHEAD_MICROS = 5 * Agenda.MILLI;

  /** Share of segments that are cut short at a random byte. */
  private static final double SHORT_SEGMENT_PROBABILITY = 0.05;

  /** Who is told what can be done, on a turn of its program each. */
  public interface Handler {
    /** While reading is on, once a turn for as long as a read would bring bytes, an end or fail. */
    void readable();

    /** While writing is on, once a turn for as long as a write would take a byte or fail. */
    default void writable() {}
  }

  /** Someone who waits until so many bytes have arrived at the peer's machine. */
  private record ArrivalWaiter(long bytes, Runnable then) {}

  private final Fabric fabric;
  private final Machine machine;
  private final RandomStreams.Stream stream;
  private Endpoint peer;
  private Program program;
  private Handler handler;

  private final ByteQueue unsent = new ByteQueue();
  private int inFlight;
  private long linkFreeAtMicros;
  private long lastArrivalMicros;
  private long retransmitTimeoutMicros;
  private Agenda.Entry retransmitTimer;
  private boolean sendScheduled;
  private boolean lostAtPeer;
  private long arrivedBytes;
  private long writtenBytes;

  /** Its program passes on what it reads, and says itself what of that has arrived. */
  private boolean isRelay;

  private long delayedUntilMicros;

  private final ByteQueue received = new ByteQueue();

  private boolean reading = true;
  private boolean writing;
  private int sendBufferBytes = Integer.MAX_VALUE;
  private boolean readScheduled;
  private boolean writeScheduled;

  /** Our sending has ended; its mark goes out after the last byte. */
  private boolean outputShutDown;

  private boolean finSent;

  /** The peer's sending has ended, and all its bytes are here. */
  private boolean peerFinReceived;

  /** A reset has come. */
  private boolean resetReceived;

  /** The program has given it back. */
  private boolean closed;

  /** The kernel knows it no longer: whatever comes for it is answered by a reset. */
  private boolean removedFromKernel;

  /** Our reset met a cut way: the peer takes the connection for a silent one. */
  private boolean resetLost;

  private final Deque<ArrivalWaiter> arrivalWaiters = new ArrayDeque<>();
  private Runnable onOutputEnd;
  private long firstWriteAtMicros = -1;

  Endpoint(Fabric fabric, Machine machine, RandomStreams.Stream stream) {
    this.fabric = fabric;
    this.machine = machine;
    this.stream = stream;
    machine.addEndpoint(this);
  }

  /** Ties this end, which has opened the connection, to the other. */
  void connect(Endpoint other, long oneWay) {
    peer = other;
    other.peer = this;
    lastArrivalMicros = now() + oneWay;
  }

  void ownedBy(Program owner) {
    program = owner;
    isRelay = owner.isRelay();
    scheduleRead();
  }

  /** It waits in this program's backlog. */
  void queuedFor(Program listener) {
    isRelay = listener.isRelay();
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
    scheduleRead();
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
      int count = received.remove(into, offset, most);
      if (peer.unsent.size() > 0) {
        // The room is told to the peer's kernel.
        fabric.agenda().after(fabric.drawLatency(machine, peer.machine, stream), peer::sendPending);
      }
      return count;
    }
    if (resetReceived) {
      throw new ResetException("connection reset by peer");
    }
    return peerFinReceived ? -1 : 0;
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
    scheduleRead();
  }

  private boolean isReadable() {
    return received.size() > 0 || peerFinReceived || resetReceived;
  }

  private void scheduleRead() {
    if (reading
        && !readScheduled
        && !closed
        && program != null
        && handler != null
        && isReadable()) {
      readScheduled = true;
      program.schedule(0, this::readScheduled);
    }
  }

  private void readScheduled() {
    readScheduled = false;
    if (reading && !closed) {
      handler.readable();
      scheduleRead();
    }
  }

  private int freeReceiveBytes() {
    return fabric.buffers().receiveBytes() - received.size();
  }

  // ---------------------------------------------------------------- writing

  /** Writes as much as the send buffer takes; how many bytes that was. */
  public int write(byte[] from, int offset, int count) throws ResetException {
    if (closed || resetReceived || outputShutDown) {
      throw new ResetException(closed || outputShutDown ? "closed" : "connection reset by peer");
    }
    int taken = Math.min(count, freeSendBytes());
    if (taken > 0) {
      if (firstWriteAtMicros < 0) {
        firstWriteAtMicros = now();
      }
      unsent.add(from, offset, taken);
      writtenBytes += taken;
      sendPending();
    }
    return taken;
  }

  /** Bounds what this end's kernel keeps for its peer, in bytes; never above its own bound. */
  public void sendBufferBytes(int bytes) {
    sendBufferBytes = bytes;
  }

  private int freeSendBytes() {
    return Math.max(
        0, Math.min(sendBufferBytes, fabric.buffers().sendBytes()) - unsent.size() - inFlight);
  }

  /** Bytes that were written and have not arrived at the peer's machine. */
  public int undeliveredBytes() {
    return unsent.size() + inFlight;
  }

  /** Whether {@link Handler#writable} is told; it is not so from the start. */
  public void writing(boolean on) {
    writing = on;
    scheduleWrite();
  }

  /** Linux tells of room once a third of the buffer is free. */
  private boolean isWritable() {
    return resetReceived || freeSendBytes() >= fabric.buffers().sendBytes() / 3;
  }

  private void scheduleWrite() {
    if (writing
        && !writeScheduled
        && !closed
        && program != null
        && handler != null
        && isWritable()) {
      writeScheduled = true;
      program.schedule(0, this::writeScheduled);
    }
  }

  private void writeScheduled() {
    writeScheduled = false;
    if (writing && !closed && isWritable()) {
      handler.writable();
      scheduleWrite();
    }
  }

  /** Ends our sending after all that was written. */
  public void shutdownOutput() throws ResetException {
    if (closed || resetReceived) {
      throw new ResetException("not connected");
    }
    notifyOutputEnd();
    outputShutDown = true;
    sendPending();
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
    notifyOutputEnd();
    releaseDescriptor();
    if (resetReceived) {
      removeFromKernel();
    } else {
      outputShutDown = true;
      sendPending();
    }
  }

  /** Gives the connection back at once; the peer sees a reset if the way is free. */
  public void reset() {
    if (closed) {
      return;
    }
    closed = true;
    notifyOutputEnd();
    releaseDescriptor();
    sendReset();
  }

  private void releaseDescriptor() {
    if (program != null) {
      program.release(this);
    }
  }

  /** The machine has lost its power: its kernel knows nothing of this connection any longer. */
  void dropSilently() {
    closed = true;
    notifyOutputEnd();
    if (program != null) {
      program.release(this);
    }
    removeFromKernel();
  }

  private void removeFromKernel() {
    removedFromKernel = true;
    unsent.clear();
    received.clear();
    cancelRetransmit();
    machine.removeEndpoint(this);
  }

  private void cancelRetransmit() {
    if (retransmitTimer != null) {
      retransmitTimer.cancel();
      retransmitTimer = null;
      delayedUntilMicros = Math.max(delayedUntilMicros, now());
    }
  }

  // --------------------------------------------------------------- the way

  /** A reset is sent once and not repeated: on a way that is cut it is lost. */
  private void sendReset() {
    removeFromKernel();
    if (!fabric.isBlocked(machine, peer.machine)) {
      long arrival = Math.max(lastArrivalMicros, now() + drawLatency());
      fabric.agenda().at(arrival, peer::onReset);
    } else {
      resetLost = true;
    }
  }

  private long drawLatency() {
    return fabric.drawLatency(machine, peer.machine, stream);
  }

  private boolean hasPendingOutput() {
    return lostAtPeer || unsent.size() > 0 || (outputShutDown && !finSent);
  }

  /** Sends what the peer's window and the way's capacity allow. */
  private void sendPending() {
    while (!removedFromKernel && retransmitTimer == null && hasPendingOutput()) {
      if (fabric.isBlocked(machine, peer.machine)) {
        scheduleRetransmit();
        return;
      }
      if (lostAtPeer) {
        // What is repeated meets a kernel that knows nothing of the connection.
        lostAtPeer = false;
        fabric.agenda().after(2 * drawLatency(), this::onReset);
        return;
      }
      retransmitTimeoutMicros = 0;
      if (unsent.size() == 0) {
        finSent = true;
        long arrival = nextArrival(0);
        fabric.agenda().at(arrival, peer::onFin);
        return;
      }
      if (linkFreeAtMicros > now() + MAX_QUEUE_AHEAD_MICROS) {
        sendPendingAt(linkFreeAtMicros);
        return;
      }
      int window = peer.freeReceiveBytes() - inFlight;
      if (window <= 0) {
        return;
      }
      int most = fabric.maxSegmentBytes(machine, peer.machine, MAX_SEGMENT_BYTES);
      send(Math.min(Math.min(window, most), unsent.size()));
    }
  }

  private void send(int most) {
    int size = most > 1 && stream.chance(SHORT_SEGMENT_PROBABILITY) ? 1 + stream.below(most) : most;
    byte[] segment = unsent.remove(size);
    inFlight += size;
    fabric.agenda().at(nextArrival(size), () -> peer.onSegment(segment));
  }

  private long nextArrival(int size) {
    linkFreeAtMicros =
        Math.max(linkFreeAtMicros, now())
            + size * Agenda.SECOND / Math.max(1, fabric.bytesPerSecond(machine, peer.machine));
    lastArrivalMicros = Math.max(lastArrivalMicros, linkFreeAtMicros + drawLatency());
    if (fabric.isDisturbed(machine, peer.machine)) {
      // What is on its way stays late, even where the cause ends before it arrives.
      delayedUntilMicros = Math.max(delayedUntilMicros, lastArrivalMicros);
    }
    return lastArrivalMicros;
  }

  private void sendPendingAt(long time) {
    if (!sendScheduled) {
      sendScheduled = true;
      fabric
          .agenda()
          .at(
              time,
              () -> {
                sendScheduled = false;
                sendPending();
              });
    }
  }

  private void scheduleRetransmit() {
    retransmitTimeoutMicros =
        retransmitTimeoutMicros == 0
            ? MIN_RETRANSMIT_MICROS
            : Math.min(MAX_RETRANSMIT_MICROS, 2 * retransmitTimeoutMicros);
    retransmitTimer =
        fabric
            .agenda()
            .after(
                retransmitTimeoutMicros,
                () -> {
                  retransmitTimer = null;
                  delayedUntilMicros = Math.max(delayedUntilMicros, now());
                  sendPending();
                });
  }

  // --------------------------------------------------------------- arrivals

  private void onSegment(byte[] segment) {
    peer.inFlight -= segment.length;
    if (removedFromKernel || closed) {
      answerWithReset();
      return;
    }
    if (resetReceived) {
      return;
    }
    mixIntoFingerprint(segment);
    received.add(segment, 0, segment.length);
    if (!isRelay) {
      peer.countArrived(segment.length);
    }
    peer.scheduleWrite();
    scheduleRead();
  }

  private void mixIntoFingerprint(byte[] segment) {
    long value = segment.length;
    for (byte b : segment) {
      value = value * 31 + b;
    }
    fabric.agenda().mix(value);
  }

  private void countArrived(int bytes) {
    arrivedBytes += bytes;
    while (!arrivalWaiters.isEmpty() && arrivalWaiters.peek().bytes() <= arrivedBytes) {
      arrivalWaiters.poll().then().run();
    }
  }

  /** So many of the bytes that were read here have reached where the program passes them on to. */
  public void confirmRelayed(int bytes) {
    peer.countArrived(bytes);
  }

  /** Bytes for a connection that is closed here, or that this kernel does not know. */
  private void answerWithReset() {
    if (machine.hasNoPower()) {
      peer.lostAtPeer = true;
      peer.sendPending();
    } else if (!peer.removedFromKernel) {
      if (!removedFromKernel) {
        sendReset();
      } else if (!fabric.isBlocked(machine, peer.machine)) {
        fabric.agenda().after(drawLatency(), peer::onReset);
      }
    }
  }

  private void onFin() {
    if (removedFromKernel) {
      answerWithReset();
      return;
    }
    peerFinReceived = true;
    if (closed && finSent) {
      removeFromKernel();
    }
    scheduleRead();
  }

  /** A box on the way resets it. */
  void resetByMiddlebox() {
    delayedUntilMicros = Math.max(delayedUntilMicros, now());
    onReset();
  }

  private void onReset() {
    if (removedFromKernel || resetReceived) {
      return;
    }
    resetReceived = true;
    unsent.clear();
    cancelRetransmit();
    if (closed) {
      removeFromKernel();
    }
    scheduleRead();
    scheduleWrite();
  }

  // ------------------------------------------------- what only checks may ask

  private void notifyOutputEnd() {
    if (onOutputEnd != null) {
      Runnable told = onOutputEnd;
      onOutputEnd = null;
      told.run();
    }
  }

  /** Runs at the very moment when the peer's program ends its sending; for the checks' sake. */
  public void onPeerOutputEnd(Runnable then) {
    peer.onOutputEnd = then;
  }

  /** Whether the peer's program has ended its sending, told or not. */
  public boolean hasPeerEndedOutput() {
    return peer.outputShutDown || peer.closed;
  }

  /** When the peer's program wrote its first byte, or -1. */
  public long peerFirstWriteAt() {
    return peer.firstWriteAtMicros;
  }

  /** Runs once all that was written so far has arrived at the peer's machine. */
  public void onDelivered(Runnable then) {
    arrivalWaiters.add(new ArrivalWaiter(writtenBytes, then));
  }

  /** Since when nothing has been late on this connection through the network's fault. */
  public long undisturbedSince() {
    if (resetLost || peer.resetLost) {
      return now();
    }
    if (retransmitTimer != null
        || peer.retransmitTimer != null
        || fabric.isDisturbed(machine, peer.machine)) {
      return now();
    }
    long ways = fabric.undisturbedSince(machine, peer.machine);
    return Math.max(ways, Math.max(delayedUntilMicros, peer.delayedUntilMicros));
  }
}
