package brassbank.load;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** The measurements; a round of one measures all its routes one after the other. */
enum Measurement {
  BULK_UP("bulk data from the client to its host") {
    @Override
    void runRound(TestBed testBed, Report report, double seconds) {
      for (Route route : testBed.routes()) {
        List<Connection> connections =
            new SessionOpener(testBed.clients, route, testBed.options, 0)
                .open(testBed.options.bulkConnections, "sink", () -> new BulkSender(testBed));
        TestBed.sleep(seconds * SETTLE_MILLIS_PER_SECOND);
        MeasuredInterval interval = new MeasuredInterval(route, testBed.bulkBytesReceived());
        TestBed.sleep(seconds * 1000);
        interval.reportBulk(report, title(), testBed.bulkBytesReceived());
        closeSessions(testBed, connections);
      }
    }
  },

  BULK_DOWN("bulk data from the host to its client") {
    @Override
    void runRound(TestBed testBed, Report report, double seconds) {
      for (Route route : testBed.routes()) {
        BulkReceiver receiver = new BulkReceiver();
        List<Connection> connections =
            new SessionOpener(testBed.clients, route, testBed.options, 0)
                .open(
                    testBed.options.bulkConnections,
                    "source",
                    () -> receiver.newHandler(testBed.pattern));
        TestBed.sleep(seconds * SETTLE_MILLIS_PER_SECOND);
        MeasuredInterval interval =
            new MeasuredInterval(route, testBed.clients.call(() -> receiver.bytes));
        TestBed.sleep(seconds * 1000);
        interval.reportBulk(report, title(), testBed.clients.call(() -> receiver.bytes));
        closeSessions(testBed, connections);
        if (receiver.fault != null) {
          throw new LoadException(receiver.fault);
        }
      }
    }
  },

  LINES("lines returned by the host, closed loop") {
    @Override
    void runRound(TestBed testBed, Report report, double seconds) {
      for (Route route : testBed.routes()) {
        measureLines(testBed, report, route, seconds, testBed.options.connections, 0);
      }
    }
  },

  OPEN("lines returned by the host, open loop: send times do not depend on answers") {
    @Override
    void runRound(TestBed testBed, Report report, double seconds) {
      for (Route route : testBed.routes()) {
        measureLines(
            testBed,
            report,
            route,
            seconds,
            testBed.options.connections,
            testBed.options.linesPerSecond);
      }
    }
  },

  RTT("lines returned by the host on one session") {
    @Override
    void runRound(TestBed testBed, Report report, double seconds) {
      for (Route route : testBed.routes()) {
        measureLines(testBed, report, route, seconds, 1, 0);
      }
    }
  },

  SETUP("sessions opened and closed at once, a fixed number of set-ups in parallel") {
    @Override
    void runRound(TestBed testBed, Report report, double seconds) {
      for (Route route : testBed.routes()) {
        SetupLoad load =
            new SetupLoad(
                testBed.clients, new SessionOpener(testBed.clients, route, testBed.options, 0));
        long startNanos = Reactor.nanoTime();
        testBed.clients.run(() -> load.start(testBed.options.connections));
        TestBed.sleep(seconds * 1000);
        testBed.clients.run(load::stop);
        double elapsedSeconds = (Reactor.nanoTime() - startNanos) / 1e9;
        report.add(
            title(), "set-ups", "/s", route.name(), load.delays.getTotalCount() / elapsedSeconds);
        report.add(title(), "refused", "", route.name(), load.refusedSetups);
        reportDelays(report, title(), route.name(), load.delays, 1e6, "ms");
        testBed.failOnFault();
      }
    }
  },

