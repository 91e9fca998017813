package brassbank.sim.net;

import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One end of a TCP connection as the kernel sees it: bounded send and receive buffers, segments
 * that arrive in order and may be split at any byte, half-close, reset, and retransmission with
 * exponential backoff. docs/simulation.md lists what the model omits.
 */
public final class Endpoint {
  /** Size in which a kernel passes data to a network card with segmentation offload. */
  private static final int MAX_SEGMENT_BYTES = 16 * 1024;

  /** Linux's minimum and maximum retransmission timeouts; the timeout doubles for each retry. */
  private static final long MIN_RETRANSMIT_MICROS = 200 * Agenda.MILLI;

  private static final long MAX_RETRANSMIT_MICROS = 120 * Agenda.SECOND;

  /** How far ahead of its transmission time a segment may be passed to a slow path. */
  private static final long MAX_QUEUE_AHEAD_MICROS = 5 * Agenda.MILLI;

  /** Probability that a segment is split at a random byte. */
  private static final double SHORT_SEGMENT_PROBABILITY = 0.05;

  /** Receives readiness events, each in a task of its own of the program. */
  public interface Handler {
    /** Called repeatedly while reading is enabled and a read would return bytes or end, or fail. */
    void readable();

    /** Called repeatedly while writing is enabled and a write would accept a byte or fail. */
    default void writable() {}
  }

  /** An action to run once {@code bytes} bytes in total have arrived at the peer's machine. */
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

  /** The program is a relay that confirms delivery of the bytes that it has read. */
  private boolean isRelay;

  private long delayedUntilMicros;

  private final ByteQueue received = new ByteQueue();

  private boolean reading = true;
  private boolean writing;
  private int sendBufferBytes = Integer.MAX_VALUE;
  private boolean readScheduled;
  private boolean writeScheduled;

  /** The output has been shut down; the FIN follows the last byte. */
  private boolean outputShutDown;

  private boolean finSent;

  /** The peer's FIN has arrived, after all of its bytes. */
  private boolean peerFinReceived;

  /** A reset has arrived. */
  private boolean resetReceived;

  /** The program has closed this end. */
  private boolean closed;

  /** The kernel has no state for this end; arriving segments are answered by a reset. */
  private boolean removedFromKernel;

  /** The reset was lost on a blocked path, so the peer considers the connection open. */
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

  /** Connects this end, which has opened the connection, with the other. */
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

  /** Records that the connection waits in the backlog of this program. */
  void queuedFor(Program listener) {
    isRelay = listener.isRelay();
  }

  private long now() {
    return fabric.agenda().now();
  }

  public Machine machine() {
    return machine;
  }

  /** Returns the machine at the other end. */
  public Machine peerMachine() {
    return peer.machine;
  }

  /** Sets the handler; data that has already arrived is reported by a later task. */
  public void handler(Handler newHandler) {
    handler = newHandler;
    scheduleRead();
  }

  // Reading.

