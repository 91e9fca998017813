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
 * A stream host: takes attempts with every row of the protocol's outcome table, holds connections,
 * answers probes, warms up, drains, and falls over if it is pushed while cold.
 */
public final class StreamHost {
  /** Where it listens on its machine. */
  public static final int PORT = 7070;

  private static final int BACKLOG = 128;
  private static final long MILLI = Agenda.MILLI;
  private static final long SECOND = Agenda.SECOND;

  /** Work of taking one connection, on a core of speed 1. */
  private static final long MIN_HANDSHAKE_WORK = 740;

  private static final long MAX_HANDSHAKE_WORK = 1_500;
  private static final long MIN_SETUP_WORK = 2_000;
  private static final long MAX_SETUP_WORK = 17_000;

  private static final long MIN_PROBE_WORK = 110;
  private static final long MAX_PROBE_WORK = 230;

  /** A line is returned after this on a host that is not busy. */
  private static final long ECHO_DELAY = 1 * MILLI;

  /** Connections a host holds at most, for each that it can serve well. */
  private static final double MAX_CONNECTIONS_FACTOR = 2.5;

  private static final long OVERLOAD_CHECK_INTERVAL = 100 * MILLI;

  /** Between two bytes of an answer that drips. */
  private static final long DRIP_INTERVAL = 30 * MILLI;

  /** An idle connection of a probe is closed after this. */
  private static final long IDLE_TIMEOUT = 5 * SECOND;

  /** A push that a few heavy connections could make by chance. */
  private static final double OVERLOAD_SLACK = 3;

  /**
   * What an attempt costs a cold host, turned away or not, against a connection that it holds: what
   * a warm one has at hand, as the project's model, it must load first.
   */
  private static final double ATTEMPT_WEIGHT = 2;

  /** Share of connections on which much comes at once, and how many lines that is. */
  private static final double PUSH_SHARE = 0.06;

  private static final int MIN_PUSH_LINES = 20;
  private static final int MAX_PUSH_LINES = 150;
  private static final int MAX_PUSH_LENGTH = 3_900;

  /** What the host does with an attempt, apart from serving it. */
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

