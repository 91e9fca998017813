package ashspar;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * All decisions of a node; the interface it implements, types included, is in Balancer.java.
 *
 * <p>The mechanism is the Network Dispatcher's (Goldszmidt and Hunt, "Scaling Internet Services by
 * Dynamic Allocation of Connections", sections 3 and 4): weighted round robin over weights that are
 * recomputed from a weighted load metric index. What is kept, changed and added stands in
 * docs/design.md; every departure says in its comment when it acts.
 */
public final class Policy implements Balancer {

  // ---------------------------------------------------------------- tunables

  private static final long MS = 1_000;
  private static final long SECOND = 1_000_000;

  /** Between two computations of all weights. Reports are renewed about once a second. */
  private static final long INTERVAL = SECOND;

  /** Share of the newly computed weight in the next one: damps swings between two reports. */
  private static final double SMOOTHING = 0.6;

  /** Mean change of a weight, as a share of the mean weight, from which weights are committed. */
  private static final double SENSITIVITY = 0.02;

  /** Relative importance R(i) of each metric; their sum is 1, a disabled one's goes to the rest. */
  private static final double R_LOAD = 0.6;

  private static final double R_BACKLOG = 0.15;
  private static final double R_LATENCY = 0.05;
  private static final double R_INPUT = 0.05;
  private static final double R_SIZE = 0.15;

  /** Turns lost to a crossing, per point of its price: at 0.01 a point, six tenths of a turn. */
  private static final double FAR = 150;

  /** Least load, against the mean, that a server is credited with: no weight without bound. */
  private static final double LOAD_FLOOR = 0.4;

  /**
   * Power of the inverse load: 1 for connections that live this long, more for longer ones, whose
   * placements change a server's load less before the next report shows it; no more than the most.
   */
  private static final double POWER_LIFE = 20.0 * SECOND;

  private static final double POWER_MOST = 2.5;

  /** Age after which a report is overdue and its metric disabled; reports lag by 1 to 2 s. */
  private static final long OVERDUE = 12 * SECOND;

  /** Time in which a report's distance from the mean loses all but 1/e of its worth. */
  private static final double FADE = 6.0 * SECOND;

  /** Age up to which a report is as good as a new one, so that no probe is spent. */
  private static final long FRESH = 600 * MS;

  /**
   * Age from which a report is renewed for a server that holds connections of this node. Few
   * placements bring few probes, and where no note tells of delay a server that had slowed down
   * kept its connections until the next placement happened to look at it. It is looked at each
   * INTERVAL: at every second one, a report that came some milliseconds after the last is stale.
   */
  private static final long STALE = 3 * INTERVAL / 2;

  /** Share of the result that probes may cost, in points of it: the budget follows the price. */
  private static final double PROBE_SPEND = 0.012;

  /** Probes a placement looks ahead by, at most: more herd all nodes to the one quiet server. */
  private static final int LOOK_AHEAD = 3;

  /** Longest wait of a placement for its probes; an answer takes a few ms. */
  private static final long PROBE_WAIT = 60 * MS;

  /** First and longest wait before a quiesced server is probed again. */
  private static final long REPROBE_FIRST = 500 * MS;

  private static final long REPROBE_MOST = 4 * SECOND;

  /** Wait before a request that found no server is tried again. */
  private static final long HOLD = 100 * MS;

  /** Own placements that weigh as much as what the mean says, against the noise of small counts. */
  private static final double INPUT_PRIOR = 4;

  /** Share of the fall-over budget that all nodes together may use on a cold server. */
  private static final double COLD_SAFETY = 0.35;

  /** Heaviest connection, against the mean, for a cold server: one could use up its budget. */
  private static final double COLD_HEAVIEST = 2;

  /** Load from which connections are moved off a server, and where moving stops. */
  private static final double MOVE_AT = 0.9;

  private static final double MOVE_TO = 0.75;

  /** Most of a server's connections, as a share, that one look moves. */
  private static final double MOVE_MOST = 0.8;

  /** Least time between two looks at one server's connections: a report must show the last. */
  private static final long MOVE_PAUSE = 3 * SECOND;

  /** Reported load from which a server gets nothing new until a report shows room. */
  private static final double ROOM = 0.7;

  /** Load taken for a server that turns a probe away as full: reports of such are not to be had. */
  private static final double FULL_LOAD = 1.1;

  /** Delay notes in a row, a second apart, that are strain and no short stall. */
  private static final int STRAIN = 2;

  /** Share of reports without room from which only servers with a recent one are trusted. */
  private static final double TIGHT = 0.25;

  /** Room below ROOM at which a tight fleet's server takes everything again. */
  private static final double SPARE = 0.3;

  /** Share of full reports from which the chance is at its least, and that least. */
  private static final double FULL_FLEET = 0.85;

  private static final double SLACK_LEAST = 0.15;

  /** Age up to which a report proves room while the fleet is tight. */
  private static final long TIGHT_AGE = 4 * SECOND;

  /** Cool-down of a server that turned a connection away or broke one. */
  private static final long COOL_DOWN = 2 * SECOND;

  /** First and longest pause of a node whose attempts end in errors. */
  private static final long ERROR_PAUSE = 100 * MS;

  private static final long ERROR_PAUSE_MOST = 4_000 * MS;

  /** Weight of one flow in the share of flows that end in errors, and the share that is a pause. */
  private static final double ERROR_STEP = 0.125;

  private static final double ERROR_SHARE = 0.3;

  /** Rest of a server that answered a probe with an error. */
  private static final long PROBE_REST = SECOND;