  IDLE("memory of the proxy per idle session, after one line each way") {
    @Override
    void runRound(TestBed testBed, Report report, double seconds) {
      if (testBed.proxyProcess == null) {
        throw new LoadException("idle needs the proxy's process: --start, or --pid with --proxy");
      }
      int count = testBed.options.sessions;
      LineLoad load = new LineLoad(testBed.clients, IDLE_LINE_BYTES);
      SessionOpener opener = new SessionOpener(testBed.clients, testBed.proxy, testBed.options, 0);
      // Excludes one-time allocations of the runtime and the first growth of the heap.
      LineLoad warmUp = new LineLoad(testBed.clients, IDLE_LINE_BYTES);
      closeSessions(testBed, opener.open(Math.min(count, 100), "echo", warmUp::newSessionHandler));
      TestBed.sleep(SETTLE_MILLIS_PER_SECOND);
      double initialHeapKib = testBed.proxyProcess.liveHeapKib();
      double initialResidentKib = testBed.proxyProcess.residentKib();
      List<Connection> connections = opener.open(count, "echo", load::newSessionHandler);
      testBed.clients.run(() -> load.startClosedLoop(1));
      testBed.clients.run(load::stop);
      awaitAllReturned(testBed, load);
      TestBed.sleep(1000);
      double finalResidentKib = testBed.proxyProcess.residentKib();
      double finalHeapKib = testBed.proxyProcess.liveHeapKib();
      report.add(
          title(),
          "resident per session",
          "KiB",
          "proxy",
          (finalResidentKib - initialResidentKib) / count);
      report.add(
          title(),
          "live heap per session",
          "KiB",
          "proxy",
          (finalHeapKib - initialHeapKib) / count);
      report.add(title(), "resident", "KiB", "proxy", finalResidentKib);
      closeSessions(testBed, connections);
    }
  },

  SLOW("regular sessions, open loop, without and with slow sessions that reconnect") {
    @Override
    void runRound(TestBed testBed, Report report, double seconds) {
      LineLoad load = new LineLoad(testBed.clients, testBed.options.lineBytes);
      List<Connection> regularSessions =
          new SessionOpener(testBed.clients, testBed.proxy, testBed.options, 0)
              .open(testBed.options.sessions, "echo", load::newSessionHandler);
      measureOpenLoop(testBed, report, load, seconds, "without");
      SlowSessions slowSessions = new SlowSessions(testBed);
      slowSessions.open();
      TestBed.sleep(seconds * SETTLE_MILLIS_PER_SECOND);
      measureOpenLoop(testBed, report, load, seconds, "with");
      Map<SlowPeer.SessionOutcome, Integer> counts = slowSessions.closeAll();
      for (SlowPeer.SessionOutcome outcome : SlowPeer.SessionOutcome.values()) {
        report.add(
            title(),
            "slow ones " + outcome.name().toLowerCase(),
            "",
            "with",
            counts.getOrDefault(outcome, 0));
      }
      closeSessions(testBed, regularSessions);
    }

    private void measureOpenLoop(
        TestBed testBed, Report report, LineLoad load, double seconds, String column) {
      MeasuredInterval interval = new MeasuredInterval(testBed.proxy, 0);
      long[] times =
          Arrivals.poisson(
              testBed.options.linesPerSecond, (long) (seconds * 1e9), testBed.options.seed);
      testBed.clients.run(() -> load.startOpenLoop(times));
      long deadlineNanos = Reactor.nanoTime() + (long) (seconds * 1e9);
      double firstResidentKib = Double.NaN;
      double maxResidentKib = 0;
      while (Reactor.nanoTime() < deadlineNanos) {
        TestBed.sleep(Math.min(1000, (deadlineNanos - Reactor.nanoTime()) / 1e6 + 1));
        if (testBed.proxyProcess != null) {
          maxResidentKib = Math.max(maxResidentKib, testBed.proxyProcess.residentKib());
          firstResidentKib = Double.isNaN(firstResidentKib) ? maxResidentKib : firstResidentKib;
        }
      }
      awaitAllReturned(testBed, load);
      interval.reportLines(report, title(), column, testBed.clients.call(load::takeResult));
      if (testBed.proxyProcess != null) {
        report.add(title(), "resident at first", "KiB", column, firstResidentKib);
        report.add(title(), "resident at most", "KiB", column, maxResidentKib);
        report.add(title(), "descriptors", "", column, testBed.proxyProcess.openDescriptors());
      }
    }
  };

