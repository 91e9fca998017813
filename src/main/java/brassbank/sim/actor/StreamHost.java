package brassbank.sim.actor;

import brassbank.sim.event.Event;
import brassbank.sim.net.Endpoint;
import brassbank.sim.net.ListeningSocket;
import brassbank.sim.net.Machine;
import brassbank.sim.net.Program;
import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A simulated stream host: answers attempts with every outcome that the protocol allows, holds
 * sessions, answers probes, warms up, drains, and fails if it is overloaded while cold.
 */
public final class StreamHost {
  /** The port on which stream hosts listen. */
  public static final int PORT = 7070;

  private static final int BACKLOG = 128;
  private static final long MILLI = Agenda.MILLI;
  private static final long SECOND = Agenda.SECOND;

  /** Work of accepting one connection, in microseconds on a core of speed 1. */
  private static final long MIN_HANDSHAKE_WORK = 740;

  private static final long MAX_HANDSHAKE_WORK = 1_500;
  private static final long MIN_SETUP_WORK = 2_000;
  private static final long MAX_SETUP_WORK = 17_000;

  private static final long MIN_PROBE_WORK = 110;
  private static final long MAX_PROBE_WORK = 230;

  /** A host that is not busy echoes a line after this time. */
  private static final long ECHO_DELAY = 1 * MILLI;

  /** Maximum number of connections, as a multiple of the number that the host can serve well. */
  private static final double MAX_CONNECTIONS_FACTOR = 2.5;

  private static final long OVERLOAD_CHECK_INTERVAL = 100 * MILLI;

  /** Interval between the bytes of an answer that is sent one byte at a time. */
  private static final long DRIP_INTERVAL = 30 * MILLI;

  /** An idle probe connection is closed after this time. */
  private static final long IDLE_TIMEOUT = 5 * SECOND;

  /**
   * Additional load, in connections of mean load, that a few heavy connections may cause by chance.
   */
  private static final double OVERLOAD_SLACK = 3;

  /**
   * Load of an attempt at a cold host, rejected or not, relative to an established connection: a
   * cold host must first load what a warm one has in memory, such as the project's model.
   */
  private static final double ATTEMPT_WEIGHT = 2;

  /** Share of connections on which the host sends many lines at once, and how many lines. */
  private static final double PUSH_SHARE = 0.06;

  private static final int MIN_PUSH_LINES = 20;
  private static final int MAX_PUSH_LINES = 150;
  private static final int MAX_PUSH_LENGTH = 3_900;

  /** How the host responds to an attempt. */
  public enum Behavior {
    SERVES("serves it"),
    LOSES("loses it, while probes are answered"),
    ERRS("answers ERR"),
    TURNS_AWAY("answers BUSY"),
    RESETS("resets the connection once the line has come"),
    RESETS_ON_UP("answers UP and resets"),
    ENDS("ends its sending without a word"),
    BABBLES("answers what the protocol does not know"),
    MOVES("answers MOVE, as a host that has just begun to drain"),
    SERVES_BRIEFLY("serves, says more, and ends, all in one go"),
    DRIPS("serves, with each byte of its answer by itself and late");

    private final String about;

    Behavior(String about) {
      this.about = about;
    }

    /** Returns a description for authors of scripts. */
    public String about() {
      return about;
    }
  }

  /** How the host's load reports differ from its load. */
  public enum LoadReports {
    TRUE("with what there is"),
    LOW("with far less load than there is"),
    GARBAGE("with no figure at all"),
    ERRORS("with ERR");

    private final String about;

    LoadReports(String about) {
      this.about = about;
    }

    /** Returns a description for authors of scripts. */
    public String about() {
      return about;
    }
  }

  private enum State {
    DOWN,
    SERVING,
    DRAINING
  }

  private record Report(long visibleAt, double load, double backlog, double rate, double errors) {}

  /**
   * The load on a cold host at a moment, and the part of it from proxies to which discovery had
   * reported the host's start.
   */
  private record LoadSample(long at, double demand, double informedDemand, double capacity) {}