  /** An attempt is waited for at least so long, or so many times what servers take on average. */
  private static final long ACCEPT_LEAST = 600 * MS;

  private static final double ACCEPT_TIMES = 8;

  /** Attempts in a row that a server leaves unanswered before it cools down. */
  private static final int UNANSWERED = 2;

  /** Weight of one attempt in that average. */
  private static final double ACCEPT_STEP = 0.1;

  /** Longest cool-down of a server that breaks connections again and again. */
  private static final long COOL_DOWN_MOST = 16 * SECOND;

  /** Two listings of one start may differ by so much: clocks are mapped anew each time. */
  private static final long SAME_START = 100 * MS;

  /** Wheels that take turns apart: one for light connections, one for heavy ones. */
  private static final int WHEELS = 2;

  /** Least time between two lines of the log. */
  private static final long LOG_PAUSE = 5 * SECOND;

  private static final long TOKEN_TICK = 0;
  private static final long TOKEN_WATCH = 1;

  /** Timer tokens from here on name requests. */
  private static final long TOKEN_REQUEST = 16;

  // ------------------------------------------------------------ server state

  private static final class Server {
    final String id;
    String zone;
    int cell;
    State state;
    double size = 1;
    long since;

    /** Committed weight; the mean of all is about 1, 0 means quiesced. */
    double weight;

    double index = 1;
    double previousIndex = 1;

    /** Virtual time of this server's next turn, and the stamp of its valid place in the wheel. */
    final double[] turn = new double[WHEELS];

    final int[] stamp = new int[WHEELS];

    long reportAt = Long.MIN_VALUE / 2;
    double load = Double.NaN;
    double backlog = Double.NaN;
    double latency = Double.NaN;

    /** Load put there by this node that no report can show yet. */
    double added;

    long placedAt = Long.MIN_VALUE / 2;
    double input;

    boolean quiesced;
    boolean probing;
    long reprobeAt;
    long reprobeWait = REPROBE_FIRST;
    double coldCredit;
    long coldAt;
    long movedAt = Long.MIN_VALUE / 2;
    long busyUntil;
    long coolDown = COOL_DOWN;
    int unanswered;
    long restUntil;
    int strain;
    long strainedAt = Long.MIN_VALUE / 2;

    final List<Held> waiting = new ArrayList<>();
    final List<Held> open = new ArrayList<>();

    Server(String id) {
      this.id = id;
    }
  }

  private record Turn(double at, int stamp, Server server) {}

  /** A request or connection this node holds. */
  private static final class Held {
    final Request request;
    final RequestClass type;
    final long deadline;
    int attempts;

    /** The server of the attempt that is out, or that holds the connection. */
    Server at;

    boolean established;
    int openIndex = -1;
    int awaited;
    boolean held;

    /** Where and when the first attempt that may have run was sent. */
    Server ranAt;

    long ranSent;
    long sentAt;
    double load;
    final List<Server> tried = new ArrayList<>(2);

    Held(Request request, RequestClass type, long deadline) {
      this.request = request;
      this.type = type;
      this.deadline = deadline;
      this.load = request.hint();
    }
  }

  private Settings settings;
  private final Actions actions;
  private final SplittableRandom random;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<String, Server> servers = new HashMap<>();
  private final List<Server> ready = new ArrayList<>();
  private final List<Server> cold = new ArrayList<>();
  private final Map<Long, Held> requests = new HashMap<>();
  private final List<PriorityQueue<Turn>> wheels = new ArrayList<>();
  private final double[] wheelNow = new double[WHEELS];
  private long now;

  private int loadField;
  private int backlogField;
  private int latencyField;
  private double meanLoad = Double.NaN;
  private double meanBacklog = Double.NaN;
  private double meanLatency = Double.NaN;
  private double meanSize = 1;
  private double meanInput;
  private double fullShare;
  private boolean wasTight;
  private long saidAt = Long.MIN_VALUE / 2;
  private double topWorth = 1e-3;
  private double meanHint;
  private double probeCredit = 3;
  private double arrivals;
  private long startedAt;
  private int openConnections;
  private boolean listed;
  private long watchWait = 2 * SECOND;
  private long errorPause;
  private double errorShare;
  private double meanAccept = ACCEPT_LEAST / ACCEPT_TIMES;
  private long pausedUntil;
  private int attemptsOut;