  /** Milliseconds to wait before a measurement, for each second that it lasts. */
  private static final double SETTLE_MILLIS_PER_SECOND = 300;

  private static final int IDLE_LINE_BYTES = 2048;
  private static final long RETURN_TIMEOUT_NANOS = 10_000_000_000L;

  private final String description;

  Measurement(String description) {
    this.description = description;
  }

  /** Returns the name on the command line and in the report. */
  String title() {
    return name().toLowerCase().replace('_', '-');
  }

  String description() {
    return description;
  }

  /** Measures one round and adds its figures to the report. */
  abstract void runRound(TestBed testBed, Report report, double seconds);

  /** Measures returned lines in a closed loop if {@code perSecond} is 0, else in an open loop. */
  void measureLines(
      TestBed testBed,
      Report report,
      Route route,
      double seconds,
      int sessionCount,
      double perSecond) {
    LineLoad load = new LineLoad(testBed.clients, testBed.options.lineBytes);
    List<Connection> connections =
        new SessionOpener(testBed.clients, route, testBed.options, 0)
            .open(sessionCount, "echo", load::newSessionHandler);
    TestBed.sleep(100);
    MeasuredInterval interval = new MeasuredInterval(route, 0);
    if (perSecond > 0) {
      long[] times = Arrivals.poisson(perSecond, (long) (seconds * 1e9), testBed.options.seed);
      testBed.clients.run(() -> load.startOpenLoop(times));
      TestBed.sleep(seconds * 1000);
      awaitAllReturned(testBed, load);
    } else {
      testBed.clients.run(() -> load.startClosedLoop(testBed.options.window));
      TestBed.sleep(seconds * 1000);
    }
    interval.reportLines(report, title(), route.name(), testBed.clients.call(load::takeResult));
    closeSessions(testBed, connections);
  }

  /**
   * Waits for the lines that are pending when sending stops: these include the slowest ones, which
   * must be recorded too.
   *
   * @throws LoadException if lines are still pending after 10 s
   */
  static void awaitAllReturned(TestBed testBed, LineLoad load) {
    long deadlineNanos = Reactor.nanoTime() + RETURN_TIMEOUT_NANOS;
    while (testBed.clients.call(load::pendingLines) > 0 && Reactor.nanoTime() < deadlineNanos) {
      TestBed.sleep(10);
    }
    long pending = testBed.clients.call(load::pendingLines);
    if (pending > 0) {
      throw new LoadException(pending + " lines did not come back within 10 s");
    }
  }

  private static void closeSessions(TestBed testBed, List<Connection> connections) {
    testBed.clients.run(() -> connections.forEach(Connection::close));
    testBed.failOnFault();
    TestBed.sleep(200);
  }

  private static void reportDelays(
      Report report, String title, String column, Histogram delays, double unit, String name) {
    report.add(title, "mean", name, column, delays.getMean() / unit);
    report.add(title, "50th percentile", name, column, delays.getValueAtPercentile(50) / unit);
    report.add(title, "99th percentile", name, column, delays.getValueAtPercentile(99) / unit);
    report.add(title, "99.9th percentile", name, column, delays.getValueAtPercentile(99.9) / unit);
    report.add(title, "longest", name, column, delays.getMaxValue() / unit);
  }

  /** An interval of a measurement, with the processor time that the route's process used in it. */
  private static final class MeasuredInterval {
    private static final ProcessStats TOOL = new ProcessStats(ProcessHandle.current().pid());

    private final Route route;
    private final long startBytes;
    private final Duration cpuTime;
    private final Duration runQueueTime;
    private final Duration toolRunQueueTime = TOOL.runQueueTime();
    private final long startNanos = Reactor.nanoTime();