  /** An attempt that has arrived; {@code informed}: its proxy knew of the host's start. */
  private record Arrival(long at, boolean informed, double load) {}

  private final World world;
  private final String name;
  private final Machine machine;
  private final Site.HostKind kind;
  private final double speed;
  private final double coldFrom;
  private final long warmUp;
  private final double capacity;
  private final RandomStreams.Stream stream;
  private final long reportPeriod;
  private final Set<Connection> connections = new LinkedHashSet<>();
  private final Deque<Report> recentReports = new ArrayDeque<>();
  private final Deque<LoadSample> loadSamples = new ArrayDeque<>();
  private final Deque<Arrival> arrivals = new ArrayDeque<>();

  private State state = State.DOWN;
  private Program program;
  private long startedAt;
  private long since;
  private long idleAt;
  private int receiptCount;
  private int served;
  private int errors;

  private Behavior behavior = Behavior.SERVES;
  private double behaviorShare = 1;
  private LoadReports loadReports = LoadReports.TRUE;
  private double slowdown = 1;
  private long reportDelay;
  private boolean fallen;
  private long pausedUntil;

  public StreamHost(World world, String name, Machine machine, Site.HostKind kind) {
    this.world = world;
    this.name = name;
    this.machine = machine;
    this.kind = kind;
    RandomStreams.Stream model = world.draws().of("model of " + name);
    speed = model.between(kind.speedLeast(), kind.speedMost());
    coldFrom = Math.max(world.site().coldShare(), model.between(kind.coldLeast(), kind.coldMost()));
    warmUp =
        Math.min(
            world.site().warmUp(),
            (long) (model.between(kind.warmSecondsLeast(), kind.warmSecondsMost()) * SECOND));
    capacity = world.site().perCore() * kind.cores() * speed;
    reportPeriod = model.micros(380 * MILLI, 1_400 * MILLI);
    stream = world.draws().of("host " + name);
  }

  public String name() {
    return name;
  }

  public Machine machine() {
    return machine;
  }

  public Site.HostKind kind() {
    return kind;
  }

  /** Returns the address under which this proxy reaches the host. */
  String address(String proxy) {
    return world.addresses().addressOf(proxy, machine, PORT);
  }

  /** Returns the number of connections of mean load that the host serves well once it is warm. */
  public double capacity() {
    return capacity;
  }

  /** Returns the host's capacity at its present warmth. */
  public double currentCapacity() {
    return capacity * warmth();
  }

  public boolean isServing() {
    return state == State.SERVING;
  }

  /** Returns the host's state, as discovery names it. */
  String status() {
    return switch (state) {
      case DOWN -> "DELETED";
      case SERVING -> "SERVING";
      case DRAINING -> "DRAINING";
    };
  }

  /** Returns whether the host failed under overload, after which it stays down. */
  public boolean hasFallen() {
    return fallen;
  }

  /**
   * Returns when the host began to serve, in microseconds of the run; 0 where it already ran at the
   * beginning.
   */
  public long since() {
    return since;
  }

  // Process