    /** What it does, for those who write scripts. */
    public String about() {
      return about;
    }
  }

  /** What its load reports say. */
  public enum LoadReports {
    TRUE("with what there is"),
    LOW("with far less load than there is"),
    GARBAGE("with no figure at all"),
    ERRORS("with ERR");

    private final String about;

    LoadReports(String about) {
      this.about = about;
    }

    /** What it does, for those who write scripts. */
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

  /** What it was asked for at a moment, and how much of that by proxies that knew of its start. */
  private record LoadSample(long at, double demand, double informedDemand, double capacity) {}

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

  /** As the proxy of this name is told it. */
  String address(String proxy) {
    return world.addresses().addressOf(proxy, machine, PORT);
  }

  /** Connections of mean load that it serves well once it is warm. */
  public double capacity() {
    return capacity;
  }

  /** The same, as far as it is warm now. */
  public double currentCapacity() {
    return capacity * warmth();
  }

  public boolean isServing() {
    return state == State.SERVING;
  }

  /** Its state, in discovery's words. */
  String status() {
    return switch (state) {
      case DOWN -> "DELETED";
      case SERVING -> "SERVING";
      case DRAINING -> "DRAINING";
    };
  }

  /** Whether it was pushed over and so stays down. */
  public boolean hasFallen() {
    return fallen;
  }

  /** When it began to serve, in microseconds of the run; 0 where it stood at the beginning. */
  public long since() {
    return since;
  }

  // ------------------------------------------------------------------- life

  /** Starts its process; {@code warm}: it has run for long. */
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

  /** Drains: all clients are sent away at once, nothing new is taken. */
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

  /** Its process dies: connections are reset, new ones refused. */
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

  /** Its machine loses its power: nothing is told to anybody. */
  public void losePower() {
    machine.losePower();
    kill();
  }

  /** Nothing of it runs for a while; its kernel goes on. */
  public void pause(long micros) {
    if (state != State.DOWN) {
      pausedUntil = Math.max(pausedUntil, world.now() + micros);
      program.pause(pausedUntil);
    }
  }

  /** Until when nothing of it runs, or did not run. */
  long pausedUntil() {
    return pausedUntil;
  }

  public void setBehavior(Behavior next, double share) {
    behavior = next;
    behaviorShare = share;
  }

  public void setLoadReports(LoadReports next) {
    loadReports = next;
  }

  /** How many times slower than usual it is. */
  public void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Load reports show up so much later than usual. */
  public void setReportDelay(long micros) {
    reportDelay = micros;
  }

  /** Resets all connections that stand, as a middle box that forgets them does. */
  public void resetConnections(double share) {
    for (Connection connection : List.copyOf(connections)) {
      if (stream.chance(share)) {
        connection.reset();
      }
    }
  }

  // ------------------------------------------------------------------- load

  private double warmth() {
    if (since == 0) {
      return 1;
    }
    double age = (world.now() - startedAt) / (double) warmUp;
    return coldFrom + (1 - coldFrom) * Math.min(1, age);
  }

  /** Load asked over what it can do now. */
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

  /** Work on a queue that all cores share; when it is done. */
  private long enqueueWork(long micros) {
    double cost = micros * slowdown / (speed * warmth() * kind.cores());
    idleAt = Math.max(idleAt, world.now()) + (long) cost;
    return idleAt - world.now();
  }

  // ------------------------------------------------------------- falling over

  /** Looks whether it is being pushed over, which only a cold host can be. */
  private void checkOverload() {
    if (state != State.SERVING || warmth() >= 1) {
      return;
    }
    long now = world.now();
    long from = now - world.site().fallWindow();
    while (!arrivals.isEmpty() && arrivals.peek().at() < from) {
      arrivals.removeFirst();
    }
    double asked = 0;
    double told = 0;
    for (Connection connection : connections) {
      if (connection.established) {
        asked += connection.load;
        told += connection.informed ? connection.load : 0;
      }
    }
    for (Arrival arrival : arrivals) {
      asked += ATTEMPT_WEIGHT * arrival.load();
      told += arrival.informed() ? ATTEMPT_WEIGHT * arrival.load() : 0;
    }
    loadSamples.add(new LoadSample(now, asked, told, currentCapacity()));
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

  /** What it is asked for over what it can bear, in the time that counts for its fall. */
  private double overload() {
    double asked = 0;
    double could = 0;
    for (LoadSample pressure : loadSamples) {
      asked += pressure.demand();
      could += pressure.capacity();
    }
    return asked / (world.site().fallMultiple() * could + OVERLOAD_SLACK * loadSamples.size());
  }

  private double informedShare() {
    double asked = 0;
    double told = 0;
    for (LoadSample pressure : loadSamples) {
      asked += pressure.demand();
      told += pressure.informedDemand();
    }
    return asked == 0 ? 0 : told / asked;
  }

  // ------------------------------------------------------------ a connection

  private final class Connection implements LineConnection.Listener {
    private final LineConnection lines;
    private final String proxy;
    private String flow;
    private String group = "";
    private double load = 1;

    /** The proxy knew of the host's start when it sent this. */
    private boolean informed;

    private boolean established;
    private boolean closed;

    /** The proxy has ended its side, though nothing may tell the host of that. */
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

    /** What becomes of a connection that the proxy has left is of no interest to any rule. */
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

    /** The line's parts as the protocol page has them. */
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
          // Lost: nothing is ever said.
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

    /** The answer comes slowly, and nothing else before it is whole. */
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

    /** A picture of the walkthrough: more than all buffers on the way hold. */
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

    /** The host ends it, after what it has said. */
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
