package ashspar;

import ashspar.limits.Ending;
import ashspar.limits.LimitsSnapshot;
import ashspar.limits.Outliers;
import ashspar.limits.Shedding;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/**
 * All decisions of a node; the interface it implements, types included, is in Balancer.java.
 *
 * <p>The mechanism is the Network Dispatcher's (Goldszmidt and Hunt, "Scaling Internet Services by
 * Dynamic Allocation of Connections", sections 3 and 4): weighted round robin over weights that are
 * recomputed from a weighted load metric index. What is kept, changed and added stands in
 * docs/design.md; every departure says in its comment when it acts.
 *
 * <p>Here is the life of a request, told to the parts of the {@link Node}: {@link Weights}
 * computes, {@link Wheels} take turns, {@link Admission} says where there is room, {@link Probing}
 * asks servers, {@link Fleet} keeps their list.
 */
public final class Policy implements Balancer {
  private static final long MS = Node.MS;
  private static final long SECOND = Node.SECOND;
  private static final long PROBE_WAIT = 60 * MS; // at most: an answer takes a few ms
  private static final long PROBE_REST = SECOND; // of a server that answered a probe with an error
  private static final long RELEASE = 25 * MS; // until places that time alone frees are looked for
  private static final int HEADS = 8; // most kinds of waiting requests that are tried in one look

  /** Load taken for a server that turns a probe away as full: reports of such are not to be had. */
  private static final double FULL_LOAD = 1.1;

  private static final long TOKEN_TICK = 0;
  private static final long TOKEN_WATCH = 1;
  private static final long TOKEN_RELEASE = 2;
  private static final long TOKEN_REQUEST = 16; // timer tokens from here on name requests

  final Node node;
  private final Fleet fleet;
  private long watchWait = 2 * SECOND;
  private long releaseAt;

  /** Starts a node's balancer; the list of servers must follow. */
  public Policy(long now, Settings settings, long seed, Actions actions) {
    Balancer.require(settings != null, "settings must be given");
    Balancer.require(actions != null, "actions must be given");
    node = new Node(now, settings, seed, actions);
    fleet = new Fleet(node);
    actions.startTimer(1 + node.random.nextLong(Node.INTERVAL), TOKEN_TICK);
    if (settings.pullsDiscovery()) {
      actions.startTimer(1 + node.random.nextLong(watchWait), TOKEN_WATCH);
    }
  }

  @Override
  public void updateSettings(long at, Settings changed) {
    node.now = at;
    Balancer.require(changed != null, "settings must be given");
    node.configure(changed);
  }

  @Override
  public void requestReceived(long at, Request request) {
    node.now = at;
    Held h = held(request);
    boolean first = !request.midFlow() && !request.reconnecting() && !request.retry();
    node.arrivals += first ? 1 : 0;
    node.limits.worths.hinted(request.loadHint());
    node.limits.retries.request(at);
    if (request.reconnecting()) {
      node.limits.returned(at, request.clientKey());
    }
    node.limits.probes.earn(node.settings.prices().probe(), request.retry());
    // Close to the deadline no probe is waited for: a request that kept waiting was never answered.
    if (request.timeLeftMicros() > PROBE_WAIT && node.settings.permissions().probes()) {
      node.probing.lookAhead(h);
    }
    if (h.awaited > 0) {
      wake(
          h,
          Math.min(
              PROBE_WAIT, Math.min(h.type.answerGoalMicros(), request.timeLeftMicros()) / 4 + 1));
    } else {
      place(h);
    }
  }

  private Held held(Request request) {
    Balancer.require(request != null, "a request must be given");
    RequestClass type = node.classes.get(request.requestClass());
    Balancer.require(type != null, "unknown class '" + request.requestClass() + "'");
    int most = node.settings.permissions().maxAttempts();
    Held h = new Held(request, type, most, node.now + request.timeLeftMicros());
    Held known = node.requests.putIfAbsent(request.id(), h);
    Balancer.require(known == null, "request " + request.id() + " is known");
    return h;
  }

  private void wake(Held h, long delay) {
    node.actions.startTimer(Math.max(1, delay), TOKEN_REQUEST + h.request.id());
  }