  /** Starts the host's process; {@code warm}: it counts as having run for a long time. */
  public void start(boolean warm) {
    if (state != State.DOWN || fallen) {
      return;
    }
    program = new Program(machine, name, 0, Integer.MAX_VALUE);
    startedAt = world.now();
    since = warm ? 0 : Math.max(1, startedAt);
    idleAt = 0;
    state = State.SERVING;
    recentReports.clear();
    loadSamples.clear();
    arrivals.clear();
    Acceptor acceptor = new Acceptor();
    try {
      acceptor.port = program.listen(PORT, BACKLOG, acceptor);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    sampleLoad();
    checkOverload();
    world.publish(new Event.HostStarted(name, !warm));
  }

  private final class Acceptor implements Runnable {
    private ListeningSocket port;

    @Override
    public void run() {
      for (Endpoint endpoint = port.accept(); endpoint != null; endpoint = port.accept()) {
        connections.add(new Connection(endpoint));
        world.publish(new Event.HostConnected(name, endpoint.peerMachine().name()));
      }
    }
  }

  /** Drains the host: sends all clients away at once and takes no new sessions. */
  public void drain() {
    if (state != State.SERVING) {
      return;
    }
    state = State.DRAINING;
    world.publish(new Event.HostDrains(name));
    for (Connection connection : List.copyOf(connections)) {
      if (connection.established) {
        connection.lines.send("MOVE");
        connection.end(false);
      }
    }
  }

  /** Kills the host's process: its connections are reset and new ones refused. */
  public void kill() {
    if (state == State.DOWN) {
      return;
    }
    state = State.DOWN;
    for (Connection connection : List.copyOf(connections)) {
      if (connection.flow != null && !connection.closed) {
        connection.publish(
            new Event.HostEnded(
                connection.flow, name, connection.established, true, machine.hasNoPower()));
      }
      connection.closed = true;
    }
    connections.clear();
    program.kill();
    world.publish(new Event.HostGone(name));
  }

  /** Cuts the power of the host's machine: its peers receive no sign of that. */
  public void losePower() {
    machine.losePower();
    kill();
  }

  /** Pauses the host's process, while the machine's kernel continues. */
  public void pause(long micros) {
    if (state != State.DOWN) {
      pausedUntil = Math.max(pausedUntil, world.now() + micros);
      program.pause(pausedUntil);
    }
  }

  /** Returns until when the process is paused, or when its last pause ended. */
  long pausedUntil() {
    return pausedUntil;
  }

  /** Sets how the host responds to attempts, and to which share of them. */
  public void setBehavior(Behavior next, double share) {
    behavior = next;
    behaviorShare = share;
  }

  /** Sets how the host's load reports differ from its load. */
  public void setLoadReports(LoadReports next) {
    loadReports = next;
  }

  /** Sets by which factor the host is slower than usual. */
  public void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Delays load reports by {@code micros} in addition to their usual delay. */
  public void setReportDelay(long micros) {
    reportDelay = micros;
  }

  /**
   * Resets this share of the connections, as a middlebox does that has lost its connection table.
   */
  public void resetConnections(double share) {
    for (Connection connection : List.copyOf(connections)) {
      if (stream.chance(share)) {
        connection.reset();
      }
    }
  }

  // Load

  private double warmth() {
    if (since == 0) {
      return 1;
    }
    double age = (world.now() - startedAt) / (double) warmUp;
    return coldFrom + (1 - coldFrom) * Math.min(1, age);
  }

  /** Returns the load of the established connections, relative to the host's current capacity. */
  public double utilization() {
    double load = 0;
    Set<String> groups = new LinkedHashSet<>();
    for (Connection connection : connections) {
      if (connection.established) {
        load += connection.load;
        groups.add(connection.group);
      }
    }
    return (load + world.site().groupCost() * groups.size()) * slowdown / currentCapacity();
  }

  private void sampleLoad() {
    double backlog = Math.max(0, idleAt - world.now()) / (double) SECOND;
    double seconds = reportPeriod / (double) SECOND;
    long visible = world.now() + stream.micros(72 * MILLI, 410 * MILLI) + reportDelay;
    double noise = 1 + stream.between(-0.05, 0.05);
    recentReports.add(
        new Report(visible, utilization() * noise, backlog, served / seconds, errors / seconds));
    served = 0;
    errors = 0;
    program.schedule(reportPeriod, this::sampleLoad);
  }

  private String stats() {
    while (recentReports.size() > 1 && secondReport().visibleAt() <= world.now()) {
      recentReports.removeFirst();
    }
    Report report = recentReports.peek();
    double load = loadReports == LoadReports.LOW ? 0.02 : report.load();
    return loadReports == LoadReports.GARBAGE
        ? "PONG x0=many,x1="
        : "PONG x0="
            + rounded(load)
            + ",x1="
            + rounded(report.backlog())
            + ",throughput="
            + rounded(report.rate())
            + ",errors_per_s="
            + rounded(report.errors());
  }

  private Report secondReport() {
    var each = recentReports.iterator();
    each.next();
    return each.next();
  }

  private static String rounded(double value) {
    return String.valueOf(Math.round(value * 1000) / 1000.0);
  }

  /**
   * Adds work to the queue that all cores share.
   *
   * @return the time until this work is done, in microseconds
   */
  private long enqueueWork(long micros) {
    double cost = micros * slowdown / (speed * warmth() * kind.cores());
    idleAt = Math.max(idleAt, world.now()) + (long) cost;
    return idleAt - world.now();
  }

  // Overload of a cold host

  /** Checks whether the host is overloaded, which makes it fail only while it is cold. */
  private void checkOverload() {
    if (state != State.SERVING || warmth() >= 1) {
      return;
    }
    long now = world.now();
    long from = now - world.site().fallWindow();
    while (!arrivals.isEmpty() && arrivals.peek().at() < from) {
      arrivals.removeFirst();
    }
    double demand = 0;
    double informedDemand = 0;
    for (Connection connection : connections) {
      if (connection.established) {
        demand += connection.load;
        informedDemand += connection.informed ? connection.load : 0;
      }
    }
    for (Arrival arrival : arrivals) {
      demand += ATTEMPT_WEIGHT * arrival.load();
      informedDemand += arrival.informed() ? ATTEMPT_WEIGHT * arrival.load() : 0;
    }
    loadSamples.add(new LoadSample(now, demand, informedDemand, currentCapacity()));
    while (loadSamples.peek().at() < from) {
      loadSamples.removeFirst();
    }
    int placed = (int) arrivals.stream().filter(Arrival::informed).count();
    Site site = world.site();
    double turnover = currentCapacity() / Client.meanLoadSeconds(site);
    double bears = site.fallMultiple() * turnover * site.fallWindow() / SECOND;
    world.publish(new Event.ColdHostAsked(name, informedShare() * overload(), placed, bears));
    if (now - startedAt >= world.site().fallWindow() && overload() > 1) {
      fallen = true;
      world.publish(new Event.HostFellOver(name, informedShare()));
      kill();
      return;
    }
    program.schedule(OVERLOAD_CHECK_INTERVAL, this::checkOverload);
  }

  /**
   * Returns the load relative to what the host withstands, over the window that decides on its
   * failure.
   */
  private double overload() {
    double demand = 0;
    double capacity = 0;
    for (LoadSample sample : loadSamples) {
      demand += sample.demand();
      capacity += sample.capacity();
    }
    return demand / (world.site().fallMultiple() * capacity + OVERLOAD_SLACK * loadSamples.size());
  }

  private double informedShare() {
    double demand = 0;
    double informedDemand = 0;
    for (LoadSample sample : loadSamples) {
      demand += sample.demand();
      informedDemand += sample.informedDemand();
    }
    return demand == 0 ? 0 : informedDemand / demand;
  }

  // Connections

  private final class Connection implements LineConnection.Listener {
    private final LineConnection lines;
    private final String proxy;
    private String flow;
    private String group = "";
    private double load = 1;

    /** The proxy knew of the host's start when it sent the attempt. */
    private boolean informed;

    private boolean established;
    private boolean closed;

    /** The proxy has closed its side, although the host may receive no sign of that. */
    private boolean leftByProxy;

    private long echoFreeAt;
    private Agenda.Entry idle;

    Connection(Endpoint endpoint) {
      proxy = endpoint.peerMachine().name();
      lines = new LineConnection(endpoint, this);
      endpoint.onPeerOutputEnd(this::proxyEnded);
      waitForProbe();
    }

    private void waitForProbe() {
      idle = program.schedule(IDLE_TIMEOUT, () -> end(false));
    }

    private void proxyEnded() {
      if (flow != null && !leftByProxy) {
        world.flows().closed(flow);
        publish(new Event.ProxyEnded(flow, name, established));
      }
      leftByProxy = true;
    }

    /**
     * Publishes an event, unless the proxy has closed the connection: what happens to it afterwards
     * concerns no rule.
     */
    private void publish(Event event) {
      if (!leftByProxy) {
        world.publish(event);
      }
    }

    @Override
    public void onLine(String line) {
      if (established) {
        echo(line);
      } else if (flow != null) {
        rejectUnreadable(line);
      } else if (line.equals("PING") || line.equals("STATS")) {
        idle.cancel();
        waitForProbe();
        probe(line);
      } else if (line.startsWith("OPEN ")) {
        idle.cancel();
        open(line);
      } else {
        rejectUnreadable(line);
      }
    }

    private void rejectUnreadable(String line) {
      world.publish(new Event.HostCannotRead(name, proxy, line));
      lines.send("SYNTAX");
      end(false);
    }

    private void probe(String line) {
      long calm = Math.max(pausedUntil, lines.endpoint().undisturbedSince());
      world.publish(new Event.ProbeArrived(name, proxy, line, calm));
      program.schedule(
          enqueueWork(stream.micros(MIN_PROBE_WORK, MAX_PROBE_WORK)),
          () -> {
            if (!closed) {
              boolean errs = state == State.DRAINING || loadReports == LoadReports.ERRORS;
              lines.send(errs ? "ERR" : line.equals("PING") ? "PONG" : stats());
            }
          });
    }

    /**
     * Handles an {@code OPEN} line: the flow's id, a key, and options of the form {@code
     * name=value} joined by commas, among them the class {@code c}, the deadline {@code d} and the
     * lifetime {@code life}, both in milliseconds.
     */
    private void open(String line) {
      String[] parts = line.split(" ", -1);
      Map<String, String> values = new LinkedHashMap<>();
      if (parts.length == 4) {
        for (String pair : parts[3].split(",")) {
          int equals = pair.indexOf('=');
          values.put(equals < 0 ? pair : pair.substring(0, equals), pair.substring(equals + 1));
        }
      }
      String wait = values.getOrDefault("d", "");
      if (!wait.matches("\\d{1,9}") || !values.containsKey("life") || !values.containsKey("c")) {
        rejectUnreadable(line);
        return;
      }
      flow = parts[1];
      group = values.getOrDefault("g", "");
      load = Double.parseDouble(values.getOrDefault("load", "1"));
      world.publish(
          new Event.AttemptArrived(
              flow,
              name,
              proxy,
              lines.endpoint().peerFirstWriteAt(),
              lines.endpoint().hasPeerEndedOutput()));
      leftByProxy = lines.endpoint().hasPeerEndedOutput();
      if (!leftByProxy) {
        world.flows().setHost(flow, lines.endpoint(), StreamHost.this);
      }
      informed = world.discovery().hasReportedStart(proxy, StreamHost.this);
      arrivals.add(new Arrival(world.now(), informed, load));
      long life = Long.parseLong(values.get("life")) * MILLI;
      if (state == State.DRAINING || connections.size() > MAX_CONNECTIONS_FACTOR * capacity) {
        answer("BUSY");
        end(false);
      } else if (behavior != Behavior.SERVES && stream.chance(behaviorShare)) {
        misbehave(life);
      } else {
        long deadline = world.now() + Long.parseLong(wait) * MILLI;
        long micros =
            stream.micros(MIN_HANDSHAKE_WORK, MAX_HANDSHAKE_WORK)
                + stream.micros(MIN_SETUP_WORK, MAX_SETUP_WORK);
        program.schedule(enqueueWork(micros), () -> serve(deadline, life));
      }
    }

    private void misbehave(long life) {
      errors++;
      switch (behavior) {
        case ERRS -> {
          answer("ERR");
          end(false);
        }
        case TURNS_AWAY -> {
          answer("BUSY");
          end(false);
        }
        case RESETS -> reset();
        case RESETS_ON_UP -> {
          established = true;
          answer("UP r" + ++receiptCount);
          reset();
        }
        case ENDS -> end(false);
        case BABBLES -> {
          answer("HELLO \u0001 there");
          end(false);
        }
        case MOVES -> {
          answer("MOVE");
          end(false);
        }
        case SERVES_BRIEFLY -> {
          established = true;
          String answer = "UP r" + ++receiptCount;
          publish(new Event.AttemptAnswered(flow, name, answer, false));
          publish(new Event.LineSent(flow, false, "LOAD 0.5"));
          lines.send(answer + "\r\nLOAD 0.5\r\nBYE");
          end(false);
        }
        case DRIPS -> drip(life);
        default -> {
          // LOSES: the host never answers.
        }
      }
    }

    private void answer(String line) {
      publish(new Event.AttemptAnswered(flow, name, line, !line.startsWith("UP")));
      lines.send(line);
    }

    private void serve(long deadline, long life) {
      if (closed) {
        return;
      }
      if (state == State.DRAINING || world.now() > deadline) {
        answer("BUSY");
        end(false);
        return;
      }
      established = true;
      served++;
      answer("UP r" + ++receiptCount);
      scheduleSession(life);
    }

    /** Sends the answer one byte at a time, and nothing else before it is complete. */
    private void drip(long life) {
      String answer = "UP r" + ++receiptCount + "\r\n";
      publish(new Event.AttemptAnswered(flow, name, answer.trim(), false));
      for (int i = 0; i < answer.length(); i++) {
        byte[] one = {(byte) answer.charAt(i)};
        boolean last = i == answer.length() - 1;
        program.schedule(
            (i + 1) * DRIP_INTERVAL,
            () -> {
              if (!closed) {
                lines.sendBytes(one);
                established = last;
                if (last) {
                  scheduleSession(life);
                }
              }
            });
      }
    }

    private void scheduleSession(long life) {
      program.schedule(life, this::bye);
      program.schedule(stream.micros(5 * SECOND, 16 * SECOND), this::changeLoad);
      if (stream.chance(PUSH_SHARE)) {
        program.schedule(stream.micros(SECOND, 20 * SECOND), this::push);
      }
    }

    /**
     * Sends lines that together exceed all buffers on the path, as an image of a walkthrough does.
     */
    private void push() {
      int count = stream.between(MIN_PUSH_LINES, MAX_PUSH_LINES);
      for (int i = 0; i < count && !closed; i++) {
        sendLine("p " + i + " " + "#".repeat(stream.between(0, MAX_PUSH_LENGTH)));
      }
    }

    private void bye() {
      if (!closed) {
        lines.send("BYE");
        end(false);
      }
    }

    private void changeLoad() {
      if (!closed) {
        load = Math.round(load * stream.logNormal(0.4) * 1000) / 1000.0;
        sendLine("LOAD " + load);
        program.schedule(stream.micros(5 * SECOND, 16 * SECOND), this::changeLoad);
      }
    }

    private void echo(String line) {
      publish(new Event.LineArrived(flow, true, line));
      double asked = utilization();
      long delay = (long) (ECHO_DELAY * slowdown * Math.max(1, asked > 1 ? 20 * asked : 1));
      echoFreeAt = Math.max(echoFreeAt, world.now() + delay);
      program.schedule(
          echoFreeAt - world.now(),
          () -> {
            if (!closed) {
              sendLine("r" + line.substring(1));
            }
          });
    }

    private void sendLine(String line) {
      publish(new Event.LineSent(flow, false, line));
      lines.send(line);
    }

    @Override
    public void onEnd(boolean reset) {
      if (closed) {
        return;
      }
      closed = true;
      connections.remove(this);
      idle.cancel();
      if (reset) {
        lines.reset();
      } else {
        lines.close();
      }
    }

    /** Closes the connection after all pending lines, or resets it. */
    private void end(boolean reset) {
      if (closed) {
        return;
      }
      closed = true;
      connections.remove(this);
      idle.cancel();
      if (flow != null) {
        world.flows().closed(flow);
        publish(new Event.HostEnded(flow, name, established, reset, false));
      }
      if (reset) {
        lines.reset();
      } else {
        lines.close();
      }
    }

    private void reset() {
      end(true);
    }
  }
}