  /** Starts a node's balancer; the list of servers must follow. */
  public Policy(long now, Settings settings, long seed, Actions actions) {
    Balancer.require(settings != null, "settings must be given");
    Balancer.require(actions != null, "actions must be given");
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.now = now;
    this.startedAt = now;
    configure(settings);
    for (int w = 0; w < WHEELS; w++) {
      wheels.add(new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at())));
    }
    actions.timer(1 + random.nextLong(INTERVAL), TOKEN_TICK);
    if (settings.asks()) {
      actions.timer(1 + random.nextLong(watchWait), TOKEN_WATCH);
    }
  }

  private void configure(Settings changed) {
    settings = changed;
    classes.clear();
    topWorth = 1e-3;
    for (RequestClass type : settings.classes()) {
      classes.put(type.name(), type);
      topWorth = Math.max(topWorth, type.worth());
    }
    loadField = field(Metric.LOAD, Metric.UTILIZATION);
    backlogField = field(Metric.BACKLOG_S, Metric.QUEUE);
    latencyField = field(Metric.LATENCY_MS, Metric.LATENCY_MS);
  }

  @Override
  public void settings(long at, Settings changed) {
    now = at;
    Balancer.require(changed != null, "settings must be given");
    configure(changed);
  }

  private int field(Metric first, Metric second) {
    int at = settings.reportFields().indexOf(first);
    return at >= 0 ? at : settings.reportFields().indexOf(second);
  }

  // ------------------------------------------------------ load metric index

  /** L(S): the weighted sum of the metrics, each as a multiple of its mean over the servers. */
  private double index(Server s) {
    double sum = 0;
    double weights = 0;
    long age = now - s.reportAt;
    if (age <= OVERDUE) {
      double worth = Math.exp(-Math.max(0, age - INTERVAL) / FADE);
      if (!Double.isNaN(s.load) && meanLoad > 0) {
        sum += R_LOAD * faded((s.load + s.added) / meanLoad, worth);
        weights += R_LOAD;
      }
      if (!Double.isNaN(s.backlog) && meanBacklog > 0) {
        sum += R_BACKLOG * faded(s.backlog / meanBacklog, worth);
        weights += R_BACKLOG;
      }
      if (!Double.isNaN(s.latency) && meanLatency > 0) {
        sum += R_LATENCY * faded(s.latency / meanLatency, worth);
        weights += R_LATENCY;
      }
    }
    if (settings.sizes() == SizeMeaning.LIVE) {
      sum += R_SIZE * meanSize / Math.max(s.size, 1e-3 * meanSize);
      weights += R_SIZE;
    }
    // A node places few connections, so its own count is drawn to the mean by what it has not seen.
    sum += R_INPUT * (s.input + INPUT_PRIOR) / (meanInput + INPUT_PRIOR);
    weights += R_INPUT;
    return sum / weights;
  }

  private static double faded(double value, double worth) {
    return 1 + (value - 1) * worth;
  }

  private static double mean(double old, double value, double share) {
    return Double.isNaN(old) ? value : old + share * (value - old);
  }

  private void report(Server s, List<Double> row) {
    if (row.isEmpty()) {
      return;
    }
    double load = value(row, loadField);
    double backlog = value(row, backlogField);
    double latency = value(row, latencyField);
    s.reportAt = now;
    s.load = load;
    s.backlog = backlog;
    s.latency = latency;
    if (now - s.placedAt > INTERVAL) {
      s.added = 0;
    }
    // Capped: one server with minutes of work piled up must not hide the rest from the mean.
    double share = 1.0 / Math.min(12, Math.max(4, ready.size()));
    if (!Double.isNaN(load)) {
      meanLoad = Math.max(1e-3, mean(meanLoad, Math.min(load, 1.5), share));
      fullShare += share * ((load > ROOM ? 1 : 0) - fullShare);
    }
    if (!Double.isNaN(backlog)) {
      meanBacklog = Math.max(1e-3, mean(meanBacklog, Math.min(backlog, 10), share));
    }
    if (!Double.isNaN(latency)) {
      meanLatency = Math.max(1e-3, mean(meanLatency, Math.min(latency, 1e4), share));
    }
  }

  private static double value(List<Double> row, int field) {
    if (field < 0 || field >= row.size()) {
      return Double.NaN;
    }
    double value = row.get(field);
    return value >= 0 && value < 1e6 ? value : Double.NaN;
  }

  // --------------------------------------------- weight computation function

  /** The weight a server should have by its index: the inverse of its floored share of the load. */
  private double target(Server s) {
    s.previousIndex = s.index;
    s.index = index(s);
    double level = Math.max(LOAD_FLOOR, (s.previousIndex + 3 * s.index) / 4);
    double weight = Math.pow(1 / level, power());
    if (settings.sizes() == SizeMeaning.NOMINAL || settings.sizes() == SizeMeaning.ROUGH) {
      weight *= s.size / meanSize;
    }
    return Math.max(0.02, weight) * nearness(s);
  }

  private double power() {
    double rate = (arrivals + 1) / Math.max(5.0 * SECOND, now - startedAt);
    return Math.min(POWER_MOST, Math.max(1, openConnections / rate / POWER_LIFE));
  }

  /** A server of another zone gets fewer turns, by what a crossing costs. */
  private double nearness(Server s) {
    boolean far = s.zone != null && !s.zone.isEmpty() && !s.zone.equals(settings.zone());
    return far ? 1 / (1 + FAR * settings.prices().crossZone()) : 1;
  }

  private void recompute() {
    double sizes = 0;
    double inputs = 0;
    for (Server s : ready) {
      sizes += s.size;
      s.input *= 0.8;
      inputs += s.input;
    }
    int count = Math.max(1, ready.size());
    meanSize = sizes > 0 ? sizes / count : 1;
    meanInput = inputs / count;
    double[] next = new double[ready.size()];
    double change = 0;
    for (int i = 0; i < next.length; i++) {
      Server s = ready.get(i);
      if (!s.quiesced) {
        next[i] = s.weight + SMOOTHING * (target(s) - s.weight);
        change += Math.abs(next[i] - s.weight);
      }
    }
    if (change > SENSITIVITY * count) {
      for (int i = 0; i < next.length; i++) {
        commit(ready.get(i), next[i]);
      }
      rebuild();
    }
  }

  /** A report that decides a placement is used at once, for its own server only. */
  private void recompute(Server s) {
    if (!s.quiesced && s.state == State.READY) {
      double next = target(s);
      if (Math.abs(next - s.weight) > SENSITIVITY) {
        commit(s, next);
        enqueue(s);
      }
    }
  }

  private double meanWeight() {
    double sum = 0;
    int count = 0;
    for (Server s : ready) {
      if (s.weight > 0) {
        sum += s.weight;
        count++;
      }
    }
    return count == 0 ? 1 : sum / count;
  }

  // ------------------------------------------------------------------ commit

  /** Sets a weight; what was left of the server's wait for its turn is stretched to match. */
  private void commit(Server s, double weight) {
    for (int w = 0; w < WHEELS; w++) {
      double left =
          s.weight > 0 ? Math.max(0, s.turn[w] - wheelNow[w]) * s.weight : random.nextDouble();
      s.turn[w] = weight > 0 ? wheelNow[w] + Math.min(left, 1) / weight : Double.MAX_VALUE;
    }
    s.weight = weight;
  }

  private void enqueue(Server s) {
    for (int w = 0; w < WHEELS; w++) {
      enqueue(s, w);
    }
  }

  private void enqueue(Server s, int w) {
    s.stamp[w]++;
    if (s.weight > 0 && s.state == State.READY) {
      wheels.get(w).add(new Turn(s.turn[w], s.stamp[w], s));
    }
    if (wheels.get(w).size() > 4 * ready.size() + 64) {
      rebuild();
    }
  }

  private void rebuild() {
    for (int w = 0; w < WHEELS; w++) {
      wheels.get(w).clear();
      for (Server s : ready) {
        s.stamp[w]++;
        if (s.weight > 0) {
          wheels.get(w).add(new Turn(s.turn[w], s.stamp[w], s));
        }
      }
    }
  }

  // ----------------------------------------------------- weighted round robin

  /** The next server in turn that this request may go to, or null. */
  private Server next(Held h, boolean again) {
    Server found = null;
    int w = wheelOf(h);
    PriorityQueue<Turn> wheel = wheels.get(w);
    ArrayDeque<Turn> passed = new ArrayDeque<>();
    int most = tight() ? 1 : Integer.MAX_VALUE;
    int looked = 0;
    while (found == null && looked < most && !wheel.isEmpty()) {
      Turn turn = wheel.poll();
      if (turn.stamp() != turn.server().stamp[w]) {
        continue;
      }
      Server s = turn.server();
      looked++;
      if (allowed(h, s, again)) {
        found = s;
      } else if (s.state == State.READY && !room(h, s)) {
        // A turn without room passes. Left due, full servers stood ahead of all others for good.
        s.turn[w] = Math.max(wheelNow[w], s.turn[w]) + 1 / s.weight;
        turn = new Turn(s.turn[w], s.stamp[w], s);
      }
      passed.add(turn);
    }
    wheel.addAll(passed);
    if (found != null) {
      wheelNow[w] = Math.max(wheelNow[w], found.turn[w]);
    }
    return found;
  }

  private boolean allowed(Held h, Server s, boolean again) {
    return s.state == State.READY
        && (again || !h.tried.contains(s))
        && sharesMemory(h, s)
        && room(h, s)
        && (coldAllows(s) && (cost(h) <= COLD_HEAVIEST || warmth(s) >= 1));
  }

  /** A server that is reported full, or has just said so, cools down at no turns of its own. */
  private boolean room(Held h, Server s) {
    if (now < s.busyUntil || now < s.restUntil) {
      return false;
    }
    long age = now - s.reportAt;
    double left = ROOM - s.load - s.added;
    if (!tight()) {
      return !(age <= OVERDUE && left < 0);
    }
    // Tight: all nodes see the same little room, so each takes it by chance, the worthier rather.
    double slack = Math.max(SLACK_LEAST, 1 - (fullShare - TIGHT) / (FULL_FLEET - TIGHT));
    double chance = Math.max(0, Math.min(1, left / SPARE)) * slack;
    return age <= TIGHT_AGE
        && random.nextDouble() < Math.pow(chance, topWorth / Math.max(1e-3, h.type.worth()));
  }

  private boolean tight() {
    return fullShare > TIGHT && loadField >= 0 && settings.limits().probes();
  }

  private void took(Held h, Server s) {
    int w = wheelOf(h);
    s.turn[w] = Math.max(wheelNow[w], s.turn[w]) + 1 / Math.max(s.weight, 1e-3);
    if (s.weight > 0) {
      enqueue(s, w);
    }
    s.input++;
    s.placedAt = now;
    double each = openConnections * (double) settings.nodes() / Math.max(1, ready.size());
    s.added += (Double.isNaN(meanLoad) ? 0 : meanLoad) / Math.max(5, each) * cost(h);
    coldTake(s, cost(h));
  }

  /** Light and heavy connections take turns apart, each evenly spread over the nodes. */
  private int wheelOf(Held h) {
    return cost(h) >= 1 ? 1 : 0;
  }

  /** A request's load against the mean request's; 1 where there is no hint. */
  private double cost(Held h) {
    double hint = h.request.hint();
    return hint > 0 && meanHint > 0 ? Math.min(10, Math.max(0.1, hint / meanHint)) : 1;
  }

  // ---------------------------------------------------- probing and quiescing

  private void probe(Server s) {
    if (settings.limits().probes() && !s.probing && s.state == State.READY) {
      s.probing = true;
      probeCredit--;
      actions.probe(s.id);
    }
  }

  /** Probes the servers whose turn comes next, so that the weights are true where they decide. */
  private void lookAhead(Held h) {
    int w = wheelOf(h);
    PriorityQueue<Turn> wheel = wheels.get(w);
    List<Turn> passed = new ArrayList<>();
    int looked = 0;
    while (looked < LOOK_AHEAD && !wheel.isEmpty()) {
      Turn turn = wheel.poll();
      if (turn.stamp() != turn.server().stamp[w]) {
        continue;
      }
      passed.add(turn);
      Server s = turn.server();
      if (s.state != State.READY
          || now < s.restUntil
          || h.tried.contains(s)
          || !sharesMemory(h, s)
          || !coldAllows(s)) {
        continue;
      }
      looked++;
      if (now - s.reportAt > FRESH && probeCredit >= 1) {
        probe(s);
      }
      if (s.probing) {
        s.waiting.add(h);
        h.awaited++;
      }
    }
    wheel.addAll(passed);
  }

  /** A line for the operators, at most one in five seconds: a storm must not fill their logs. */
  private void say(String text) {
    if (now - saidAt >= LOG_PAUSE) {
      saidAt = now;
      actions.log(text);
    }
  }

  private void quiesce(Server s) {
    if (!s.quiesced) {
      say("quiesced " + s.id + ": no answer in time; " + ready.size() + " servers ready");
      s.quiesced = true;
      s.reprobeWait = REPROBE_FIRST;
      commit(s, 0);
      enqueue(s);
    }
    s.reprobeAt = now + s.reprobeWait;
    s.reprobeWait = Math.min(REPROBE_MOST, 2 * s.reprobeWait);
  }

  /** Breaks that come in one go are one; a server that goes on breaking cools down for longer. */
  private void broke(Server s) {
    if (now >= s.busyUntil) {
      boolean again = now - s.busyUntil < s.coolDown;
      s.coolDown = again ? Math.min(COOL_DOWN_MOST, 2 * s.coolDown) : COOL_DOWN;
      s.busyUntil = now + s.coolDown;
    }
  }

  private void restore(Server s) {
    if (s.quiesced) {
      s.quiesced = false;
      commit(s, Math.min(1, target(s)));
      enqueue(s);
    }
  }

  @Override
  public void probed(long at, String server, Status status, long elapsed, List<Double> row) {
    now = at;
    Balancer.require(status != null, "a probe's answer needs a status");
    Server s = servers.get(server);
    if (s == null) {
      return;
    }
    s.probing = false;
    if (status == Status.OK) {
      report(s, row);
      if (latencyField < 0) {
        s.latency = elapsed / (double) MS;
        meanLatency = Math.max(1e-3, mean(meanLatency, Math.min(s.latency, 1e4), 0.1));
      }
      restore(s);
      recompute(s);
      relieve(s);
    } else if (status == Status.FULL) {
      fullShare += (1 - fullShare) / 12;
      overloaded(s);
    } else if (status == Status.TIMEOUT || status == Status.CONNECT_FAILED) {
      quiesce(s);
    } else {
      // A server that begins to drain answers so, seconds before the list tells: left due, it was
      // probed by each placement, and nothing was left for the probes that were of use.
      s.restUntil = now + PROBE_REST;
    }
    List<Held> waiting = List.copyOf(s.waiting);
    s.waiting.clear();
    for (Held h : waiting) {
      if (--h.awaited == 0 && requests.get(h.request.id()) == h && h.at == null) {
        place(h);
      }
    }
  }

  // ------------------------------------------------------------ request life

  @Override
  public void request(long at, Request request) {
    now = at;
    Balancer.require(request != null, "a request must be given");
    RequestClass type = classes.get(request.requestClass());
    Balancer.require(type != null, "unknown class '" + request.requestClass() + "'");
    Balancer.require(!requests.containsKey(request.id()), "request " + request.id() + " is known");
    Held h = new Held(request, type, at + request.left());
    requests.put(request.id(), h);
    if (!request.midFlow() && !request.returning() && !request.repeat()) {
      arrivals++;
    }
    if (request.hint() > 0) {
      meanHint = meanHint == 0 ? request.hint() : meanHint + 0.05 * (request.hint() - meanHint);
    }
    double price = settings.prices().probe();
    double each = price > 0 ? PROBE_SPEND / price : 2 * LOOK_AHEAD;
    probeCredit = Math.min(4 * LOOK_AHEAD, probeCredit + (request.repeat() ? each / 3 : each));
    consider(h);
  }

  /**
   * A cold server's turn is due once this node's share of it has grown to a whole connection.
   * Waiting for a turn as well left it idle in large fleets, where a turn takes minutes to come.
   */
  private void callCold(int w) {
    for (int i = cold.size() - 1; i >= 0; i--) {
      Server s = cold.get(i);
      if (s.state != State.READY || warmth(s) >= 1) {
        cold.remove(i);
      } else if (s.weight > 0 && s.turn[w] > wheelNow[w] && coldAllows(s)) {
        if (Double.isNaN(s.load) || now - s.reportAt > OVERDUE || !(s.load + s.added > meanLoad)) {
          s.turn[w] = wheelNow[w];
          enqueue(s, w);
        }
      }
    }
  }

  /** Looks ahead where that is allowed, then places. */
  private void consider(Held h) {
    h.awaited = 0;
    callCold(wheelOf(h));
    // Close to the deadline no probe is waited for: a request that kept waiting was never answered.
    if (h.deadline - now > PROBE_WAIT
        && settings.limits().probes()
        && now - startedAt > 2 * SECOND
        && now >= pausedUntil) {
      lookAhead(h);
    }
    if (h.awaited > 0) {
      long left = h.deadline - now;
      wake(h, Math.min(PROBE_WAIT, Math.min(h.type.aim(), left) / 4 + 1));
    } else {
      place(h);
    }
  }

  private void wake(Held h, long delay) {
    actions.timer(Math.max(1, delay), TOKEN_REQUEST + h.request.id());
  }

  /** Sends a held request to the next server in turn, or holds it, or answers it. */
  private void place(Held h) {
    h.awaited = 0;
    long left = h.deadline - now;
    if (left <= settings.tick() || h.attempts >= settings.limits().maxAttempts()) {
      answer(h);
      return;
    }
    long pause = pausedUntil - now;
    if (errorPause > ERROR_PAUSE && attemptsOut > 0) {
      pause = Math.max(pause, errorPause / 2);
    }
    if (pause > 0) {
      wake(h, Math.min(pause + random.nextLong(pause), left - settings.tick()));
      return;
    }
    Server s = next(h, false);
    if (s == null && !tight()) {
      s = next(h, true);
    }
    if (s == null) {
      s = lastResort(h);
    }
    if (s == null) {
      h.held = true;
      wake(h, Math.min(HOLD + random.nextLong(2 * HOLD), left - settings.tick()));
      return;
    }
    took(h, s);
    send(h, s);
  }

  /** All weights are zero or spent: any ready server that the rules allow, at random. */
  private Server lastResort(Held h) {
    if (ready.isEmpty()) {
      return null;
    }
    int from = random.nextInt(ready.size());
    for (int i = 0; i < ready.size(); i++) {
      Server s = ready.get((from + i) % ready.size());
      if (s.weight == 0 && allowed(h, s, h.tried.size() >= ready.size())) {
        return s;
      }
    }
    return null;
  }

  private void send(Held h, Server s) {
    h.attempts++;
    h.at = s;
    h.sentAt = now;
    h.held = false;
    attemptsOut++;
    if (!h.tried.contains(s)) {
      h.tried.add(s);
    }
    actions.send(h.request.id(), s.id, Math.min(h.deadline, now + patience(h)));
  }

  /**
   * How long an attempt is waited for: many times what servers take now, so that one that has lost
   * the request costs no whole deadline. Where all are slow, as with a slow store, the time grows
   * with them: attempts that were cut short then were lost work and tried again at once.
   */
  private long patience(Held h) {
    long usual = Math.max(ACCEPT_LEAST, (long) (ACCEPT_TIMES * meanAccept));
    boolean again = h.type.effect() == Effect.FREE && h.attempts < settings.limits().maxAttempts();
    return again && h.deadline - now > 2 * usual ? usual : h.deadline - now;
  }

  /** Rule 2: after an attempt that may have run, only where its repeat is dropped, and in time. */
  private boolean sharesMemory(Held h, Server s) {
    if (h.ranAt == null || h.type.effect() == Effect.FREE) {
      return true;
    }
    if (h.type.effect() == Effect.SINGLE_SHOT || now - h.ranSent >= h.type.window()) {
      return false;
    }
    return switch (h.type.group()) {
      case ALL -> true;
      case ZONE -> s.zone != null && s.zone.equals(h.ranAt.zone);
      case CELL -> s.zone != null && s.zone.equals(h.ranAt.zone) && s.cell == h.ranAt.cell;
    };
  }

  private void answer(Held h) {
    forget(h);
    boolean harmless =
        h.ranAt == null
            || h.type.effect() == Effect.FREE
            || (h.type.effect() == Effect.GUARDED && h.type.group() == Group.ALL);
    if (harmless) {
      actions.refuse(h.request.id(), comeBack());
    } else {
      actions.fail(h.request.id());
    }
  }

  /** When a refused client is to come again: not before this node looks or sends again itself. */
  private long comeBack() {
    if (!settings.limits().retryAfter()) {
      return 0;
    }
    return Math.min(Math.max(HOLD, pausedUntil - now), settings.limits().maxRetryAfter());
  }

  private void forget(Held h) {
    requests.remove(h.request.id());
    if (h.at != null && !h.established) {
      attemptsOut--;
    }
    if (h.openIndex >= 0) {
      List<Held> open = h.at.open;
      Held last = open.remove(open.size() - 1);
      if (last != h) {
        open.set(h.openIndex, last);
        last.openIndex = h.openIndex;
      }
      h.openIndex = -1;
      openConnections--;
    }
  }

  private void opened(Held h, Server s) {
    h.established = true;
    h.at = s;
    h.openIndex = s.open.size();
    s.open.add(h);
    openConnections++;
  }

  @Override
  public void resumed(long at, Request request, String server) {
    now = at;
    Balancer.require(request != null, "a request must be given");
    RequestClass type = classes.get(request.requestClass());
    Balancer.require(type != null, "unknown class '" + request.requestClass() + "'");
    Held h = new Held(request, type, Long.MAX_VALUE);
    h.attempts = 1;
    requests.put(request.id(), h);
    opened(h, servers.computeIfAbsent(server, Policy::unlisted));
  }

  private static Server unlisted(String id) {
    Server s = new Server(id);
    s.state = State.GONE;
    return s;
  }

  @Override
  public void accepted(long at, long id, int attempt, String server, long elapsed) {
    now = at;
    Held h = requests.get(id);
    if (h != null && h.at != null && !h.established && h.attempts == attempt + 1) {
      attemptsOut--;
      meanAccept += ACCEPT_STEP * (elapsed - meanAccept);
      errorShare -= ERROR_STEP * errorShare;
      h.at.unanswered = 0;
      errorPause = errorPause < ERROR_PAUSE ? 0 : errorPause / 2;
      opened(h, h.at);
    }
  }

  @Override
  public void note(long at, long id, int attempt, String server, NoteKind kind, double value) {
    now = at;
    Held h = requests.get(id);
    if (h == null || !h.established) {
      return;
    }
    if (kind == NoteKind.LOAD) {
      h.load = value >= 0 && value < 1e12 ? value : h.load;
    } else {
      strain(h.at, value * MS > h.type.messageAim());
    }
  }

  /**
   * A deep probe waits like a request, so that overloaded servers turn it away and send no report.
   * Without this they kept the weight and the connections of their last good report.
   */
  private void overloaded(Server s) {
    s.load = Double.isNaN(s.load) ? FULL_LOAD : Math.max(FULL_LOAD, s.load);
    s.reportAt = now;
    recompute(s);
    relieve(s);
  }

  /** Messages that take too long, note after note, tell of load where no probe comes through. */
  private void strain(Server s, boolean slow) {
    if (!slow) {
      s.strain = 0;
      return;
    }
    s.strain = now - s.strainedAt > 3 * INTERVAL ? 1 : s.strain + 1;
    s.strainedAt = now;
    if (s.strain >= STRAIN) {
      overloaded(s);
    }
  }

  @Override
  public void outcome(long at, Outcome outcome) {
    now = at;
    Balancer.require(outcome != null, "an outcome must be given");
    Server s = servers.get(outcome.server());
    if (s != null && !outcome.report().isEmpty()) {
      report(s, outcome.report());
    }
    Held h = requests.get(outcome.id());
    if (h == null || outcome.attempt() != h.attempts - 1) {
      return;
    }
    Server was = h.at;
    // A server may answer probes and lose requests: only their own time tells of that.
    was.unanswered += outcome.status() == Status.TIMEOUT ? 1 : 0;
    boolean silent = outcome.status() == Status.TIMEOUT && was.unanswered >= UNANSWERED;
    if (outcome.status() == Status.FULL || silent) {
      was.busyUntil = Math.max(was.busyUntil, now + COOL_DOWN);
    } else if (outcome.status() == Status.RESET) {
      broke(was);
    }
    if (outcome.status() == Status.TIMEOUT) {
      meanAccept += ACCEPT_STEP * Math.max(0, outcome.elapsed() - meanAccept);
    }
    if (outcome.closed() || h.established) {
      forget(h);
      return;
    }
    attemptsOut--;
    h.at = null;
    boolean error =
        outcome.status() == Status.ERROR || (outcome.status() == Status.TIMEOUT && !was.quiesced);
    if (error && h.ranAt == null) {
      errorShare += ERROR_STEP * (1 - errorShare);
    }
    // One flow's errors are its own, and one server's are its: only many flows' tell of a cause
    // that
    // all servers share. Without this a client with a copied id paused the whole node.
    if (error && errorShare > ERROR_SHARE) {
      errorPause = Math.min(ERROR_PAUSE_MOST, Math.max(ERROR_PAUSE, 2 * errorPause));
      pausedUntil = now + errorPause / 2 + random.nextLong(errorPause);
    }
    if (!outcome.status().neverRan && h.ranAt == null) {
      h.ranAt = was;
      h.ranSent = h.sentAt;
    }
    if (outcome.status() == Status.CONNECT_FAILED && was.state == State.READY) {
      quiesce(was);
      probe(was);
    }
    boolean again =
        h.ranAt == null
            || h.type.effect() == Effect.FREE
            || (h.type.effect() == Effect.GUARDED && now - h.ranSent < h.type.window());
    if (again) {
      place(h);
    } else {
      answer(h);
    }
  }

  @Override
  public void lapsed(long at, long id) {
    now = at;
    Held h = requests.get(id);
    if (h != null) {
      forget(h);
    }
  }

  @Override
  public void timer(long at, long token) {
    now = at;
    if (token == TOKEN_TICK) {
      tick();
    } else if (token == TOKEN_WATCH) {
      actions.watch(true);
    } else {
      Held h = requests.get(token - TOKEN_REQUEST);
      if (h != null && h.at == null) {
        if (h.held) {
          consider(h);
        } else {
          place(h);
        }
      }
    }
  }

  private void tick() {
    actions.timer(INTERVAL, TOKEN_TICK);
    if (tight() != wasTight) {
      wasTight = tight();
      say((wasTight ? "fleet is tight" : "fleet has room again") + ": " + percent(fullShare));
    }
    if (errorPause >= SECOND) {
      say("pausing after errors: " + errorPause / MS + " ms between attempts");
    }
    for (Server s : ready) {
      if (s.quiesced && now >= s.reprobeAt) {
        if (settings.limits().probes()) {
          probe(s);
        } else {
          restore(s);
        }
      } else if (!settings.tellsDelay() && !s.open.isEmpty() && now - s.reportAt >= STALE) {
        probe(s);
      }
    }
    recompute();
  }

  private static String percent(double share) {
    return Math.round(100 * share) + "% of recent reports show no room";
  }

  /** Requests held and connections open here, for the tests: what has ended must be forgotten. */
  int held() {
    return requests.size();
  }

  @Override
  public void peer(long at, int from, byte[] message) {
    now = at;
  }

  // -------------------------------------------------------- list of servers

  @Override
  public void servers(long at, ListKind kind, List<ServerEntry> entries) {
    now = at;
    Balancer.require(kind != null && entries != null, "a list needs a kind and entries");
    if (kind == ListKind.FAILED) {
      if (settings.asks()) {
        actions.timer(watchWait / 2 + random.nextLong(watchWait), TOKEN_WATCH);
        watchWait = Math.min(16 * SECOND, 2 * watchWait);
      }
      return;
    }
    if (kind != ListKind.CACHED) {
      watchWait = 2 * SECOND;
    }
    boolean joined = false;
    Map<String, Server> missing = new HashMap<>();
    if (kind != ListKind.DELTA) {
      missing.putAll(servers);
    }
    for (ServerEntry entry : entries) {
      missing.remove(entry.id());
      joined |= entry(entry);
    }
    for (Server s : List.copyOf(ready)) {
      if (missing.containsKey(s.id)) {
        remove(s);
      }
    }
    if (!listed && !ready.isEmpty()) {
      listed = true;
      firstTurns();
    } else if (joined) {
      recompute();
    }
  }

  private boolean entry(ServerEntry entry) {
    Server s = servers.get(entry.id());
    if (entry.state() == State.GONE) {
      if (s != null) {
        remove(s);
      }
      return false;
    }
    if (s == null) {
      s = new Server(entry.id());
      s.state = State.GONE;
      servers.put(s.id, s);
    }
    s.zone = entry.zone();
    s.cell = entry.cell();
    s.size = entry.size() > 0 && entry.size() < 1e9 ? entry.size() : s.size;
    boolean restarted = entry.since() > s.since + SAME_START;
    s.since = entry.since();
    if (entry.state() == State.DRAINING) {
      ready.remove(s);
      s.state = State.DRAINING;
      retire(s);
      return false;
    }
    if (s.state == State.READY && !restarted) {
      return false;
    }
    if (s.state != State.READY) {
      ready.add(s);
    }
    s.state = State.READY;
    s.quiesced = false;
    s.reportAt = Long.MIN_VALUE / 2;
    s.index = 1;
    s.added = 0;
    s.coldCredit = random.nextDouble();
    s.coldAt = now;
    if (warmth(s) < 1 && !cold.contains(s)) {
      cold.add(s);
    }
    s.weight = 0;
    commit(s, meanWeight() * nearness(s));
    enqueue(s);
    return true;
  }

  private static void retire(Server s) {
    s.weight = 0;
    for (int w = 0; w < WHEELS; w++) {
      s.stamp[w]++;
    }
  }

  private void remove(Server s) {
    ready.remove(s);
    s.state = State.GONE;
    retire(s);
    servers.remove(s.id);
  }

  /** Nodes begin at evenly spaced places of one common order, so that their first turns differ. */
  private void firstTurns() {
    List<Server> order = new ArrayList<>(ready);
    order.sort(
        (a, b) -> {
          int byMix = Integer.compare(mix(a.id), mix(b.id));
          return byMix != 0 ? byMix : a.id.compareTo(b.id);
        });
    double sizes = 0;
    for (Server s : order) {
      sizes += s.size;
    }
    meanSize = sizes / order.size();
    double start = settings.rank() / (double) settings.nodes();
    for (int i = 0; i < order.size(); i++) {
      Server s = order.get(i);
      double place = (i + 0.5) / order.size() - start;
      s.weight = s.size / meanSize * nearness(s);
      for (int w = 0; w < WHEELS; w++) {
        double turn = place + w / (double) (WHEELS * settings.nodes());
        s.turn[w] = wheelNow[w] + (turn - Math.floor(turn)) / s.weight;
      }
    }
    rebuild();
  }

  private static int mix(String id) {
    int h = id.hashCode() * 0x9E3779B1;
    return h ^ (h >>> 15);
  }

  // ------------------------------------------------------------ cold servers

  /** The share of its capacity that a server surely has, by the slowest warm-up stated. */
  private double warmth(Server s) {
    Rules rules = settings.rules();
    long age = now - s.since;
    if (s.since <= 0 || rules.warmUp() <= 0 || age >= rules.warmUp()) {
      return 1;
    }
    double cold = rules.coldShare();
    return cold + (1 - cold) * Math.max(0, age) / rules.warmUp();
  }

  /**
   * A whole token is asked even of a light connection: when a light one could start on less, most
   * nodes could send one to a server that had just started, and together they pushed it over.
   */
  private boolean coldAllows(Server s) {
    double warmth = warmth(s);
    if (warmth >= 1) {
      return true;
    }
    double seconds = (now - s.coldAt) / (double) SECOND;
    s.coldAt = now;
    s.coldCredit = Math.min(1, s.coldCredit + seconds * coldRate(warmth));
    return s.coldCredit >= 1;
  }

  /**
   * This node's share of the connections a second that a cold server may be sent, reckoned as if
   * the others saw as much traffic as this one and warm servers were just busy.
   */
  private double coldRate(double warmth) {
    double seconds = Math.max(5, (now - startedAt) / (double) SECOND);
    double perServer = (arrivals + 1) / seconds / Math.max(1, ready.size());
    return COLD_SAFETY * settings.rules().fallMultiple() * warmth * perServer / 0.6;
  }

  private void coldTake(Server s, double cost) {
    if (warmth(s) < 1) {
      s.coldCredit -= cost;
    }
  }

  // -------------------------------------------------------------- exceptions

  /**
   * Moves some connections off a server that is asked for more than it can do, while others have
   * room. Every node that holds some sees the same report, so each moves the share that is too
   * much.
   */
  private void relieve(Server s) {
    if (s.open.isEmpty() || !(s.load > MOVE_AT) || errorPause > 0) {
      return;
    }
    if (now - s.movedAt < MOVE_PAUSE) {
      return;
    }
    s.movedAt = now;
    double share = Math.min(MOVE_MOST, (s.load - MOVE_TO) / s.load);
    double total = 0;
    for (Held h : s.open) {
      total += h.load;
    }
    double each = total / s.open.size();
    boolean tight = tight();
    for (Held h : List.copyOf(s.open)) {
      double heavy =
          (each > 0 ? h.load / each : 1) * (tight ? 1 / Math.max(1e-3, h.type.worth()) : 1);
      if (random.nextDouble() < Math.min(MOVE_MOST, share * heavy)) {
        forget(h);
        actions.move(h.request.id());
      }
    }
  }
}