  /** Sends a request to the next server in turn, or lets it wait for one, or answers it. */
  private void place(Held h) {
    h.awaited = 0;
    long left = h.sendBy() - node.now - node.settings.timerResolutionMicros();
    if (left <= 0
        || h.attempts >= h.mostAttempts
        || (h.attempts > 0 && !node.limits.retries.allows(node.now))
        || node.limits.room.wait(h.request.tenant(), h.type.value(), node.now) > left) {
      answer(h);
      return;
    }
    Held out = node.limits.room.toTurnAway(h, h.request.tenant(), h.type.value());
    if (out != null) {
      answer(out);
    }
    if (out != h) {
      // Whoever waits already goes first, if he is worth as much.
      h.ticket =
          node.limits.room.enter(h, h.request.tenant(), h.type.value(), h.deadline, node.now);
      wake(h, left);
      release();
    }
  }

  /** Lets out of the waiting room whom there are places for. */
  private void release() {
    while (node.limits.room.size() > 0 && node.limits.room.offer(this::letOut, HEADS, node.now)) {}
    if (node.limits.room.size() > 0 && node.now >= releaseAt) {
      releaseAt = node.now + RELEASE;
      node.actions.startTimer(RELEASE, TOKEN_RELEASE);
    }
  }

  private boolean letOut(Held h) {
    Server s = node.admission.find(h);
    if (s == null || (h.attempts > 0 && !node.limits.retries.allows(node.now))) {
      return false;
    }
    h.ticket = null;
    node.wheels.taken(s);
    s.input++;
    node.admission.coldTake(s, node.cost(h));
    joined(h, s, false);
    node.limits.sent(node.now, s.limits, h.attempts++ > 0);
    h.at = s;
    h.sentAt = node.now;
    h.tried.add(s);
    node.actions.send(h.request.id(), s.id, Math.min(h.deadline, node.now + patience(h)));
    return true;
  }

  private void joined(Held h, Server s, boolean shown) {
    h.added =
        node.limits.joined(node.now, s.limits, node.cost(h), h.request.affinityGroup(), shown);
  }

  /**
   * How long an attempt is waited for: many times what servers take now, so that a lost request
   * costs no whole deadline; attempts that were cut short of that were lost work, and tried again.
   */
  private long patience(Held h) {
    long left = h.deadline - node.now;
    long usual = node.limits.patience.usual();
    boolean more = h.attempts < h.mostAttempts;
    boolean again = more && h.type.repeatability() == Repeatability.FREE && left > 2 * usual;
    return again && node.limits.retries.allows(node.now) ? usual : left;
  }

  private void answer(Held h) {
    boolean never = h.ranAt == null && h.at == null; // what is out may run
    boolean dropped =
        h.type.repeatability() == Repeatability.GUARDED
            && h.type.deduplicationScope() == DeduplicationScope.ALL;
    forget(h);
    if (never || h.type.repeatability() == Repeatability.FREE || dropped) {
      node.actions.refuse(h.request.id(), comeBack(h));
    } else {
      node.actions.fail(h.request.id());
    }
  }

  private long comeBack(Held h) {
    long most = node.settings.permissions().maxRetryAfterMicros();
    return node.settings.permissions().retryAfter()
        ? node.limits.room.comeBack(h.request.tenant(), h.type.value(), node.now, most)
        : 0;
  }

  /** The one place where a request is forgotten, and where what it still holds is given back. */
  private void forget(Held h) {
    node.requests.remove(h.request.id());
    if (h.ticket != null) {
      node.limits.room.leave(h.ticket);
      h.ticket = null;
    }
    if (h.at != null) {
      node.limits.left(node.now, h.at.limits, h.added, h.request.affinityGroup());
      if (h.established) {
        node.limits.gone(node.now, h.request.clientKey(), !h.request.midFlow());
      } else {
        node.limits.ended(node.now, h.at.limits, Ending.CALLED_OFF);
        h.at.limits.failed(node.now, Ending.CALLED_OFF);
      }
    }
    if (h.established && h.at.open.remove(h)) {
      node.openConnections--;
      node.limits.shares.closed(h.request.tenant());
    }
  }

  private void opened(Held h, Server s) {
    h.established = true;
    h.at = s;
    s.open.add(h);
    node.openConnections++;
    node.limits.shares.opened(h.request.tenant());
  }