    MeasuredInterval(Route route, long bytes) {
      this.route = route;
      this.startBytes = bytes;
      this.cpuTime = cpuTime();
      this.runQueueTime = runQueueTime();
    }

    private Duration cpuTime() {
      return route.process() == null ? Duration.ZERO : route.process().cpuTime();
    }

    private Duration runQueueTime() {
      return route.process() == null ? Duration.ZERO : route.process().runQueueTime();
    }

    void reportBulk(Report report, String title, long currentBytes) {
      double seconds = (Reactor.nanoTime() - startNanos) / 1e9;
      double megabytes = (currentBytes - startBytes) / 1e6;
      report.add(title, "throughput", "MB/s", route.name(), megabytes / seconds);
      if (route.process() != null) {
        report.add(
            title,
            "processor time",
            "ms/MB",
            route.name(),
            cpuTime().minus(cpuTime).toMillis() / Math.max(megabytes, 1e-6));
      }
    }

    void reportLines(Report report, String title, String column, LineLoad.Result result) {
      double seconds = (Reactor.nanoTime() - startNanos) / 1e9;
      if (result.fault() != null) {
        throw new LoadException(result.fault());
      }
      report.add(title, "lines", "/s", column, result.returnedLines() / seconds);
      reportDelays(report, title, column, result.delays(), 1e3, "us");
      if (result.sendDelays().getTotalCount() > 0) {
        report.add(
            title,
            "sent late, 99th",
            "us",
            column,
            result.sendDelays().getValueAtPercentile(99) / 1e3);
      }
      double toolWaitMillis = TOOL.runQueueTime().minus(toolRunQueueTime).toNanos() / 1e6;
      report.add(title, "tool waited for a core", "ms/s", column, toolWaitMillis / seconds);
      if (route.process() != null) {
        double waitMillis = runQueueTime().minus(runQueueTime).toNanos() / 1e6;
        report.add(title, "it waited for a core", "ms/s", column, waitMillis / seconds);
        report.add(
            title,
            "processor time",
            "us/line",
            column,
            cpuTime().minus(cpuTime).toNanos() / 1e3 / Math.max(1, result.returnedLines()));
      }
      if (result.endedSessions() + result.unsentLines() > 0) {
        report.add(title, "sessions ended", "", column, result.endedSessions());
        report.add(title, "lines left out", "", column, result.unsentLines());
      }
    }
  }

  /** Sends bulk data as fast as the socket accepts it. */
  private static final class BulkSender implements Connection.Handler {
    private final BulkPattern sent;
    private final int chunk;

    BulkSender(TestBed testBed) {
      sent = new BulkPattern(testBed.pattern);
      chunk = testBed.options.chunkBytes;
    }

    @Override
    public void connected(Connection connection) {
      connection.requestWritable();
    }

    @Override
    public void writable(Connection connection) {
      ByteBuffer next = sent.nextSlice(chunk);
      sent.advance(connection.tryWrite(next));
      if (connection.isOpen()) {
        connection.requestWritable();
      }
    }

    @Override
    public void received(Connection connection, ByteBuffer bytes) {
      // The host's acknowledgements need no action.
    }

    @Override
    public void disconnected(Connection connection, IOException cause) {}
  }

  /** Counts and verifies the bulk data that several sessions receive. */
  private static final class BulkReceiver {
    private long bytes;
    private String fault;

    Connection.Handler newHandler(BulkPattern pattern) {
      BulkPattern expected = new BulkPattern(pattern);
      return new Connection.Handler() {
        @Override
        public void received(Connection connection, ByteBuffer received) {
          bytes += received.remaining();
          if (!expected.matches(received)) {
            fault = "bulk data differs after byte " + expected.position();
            connection.reset();
          }
        }

        @Override
        public void disconnected(Connection connection, IOException cause) {
          fault = "a bulk session has ended after " + expected.position() + " bytes";
        }
      };
    }
  }
}
