package brassbank.load;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Sends numbered lines on sessions whose hosts return each line, and measures the delays. In a
 * closed loop, a fixed number of lines is pending on each session, and a returned line triggers the
 * next one. In an open loop, lines are sent at times drawn in advance, independent of the returned
 * lines, and each delay counts from the intended send time. Confined to the thread of one reactor.
 */
final class LineLoad implements Reactor.PreciseTask {
  /** Upper bound of the histograms, which have three significant digits. */
  private static final long MAX_RECORDED_NANOS = 60_000_000_000L;

  /** Length of the shortest line: the marker "m ", 16 hexadecimal digits, a filler and CR LF. */
  static final int MIN_LINE_BYTES = 21;

  private static final int MAX_PENDING_LINES = 1 << 16;

  private final Reactor reactor;
  private final ByteBuffer line;
  private final List<Session> sessions = new ArrayList<>();
  private Histogram delays = new Histogram(MAX_RECORDED_NANOS, 3);
  private Histogram sendDelays = new Histogram(MAX_RECORDED_NANOS, 3);
  private int window;
  private long[] sendTimesNanos = {};
  private long startNanos;
  private int nextArrival;
  private int lastSession;
  private long returnedLines;
  private long unsentLines;
  private long endedSessions;
  private String fault;

  LineLoad(Reactor reactor, int lineBytes) {
    this.reactor = reactor;
    line = ByteBuffer.allocateDirect(lineBytes);
    line.put((byte) 'm').put((byte) ' ');
    while (line.remaining() > 2) {
      line.put((byte) 'x');
    }
    line.put((byte) '\r').put((byte) '\n');
  }

  /** Returns a handler that adds its session to this load once it is connected. */
  Connection.Handler newSessionHandler() {
    return new Session();
  }

  /** Starts a closed loop with the given number of pending lines on each session. */
  void startClosedLoop(int lines) {
    window = lines;
    for (Session session : List.copyOf(sessions)) {
      for (int i = 0; i < lines; i++) {
        session.send(Reactor.nanoTime());
      }
    }
  }

  /**
   * Starts an open loop that sends at the given nanoseconds from now, on the sessions in rotation.
   */
  void startOpenLoop(long[] times) {
    sendTimesNanos = times;
    nextArrival = 0;
    startNanos = Reactor.nanoTime();
    reactor.setPreciseTask(this);
  }

  @Override
  public long runDue(long now) {
    while (nextArrival < sendTimesNanos.length
        && startNanos + sendTimesNanos[nextArrival] - now <= 0) {
      long intendedNanos = startNanos + sendTimesNanos[nextArrival++];
      sendDelays.recordValue(Math.min(MAX_RECORDED_NANOS, now - intendedNanos));
      if (sessions.isEmpty()) {
        unsentLines++;
      } else {
        lastSession = (lastSession + 1) % sessions.size();
        sessions.get(lastSession).send(intendedNanos);
      }
    }
    if (nextArrival < sendTimesNanos.length) {
      return startNanos + sendTimesNanos[nextArrival] - now;
    }
    reactor.setPreciseTask(null);
    return Long.MAX_VALUE;
  }

  /** Stops sending; lines that are pending are still recorded when they return. */
  void stop() {
    window = 0;
    reactor.setPreciseTask(null);
    nextArrival = sendTimesNanos.length;
  }

  /** Returns the number of lines that were sent and have not returned. */
  long pendingLines() {
    return sessions.stream().mapToLong(session -> session.sentLines - session.receivedLines).sum();
  }

  /** Returns the figures since the last call and resets them. */
  Result takeResult() {
    Result result =
        new Result(delays, sendDelays, returnedLines, unsentLines, endedSessions, fault);
    delays = new Histogram(MAX_RECORDED_NANOS, 3);
    sendDelays = new Histogram(MAX_RECORDED_NANOS, 3);
    returnedLines = 0;
    unsentLines = 0;
    endedSessions = 0;
    return result;
  }

  /**
   * The figures of a line load over an interval.
   *
   * @param delays nanoseconds from the intended send time of a line until it returned
   * @param sendDelays nanoseconds from the intended until the actual send time, a delay that the
   *     tool itself causes
   * @param returnedLines lines that returned unchanged and in order
   * @param unsentLines lines not sent because no session was open or too many lines were pending
   * @param endedSessions sessions that ended during the interval
   * @param fault a description of a line that returned out of order or changed, or null
   */
  record Result(
      Histogram delays,
      Histogram sendDelays,
      long returnedLines,
      long unsentLines,
      long endedSessions,
      String fault) {}

  private final class Session implements Connection.Handler {
    private Connection connection;
    private final byte[] input = new byte[line.capacity()];
    private int inputLength;
    private long[] intendedTimes = new long[16];
    private long sentLines;
    private long receivedLines;

    @Override
    public void connected(Connection newConnection) {
      connection = newConnection;
      sessions.add(this);
    }

    void send(long intendedNanos) {
      if (sentLines - receivedLines == intendedTimes.length) {
        if (intendedTimes.length == MAX_PENDING_LINES) {
          unsentLines++;
          return;
        }
        grow();
      }
      intendedTimes[(int) (sentLines & (intendedTimes.length - 1))] = intendedNanos;
      for (int i = 0; i < 16; i++) {
        int digit = (int) (sentLines >>> (60 - 4 * i)) & 15;
        line.put(2 + i, (byte) (digit < 10 ? '0' + digit : 'a' + digit - 10));
      }
      sentLines++;
      connection.write(line.clear());
    }

    private void grow() {
      long[] larger = new long[2 * intendedTimes.length];
      for (long i = receivedLines; i < sentLines; i++) {
        larger[(int) (i & (larger.length - 1))] =
            intendedTimes[(int) (i & (intendedTimes.length - 1))];
      }
      intendedTimes = larger;
    }

    @Override
    public void received(Connection from, ByteBuffer bytes) {
      while (bytes.hasRemaining() && connection.isOpen()) {
        byte b = bytes.get();
        input[inputLength++] = b;
        if (b == '\n' || inputLength == input.length) {
          handleReturnedLine();
        }
      }
    }

    private void handleReturnedLine() {
      boolean isWellFormed =
          inputLength == input.length && input[inputLength - 1] == '\n' && input[0] == 'm';
      long number = 0;
      for (int i = 0; isWellFormed && i < 16; i++) {
        number = number << 4 | Character.digit(input[2 + i], 16);
      }
      if (!isWellFormed || number != receivedLines || receivedLines == sentLines) {
        String text =
            new String(input, 0, inputLength, java.nio.charset.StandardCharsets.ISO_8859_1);
        if (!text.equals("MOVE\r\n")) {
          fault = "line " + receivedLines + " came back as: " + text.strip();
        }
        endSession();
        return;
      }
      inputLength = 0;
      long now = Reactor.nanoTime();
      delays.recordValue(
          Math.min(
              MAX_RECORDED_NANOS,
              now - intendedTimes[(int) (receivedLines & (intendedTimes.length - 1))]));
      receivedLines++;
      returnedLines++;
      if (sentLines - receivedLines < window) {
        send(now);
      }
    }

    private void endSession() {
      connection.close();
      endedSessions++;
      sessions.remove(this);
    }

    @Override
    public void disconnected(Connection from, IOException cause) {
      endSession();
    }
  }
}