  @Override
  public void connectionResumed(long at, Request request, String server) {
    node.now = at;
    Held h = held(request);
    h.deadline = Long.MAX_VALUE;
    h.attempts = 1;
    opened(
        h, node.servers.computeIfAbsent(server, name -> new Server(name, node.limits.join(name))));
    joined(h, h.at, true);
  }

  @Override
  public void connectionAccepted(long at, long id, int attempt, String server, long elapsed) {
    node.now = at;
    Held h = node.requests.get(id);
    if (h != null && h.at != null && !h.established && h.attempts == attempt + 1) {
      node.limits.patience.accepted(elapsed);
      node.limits.answered(at, h.at.limits, elapsed);
      opened(h, h.at);
      node.wheels.unpark(h.at);
      release();
    }
  }

  @Override
  public void connectionMeasured(
      long at, long id, int attempt, String server, MeasurementKind kind, double value) {
    node.now = at;
    Held h = node.requests.get(id);
    if (h == null || !h.established) {
      return;
    }
    if (kind == MeasurementKind.LOAD) {
      h.load = value >= 0 && value < 1e12 ? value : h.load;
      node.limits.estimate.told(h.type.name(), h.load / SECOND);
    } else if (h.at.strain.note(at, value * MS > h.type.messageDelayGoalMicros())) {
      overloaded(h.at);
    }
  }

  /** A deep probe waits like a request: overloaded servers turn it away and send no report. */
  private void overloaded(Server s) {
    s.metrics[Weights.LOAD] = s.load() > FULL_LOAD ? s.load() : FULL_LOAD;
    s.reportAt = node.now;
    s.limits.reported(node.now, s.load(), Double.NaN);
    node.weights.recompute(s);
    relieve(s);
  }

  @Override
  public void attemptEnded(long at, Outcome outcome) {
    node.now = at;
    Balancer.require(outcome != null, "an outcome must be given");
    Server s = node.servers.get(outcome.server());
    if (s != null && !outcome.report().isEmpty()) {
      node.weights.report(s, outcome.report());
    }
    Held h = node.requests.get(outcome.id());
    if (h == null || outcome.attempt() != h.attempts - 1) {
      return;
    }
    Server was = h.at;
    Ending how = outcome.status().setupOutcome;
    if (how == Ending.TIMED_OUT && node.limits.patience.tooShort(outcome.elapsedMicros())) {
      how = Ending.CALLED_OFF; // its deadline left it no time: that tells nothing of the server
    } else if (how == Ending.CALLED_OFF && !h.established && !outcome.closed()) {
      how = Ending.REFUSED; // a server that drains sends its clients away
    }
    if (!h.established) {
      node.limits.ended(at, was.limits, how);
      node.limits.left(at, was.limits, h.added, h.request.affinityGroup());
      h.at = null;
    }
    long rest = was.limits.failed(at, how);
    node.wheels.unpark(was);
    if (rest > Outliers.FIRST) {
      node.say(was.id + " goes on failing: it rests for " + rest / MS + " ms");
    }
    if (how == Ending.TIMED_OUT) {
      node.limits.patience.timedOut(outcome.elapsedMicros());
    }
    if (outcome.closed() || h.established) {
      boolean broken = outcome.status() == Status.RESET || outcome.status() == Status.CANCELLED;
      if (h.established && broken) {
        node.limits.sentAway(at);
      }
      forget(h);
      release();
      return;
    }
    if (!outcome.status().neverRan && h.ranAt == null) {
      h.ranAt = was;
      h.ranSent = h.sentAt;
    }
    if (outcome.status() == Status.CONNECT_FAILED && was.state == State.READY) {
      node.probing.quiesce(was);
      node.probing.probe(was);
    }
    place(h);
    release();
  }

  @Override
  public void requestWithdrawn(long at, long id) {
    end(at, id, this::forget);
  }

  @Override
  public void answerNow(long at, long id) {
    end(at, id, this::answer);
  }

  private void end(long at, long id, Consumer<Held> how) {
    node.now = at;
    Held h = node.requests.get(id);
    if (h != null) {
      how.accept(h);
      release();
    }
  }

