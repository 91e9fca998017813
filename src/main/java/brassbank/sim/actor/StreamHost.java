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
  private static final long HANDSHAKE_LEAST = 740;

  private static final long HANDSHAKE_MOST = 1_500;
  private static final long SETUP_LEAST = 2_000;
  private static final long SETUP_MOST = 17_000;

  private static final long PROBE_LEAST = 110;
  private static final long PROBE_MOST = 230;

  /** A line is returned after this on a host that is not busy. */
  private static final long ECHO = 1 * MILLI;

  /** Connections a host holds at most, for each that it can serve well. */
  private static final double CAP = 2.5;

  private static final long LOOK = 100 * MILLI;

  /** Between two bytes of an answer that drips. */
  private static final long DRIP = 30 * MILLI;

  /** An idle connection of a probe is closed after this. */
  private static final long IDLE = 5 * SECOND;

  /** A push that a few heavy connections could make by chance. */
  private static final double FALL_SLACK = 3;

  /**
   * What an attempt costs a cold host, turned away or not, against a connection that it holds: what
   * a warm one has at hand, as the project's model, it must load first.
   */
  private static final double ATTEMPT_WEIGHT = 2;

  /** Share of connections on which much comes at once, and how many lines that is. */
  private static final double PUSHES = 0.06;

  private static final int PUSH_LEAST = 20;
  private static final int PUSH_MOST = 150;
  private static final int LONGEST_PUSH = 3_900;

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
  private record Pressure(long at, double asked, double told, double capacity) {}

  private record Arrival(long at, boolean told, double load) {}

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
  private final Deque<Report> loadReports = new ArrayDeque<>();
  private final Deque<Pressure> pressures = new ArrayDeque<>();
  private final Deque<Arrival> arrivals = new ArrayDeque<>();

  private State state = State.DOWN;
  private Program program;
  private long startedAt;
  private long since;
  private long freeAt;
  private int receipts;
  private int served;
  private int errors;

  private Behavior behavior = Behavior.SERVES;
  private double mannerShare = 1;
  private LoadReports truth = LoadReports.TRUE;
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
    freeAt = 0;
    state = State.SERVING;
    loadReports.clear();
    pressures.clear();
    arrivals.clear();
    Acceptor acceptor = new Acceptor();
    try {
      acceptor.port = program.listen(PORT, BACKLOG, acceptor);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    sample();
    look();
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
      if (connection.up) {
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
      if (connection.flow != null && !connection.over) {
        connection.tell(
            new Event.HostEnded(connection.flow, name, connection.up, true, machine.hasNoPower()));
      }
      connection.over = true;
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
    mannerShare = share;
  }

  public void setLoadReports(LoadReports next) {
    truth = next;
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
      if (connection.up) {
        load += connection.load;
        groups.add(connection.group);
      }
    }
    return (load + world.site().groupCost() * groups.size()) * slowdown / currentCapacity();
  }

  private void sample() {
    double backlog = Math.max(0, freeAt - world.now()) / (double) SECOND;
    double seconds = reportPeriod / (double) SECOND;
    long visible = world.now() + stream.micros(72 * MILLI, 410 * MILLI) + reportDelay;
    double noise = 1 + stream.between(-0.05, 0.05);
    loadReports.add(
        new Report(visible, utilization() * noise, backlog, served / seconds, errors / seconds));
    served = 0;
    errors = 0;
    program.schedule(reportPeriod, this::sample);
  }

  private String stats() {
    while (loadReports.size() > 1 && second().visibleAt() <= world.now()) {
      loadReports.removeFirst();
    }
    Report report = loadReports.peek();
    double load = truth == LoadReports.LOW ? 0.02 : report.load();
    return truth == LoadReports.GARBAGE
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

  private Report second() {
    var each = loadReports.iterator();
    each.next();
    return each.next();
  }

  private static String rounded(double value) {
    return String.valueOf(Math.round(value * 1000) / 1000.0);
  }

  /** Work on a queue that all cores share; when it is done. */
  private long work(long micros) {
    double cost = micros * slowdown / (speed * warmth() * kind.cores());
    freeAt = Math.max(freeAt, world.now()) + (long) cost;
    return freeAt - world.now();
  }

  // ------------------------------------------------------------- falling over

  /** Looks whether it is being pushed over, which only a cold host can be. */
  private void look() {
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
      if (connection.up) {
        asked += connection.load;
        told += connection.told ? connection.load : 0;
      }
    }
    for (Arrival arrival : arrivals) {
      asked += ATTEMPT_WEIGHT * arrival.load();
      told += arrival.told() ? ATTEMPT_WEIGHT * arrival.load() : 0;
    }
    pressures.add(new Pressure(now, asked, told, currentCapacity()));
    while (pressures.peek().at() < from) {
      pressures.removeFirst();
    }
    int placed = (int) arrivals.stream().filter(Arrival::told).count();
    Site site = world.site();
    double turnover = currentCapacity() / Client.meanLoadSeconds(site);
    double bears = site.fallMultiple() * turnover * site.fallWindow() / SECOND;
    world.publish(new Event.ColdHostAsked(name, toldShare() * pushedBy(), placed, bears));
    if (now - startedAt >= world.site().fallWindow() && pushedBy() > 1) {
      fallen = true;
      world.publish(new Event.HostFellOver(name, toldShare()));
      kill();
      return;
    }
    program.schedule(LOOK, this::look);
  }

  /** What it is asked for over what it can bear, in the time that counts for its fall. */
  private double pushedBy() {
    double asked = 0;
    double could = 0;
    for (Pressure pressure : pressures) {
      asked += pressure.asked();
      could += pressure.capacity();
    }
    return asked / (world.site().fallMultiple() * could + FALL_SLACK * pressures.size());
  }

  private double toldShare() {
    double asked = 0;
    double told = 0;
    for (Pressure pressure : pressures) {
      asked += pressure.asked();
      told += pressure.told();
    }
    return asked == 0 ? 0 : told / asked;
  }

  // ------------------------------------------------------------ a connection

  private final class Connection implements Lines.Taker {
    private final Lines lines;
    private final String proxy;
    private String flow;
    private String group = "";
    private double load = 1;

    /** The proxy knew of the host's start when it sent this. */
    private boolean told;

    private boolean up;
    private boolean over;

    /** The proxy has ended its side, though nothing may tell the host of that. */
    private boolean left;

    private long echoFreeAt;
    private Agenda.Entry idle;

    Connection(Endpoint endpoint) {
      proxy = endpoint.peerMachine().name();
      lines = new Lines(endpoint, this);
      endpoint.onPeerOutputEnd(this::proxyEnded);
      waitForProbe();
    }

    private void waitForProbe() {
      idle = program.schedule(IDLE, () -> end(false));
    }

    private void proxyEnded() {
      if (flow != null && !left) {
        world.flows().over(flow);
        tell(new Event.ProxyEnded(flow, name, up));
      }
      left = true;
    }

    /** What becomes of a connection that the proxy has left is of no interest to any rule. */
    private void tell(Event event) {
      if (!left) {
        world.publish(event);
      }
    }

    @Override
    public void line(String line) {
      if (up) {
        passed(line);
      } else if (flow != null) {
        unreadable(line);
      } else if (line.equals("PING") || line.equals("STATS")) {
        idle.cancel();
        waitForProbe();
        probe(line);
      } else if (line.startsWith("OPEN ")) {
        idle.cancel();
        open(line);
      } else {
        unreadable(line);
      }
    }

    private void unreadable(String line) {
      world.publish(new Event.HostCannotRead(name, proxy, line));
      lines.send("SYNTAX");
      end(false);
    }

    private void probe(String line) {
      long calm = Math.max(pausedUntil, lines.endpoint().undisturbedSince());
      world.publish(new Event.ProbeArrived(name, proxy, line, calm));
      program.schedule(
          work(stream.micros(PROBE_LEAST, PROBE_MOST)),
          () -> {
            if (!over) {
              boolean errs = state == State.DRAINING || truth == LoadReports.ERRORS;
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
        unreadable(line);
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
      left = lines.endpoint().hasPeerEndedOutput();
      if (!left) {
        world.flows().host(flow, lines.endpoint(), StreamHost.this);
      }
      told = world.discovery().hasToldStart(proxy, StreamHost.this);
      arrivals.add(new Arrival(world.now(), told, load));
      long life = Long.parseLong(values.get("life")) * MILLI;
      if (state == State.DRAINING || connections.size() > CAP * capacity) {
        answer("BUSY");
        end(false);
      } else if (behavior != Behavior.SERVES && stream.chance(mannerShare)) {
        misbehave(life);
      } else {
        long deadline = world.now() + Long.parseLong(wait) * MILLI;
        long micros =
            stream.micros(HANDSHAKE_LEAST, HANDSHAKE_MOST) + stream.micros(SETUP_LEAST, SETUP_MOST);
        program.schedule(work(micros), () -> serve(deadline, life));
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
          up = true;
          answer("UP r" + ++receipts);
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
          up = true;
          String answer = "UP r" + ++receipts;
          tell(new Event.AttemptAnswered(flow, name, answer, false));
          tell(new Event.LineSent(flow, false, "LOAD 0.5"));
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
      tell(new Event.AttemptAnswered(flow, name, line, !line.startsWith("UP")));
      lines.send(line);
    }

    private void serve(long deadline, long life) {
      if (over) {
        return;
      }
      if (state == State.DRAINING || world.now() > deadline) {
        answer("BUSY");
        end(false);
        return;
      }
      up = true;
      served++;
      answer("UP r" + ++receipts);
      stand(life);
    }

    /** The answer comes slowly, and nothing else before it is whole. */
    private void drip(long life) {
      String answer = "UP r" + ++receipts + "\r\n";
      tell(new Event.AttemptAnswered(flow, name, answer.trim(), false));
      for (int i = 0; i < answer.length(); i++) {
        byte[] one = {(byte) answer.charAt(i)};
        boolean last = i == answer.length() - 1;
        program.schedule(
            (i + 1) * DRIP,
            () -> {
              if (!over) {
                lines.sendBytes(one);
                up = last;
                if (last) {
                  stand(life);
                }
              }
            });
      }
    }

    private void stand(long life) {
      program.schedule(life, this::bye);
      program.schedule(stream.micros(5 * SECOND, 16 * SECOND), this::changeLoad);
      if (stream.chance(PUSHES)) {
        program.schedule(stream.micros(SECOND, 20 * SECOND), this::push);
      }
    }

    /** A picture of the walkthrough: more than all buffers on the way hold. */
    private void push() {
      int count = stream.between(PUSH_LEAST, PUSH_MOST);
      for (int i = 0; i < count && !over; i++) {
        say("p " + i + " " + "#".repeat(stream.between(0, LONGEST_PUSH)));
      }
    }

    private void bye() {
      if (!over) {
        lines.send("BYE");
        end(false);
      }
    }

    private void changeLoad() {
      if (!over) {
        load = Math.round(load * stream.logNormal(0.4) * 1000) / 1000.0;
        say("LOAD " + load);
        program.schedule(stream.micros(5 * SECOND, 16 * SECOND), this::changeLoad);
      }
    }

    private void passed(String line) {
      tell(new Event.LineArrived(flow, true, line));
      double asked = utilization();
      long delay = (long) (ECHO * slowdown * Math.max(1, asked > 1 ? 20 * asked : 1));
      echoFreeAt = Math.max(echoFreeAt, world.now() + delay);
      program.schedule(
          echoFreeAt - world.now(),
          () -> {
            if (!over) {
              say("r" + line.substring(1));
            }
          });
    }

    private void say(String line) {
      tell(new Event.LineSent(flow, false, line));
      lines.send(line);
    }

    @Override
    public void ended(boolean reset) {
      if (over) {
        return;
      }
      over = true;
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
      if (over) {
        return;
      }
      over = true;
      connections.remove(this);
      idle.cancel();
      if (flow != null) {
        world.flows().over(flow);
        tell(new Event.HostEnded(flow, name, up, reset, false));
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