  /**
   * Reads available bytes. Bytes that arrived before a reset can still be read, as on Linux.
   *
   * @return the number of bytes, 0 if none is available, or -1 at the end of the stream
   * @throws ResetException if the connection was reset and no bytes are left, or this end is closed
   */
  public int read(byte[] into, int offset, int maxCount) throws ResetException {
    if (closed) {
      throw new ResetException("closed");
    }
    if (received.size() > 0) {
      int count = received.remove(into, offset, maxCount);
      if (peer.unsent.size() > 0) {
        // A window update reaches the peer's kernel.
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
   * Reads like {@link #read(byte[], int, int)} into a buffer that all endpoints share; {@link
   * #lastRead} returns it until the next such read.
   */
  public int read(int maxCount) throws ResetException {
    return read(fabric.scratch(), 0, Math.min(maxCount, fabric.scratch().length));
  }

  /** Returns the buffer that the last {@link #read(int)} has filled. */
  public byte[] lastRead() {
    return fabric.scratch();
  }

  /** Enables or disables {@link Handler#readable}; it is enabled initially. */
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

  // Writing.

  /**
   * Writes as many bytes as fit into the send buffer and returns their number.
   *
   * @throws ResetException if the connection was reset or this end no longer sends
   */
  public int write(byte[] from, int offset, int count) throws ResetException {
    if (closed || resetReceived || outputShutDown) {
      throw new ResetException(closed || outputShutDown ? "closed" : "connection reset by peer");
    }
    int accepted = Math.min(count, freeSendBytes());
    if (accepted > 0) {
      if (firstWriteAtMicros < 0) {
        firstWriteAtMicros = now();
      }
      unsent.add(from, offset, accepted);
      writtenBytes += accepted;
      sendPending();
    }
    return accepted;
  }

  /** Limits the send buffer to {@code bytes}; the limit of the fabric still applies. */
  public void sendBufferBytes(int bytes) {
    sendBufferBytes = bytes;
  }

  private int freeSendBytes() {
    return Math.max(
        0, Math.min(sendBufferBytes, fabric.buffers().sendBytes()) - unsent.size() - inFlight);
  }

  /** Returns the number of written bytes that have not arrived at the peer's machine. */
  public int undeliveredBytes() {
    return unsent.size() + inFlight;
  }

  /** Enables or disables {@link Handler#writable}; it is disabled initially. */
  public void writing(boolean on) {
    writing = on;
    scheduleWrite();
  }

  /** Linux reports a socket as writable once a third of the send buffer is free. */
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

  /** Shuts down the output after all written bytes have been sent. */
  public void shutdownOutput() throws ResetException {
    if (closed || resetReceived) {
      throw new ResetException("not connected");
    }
    notifyOutputEnd();
    outputShutDown = true;
    sendPending();
  }

  /**
   * Closes this end. Written bytes are still sent, unless received bytes were not read: then the
   * connection is reset.
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

  /** Closes this end at once; the peer sees a reset unless the path is blocked. */
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

  /** Drops the connection without notice to the peer because the machine has lost its power. */
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

  // Transmission.

  /** Sends a reset, which is not retransmitted and is therefore lost on a blocked path. */
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

  /** Sends as much as the peer's window and the capacity of the path allow. */
  private void sendPending() {
    while (!removedFromKernel && retransmitTimer == null && hasPendingOutput()) {
      if (fabric.isBlocked(machine, peer.machine)) {
        scheduleRetransmit();
        return;
      }
      if (lostAtPeer) {
        // The retransmission reaches a kernel without state for this connection, which answers with
        // a reset.
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
      int maxSegment = fabric.maxSegmentBytes(machine, peer.machine, MAX_SEGMENT_BYTES);
      send(Math.min(Math.min(window, maxSegment), unsent.size()));
    }
  }

  private void send(int maxBytes) {
    int size =
        maxBytes > 1 && stream.chance(SHORT_SEGMENT_PROBABILITY)
            ? 1 + stream.below(maxBytes)
            : maxBytes;
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
      // Segments in flight stay delayed even if the disturbance ends before they arrive.
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

  // Arrivals.

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

  /** Confirms that the relay has delivered {@code bytes} of the bytes that it read here. */
  public void confirmRelayed(int bytes) {
    peer.countArrived(bytes);
  }

  /** Handles bytes for a connection that is closed here or unknown to this kernel. */
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

  /** Handles a reset sent by a middlebox. */
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

  // For checks only.

  private void notifyOutputEnd() {
    if (onOutputEnd != null) {
      Runnable action = onOutputEnd;
      onOutputEnd = null;
      action.run();
    }
  }

  /** Sets an action that runs at the moment when the peer's program ends its output. */
  public void onPeerOutputEnd(Runnable then) {
    peer.onOutputEnd = then;
  }

  /** Returns whether the peer's program has ended its output, even if the FIN has not arrived. */
  public boolean hasPeerEndedOutput() {
    return peer.outputShutDown || peer.closed;
  }

  /** Returns when the peer's program wrote its first byte, in microseconds, or -1. */
  public long peerFirstWriteAt() {
    return peer.firstWriteAtMicros;
  }

  /** Runs an action once all bytes written so far have arrived at the peer's machine. */
  public void onDelivered(Runnable then) {
    arrivalWaiters.add(new ArrivalWaiter(writtenBytes, then));
  }

  /** Returns since when no disturbance has delayed data on this connection, in microseconds. */
  public long undisturbedSince() {
    if (resetLost || peer.resetLost) {
      return now();
    }
    if (retransmitTimer != null
        || peer.retransmitTimer != null
        || fabric.isDisturbed(machine, peer.machine)) {
      return now();
    }
    long pathsUndisturbedSince = fabric.undisturbedSince(machine, peer.machine);
    return Math.max(pathsUndisturbedSince, Math.max(delayedUntilMicros, peer.delayedUntilMicros));
  }
}