  @Override
  public void timerExpired(long at, long token) {
    node.now = at;
    if (token == TOKEN_TICK) {
      tick();
    } else if (token == TOKEN_WATCH) {
      node.actions.watchDiscovery(true);
    } else if (token == TOKEN_RELEASE) {
      node.probing.renew();
      node.wheels.unpark();
      release();
    } else {
      Held h = node.requests.get(token - TOKEN_REQUEST);
      boolean due = h != null && h.sendBy() - node.now <= node.settings.timerResolutionMicros();
      if (h != null && h.at == null && (due || h.awaited > 0)) {
        place(h);
      }
    }
  }

  private void tick() {
    node.actions.startTimer(Node.INTERVAL, TOKEN_TICK);
    node.admission.look();
    node.probing.tick();
    measure();
    node.weights.recompute();
    node.wheels.unpark();
    if (limits().isLimiting()) {
      node.say("limits bind: " + limits().summary());
    }
    release();
  }

  private void measure() {
    double mean = node.weights.meanLoad();
    node.limits.measure(node.now, mean, node.openConnections, node.limits.division.nodes(node.now));
  }

  @Override
  public void updateBudgetShare(long at, BudgetShare share) {
    node.now = at;
    Balancer.require(share != null, "a share must be given");
    if (node.admission.share(share)) {
      release();
    }
  }

  @Override
  public void assignServers(long at, Set<String> servers) {
    node.now = at;
    node.own = servers;
    node.servers.values().forEach(s -> s.own = servers == null || servers.contains(s.id));
    node.limits.noRoom.forget();
  }

  @Override
  public LimitsSnapshot limits() {
    return node.limits.snapshot(node.now);
  }

  /** Every node that holds some sees the same report, so each moves the share that is too much. */
  private void relieve(Server s) {
    double share =
        s.open.isEmpty() ? 0 : Shedding.share(s.load(), node.limits.spare(node.now, s.limits));
    if (share > 0 && s.moving.over(node.now)) {
      ToDoubleFunction<Held> worth =
          h -> node.limits.worthAt(s.limits, node.value(h), h.request.affinityGroup());
      ToDoubleFunction<Held> load = h -> Math.max(1, h.load);
      for (Held h : Shedding.choose(s.open, share, load, worth, node.random::nextDouble)) {
        forget(h);
        node.actions.move(h.request.id());
      }
    }
  }

  @Override
  public void probeCompleted(
      long at, String server, Status status, long elapsed, List<Double> row) {
    node.now = at;
    Balancer.require(status != null, "a probe's answer needs a status");
    Server s = node.servers.get(server);
    if (s == null) {
      return;
    }
    s.probing = false;
    if (status == Status.OK) {
      s.limits.record.probed(at);
      node.weights.report(s, row);
      node.weights.answered(s, elapsed);
      node.probing.restore(s);
      node.weights.recompute(s);
      relieve(s);
    } else if (status == Status.FULL) {
      overloaded(s);
    } else if (status == Status.TIMEOUT || status == Status.CONNECT_FAILED) {
      node.probing.quiesce(s);
    } else {
      // It begins to drain, before the list tells: left due, it took up all the probes.
      s.restUntil = node.now + PROBE_REST;
      s.askFrom = node.now + 5 * PROBE_REST;
    }
    node.wheels.unpark(s);
    List<Held> waiting = List.copyOf(s.waiting);
    s.waiting.clear();
    for (Held h : waiting) {
      if (--h.awaited == 0 && node.requests.get(h.request.id()) == h && h.at == null) {
        place(h);
      }
    }
    release();
  }

  @Override
  public void updateServers(long at, ListKind kind, List<ServerEntry> entries) {
    node.now = at;
    Balancer.require(kind != null && entries != null, "a list needs a kind and entries");
    if (kind != ListKind.FAILED) {
      watchWait = kind == ListKind.CACHED ? watchWait : 2 * SECOND;
      fleet.take(kind, entries);
      measure();
      release();
    } else if (node.settings.pullsDiscovery()) {
      node.actions.startTimer(watchWait / 2 + node.random.nextLong(watchWait), TOKEN_WATCH);
      watchWait = Math.min(16 * SECOND, 2 * watchWait);
    }
  }
}
