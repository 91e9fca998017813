package brassbank.membership;

import brassbank.membership.Message.Kind;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The SWIM protocol state machine of one member: its table of members, the probes it has sent, and
 * the updates it disseminates. The caller passes the current time with each call, in microseconds
 * of a clock that does not go back. Not thread-safe: all calls must come from one thread.
 *
 * <p>Timeouts are measured in <em>active</em> time, which excludes the time that the process was
 * suspended. A process that was suspended has received nothing, and must not mistake that for the
 * silence of the other members.
 */
public final class Membership {
  private static final long SECOND_MICROS = 1_000_000;

  /** A longer interval between two calls means that the process was suspended. */
  private static final long MAX_STEP_MICROS = 5 * Settings.TICK_MICROS / 2;

  /** Relays per indirect probe, and receivers of gossip per tick; both papers use 3. */
  private static final int FANOUT = 3;

  /** Additional receivers per tick while the queued updates exceed one datagram. */
  private static final int MAX_EXTRA_FANOUT = 5;

  /** Assumed number of updates in one datagram. */
  private static final int UPDATES_PER_DATAGRAM = 20;

  /** Interval of pings to dead members, which detect that a network partition has healed. */
  private static final int RECONNECT_INTERVAL_TICKS = 10;

  /** A joining member pings a member that was declared dead less than this ago. */
  private static final int RECENTLY_DEAD_SECONDS = 120;

  /** Limit on the pings that report a suspicion or a death to the member concerned. */
  private static final int MAX_NOTIFICATIONS_PER_TICK = 10;

  /**
   * How long a probe is kept after its ping was sent, so that a late ack still counts as a
   * round-trip sample.
   */
  private static final long LATE_ACK_WINDOW_MICROS = 4 * SECOND_MICROS;

  /** Limit on the answers to other members. */
  private static final int MAX_ANSWERS_PER_SECOND = 1_000;

  /**
   * Limit on the bytes of whole views sent; beyond it a request is answered with queued updates
   * only.
   */
  private static final int MAX_VIEW_BYTES_PER_SECOND = 128 * 1024;

  /** Upper bound of the first delay between attempts to contact the seeds. */
  private static final long INITIAL_JOIN_BACKOFF_MICROS = SECOND_MICROS / 4;

  /** Upper bound of the delay after repeated doubling. */
  private static final long MAX_JOIN_BACKOFF_MICROS = 10 * SECOND_MICROS;

  /** Attempts to contact the seeds before the view of a lone member may count as settled. */
  private static final int MIN_JOIN_ATTEMPTS = 3;

  /**
   * Conflicts over the name within {@link #NAME_CONFLICT_WINDOW_MICROS} after which this process
   * yields it.
   */
  private static final int MAX_NAME_CONFLICTS = 2;

  private static final long NAME_CONFLICT_WINDOW_MICROS = 30 * SECOND_MICROS;

  /**
   * Minimum delay before a displaced process asks for its name again; jitter doubles it at most.
   */
  private static final long NAME_RETRY_MICROS = 60 * SECOND_MICROS;

  /** Maximum number of addresses of earlier members that a displaced process keeps. */
  private static final int MAX_LAST_KNOWN_ADDRESSES = 32;

  /**
   * Receivers of the leave message. It is sent once, by a process that stops, so that it goes to
   * more members than gossip does.
   */
  private static final int LEAVE_FANOUT = 8;

  private final Settings settings;
  private final Comparator<Incarnation> incarnationOrder;
  private final RandomGenerator random;
  private final MemberEntry self;
  private final MemberTable table;
  private final UpdateQueue updateQueue = new UpdateQueue();
  private final RoundTripEstimator roundTripEstimator = new RoundTripEstimator();
  private final Counters counters = new Counters();
  private final TokenBucket answerLimit;
  private final TokenBucket viewByteLimit;
  private final TokenBucket pullLimit;

  private final Map<Integer, Probe> probes = new LinkedHashMap<>();
  private final Map<Integer, RelayedPing> relayedPings = new LinkedHashMap<>();
  private final List<MemberEntry> pendingNotifications = new ArrayList<>();

  /** Members to probe next, last first: SWIM's round robin, shuffled anew for each pass. */
  private final List<String> probeOrder = new ArrayList<>();

  private List<InetSocketAddress> seeds;
  private int joinAttempts;
  private long nextJoinAttemptAt;

  /** The latest time that the caller has passed. */
  private long now;

  /** Active time: the time passed, less the time that the process was suspended. */
  private long activeMicros;

  private long nextTick;
  private long tickCount;
  private long nextProbeAt;
  private int sequence;
  private int localHealth;
  private long version = 1;
  private long changedAtActive;
  private boolean settled;
  private View view;
  private boolean left;

  /** Whether another process owns this member's name. */
  private boolean displaced;

  /** Addresses of members that were live when this process yielded its name. */
  private final List<InetSocketAddress> lastKnown = new ArrayList<>();

  private int nameConflicts;
  private long nameConflictAt;
  private long nameRetryAt;

  /**
   * Creates the member and queues its own entry for dissemination.
   *
   * @param self this member: alive, with the start time read from the machine's clock
   * @param seeds addresses of possible members; the member's own address is ignored
   * @param random decides probe order, receivers of gossip and jitter
   * @param now the current time, in microseconds
   */
  public Membership(
      Settings settings,
      Update self,
      List<InetSocketAddress> seeds,
      RandomGenerator random,
      long now) {
    this(settings, self, seeds, random, now, Incarnation::compareTo);
  }

  /** Creates a member with another order of incarnations, as a test plants it. */
  Membership(
      Settings settings,
      Update self,
      List<InetSocketAddress> seeds,
      RandomGenerator random,
      long now,
      Comparator<Incarnation> incarnationOrder) {
    this.incarnationOrder = incarnationOrder;
    this.settings = settings;
    this.random = random;
    this.self = new MemberEntry(self, now);
    this.seeds = List.copyOf(seeds);
    this.now = now;
    table = new MemberTable(this.self);
    answerLimit = new TokenBucket(MAX_ANSWERS_PER_SECOND, now);
    viewByteLimit = new TokenBucket(MAX_VIEW_BYTES_PER_SECOND, now);
    pullLimit = new TokenBucket(2, now);
    sequence = random.nextInt(1, 1 << 20);
    nextTick = now;
    changedAtActive = 0;
    updateQueue.enqueue(this.self);
  }

  /** Returns the time at which {@link #tick} should be called next, in microseconds. */
  public long nextTickAtMicros() {
    return nextTick;
  }

  private void advanceTime(long time) {
    long step = Math.max(0, time - now);
    activeMicros += Math.min(step, MAX_STEP_MICROS);
    if (step > MAX_STEP_MICROS) {
      // The process was suspended. Lifeguard: doubt the own health before that of the others.
      adjustLocalHealth(1);
    }
    now = Math.max(now, time);
  }

  /**
   * Runs all periodic work: probes, time-outs, gossip and the search for seeds. The caller calls it
   * at {@link #nextTickAtMicros}, or as soon afterwards as it can; an earlier call does nothing.
   */
  public void tick(long time, Outbox out) {
    advanceTime(time);
    if (left || now < nextTick) {
      return;
    }
    nextTick = now + Settings.TICK_MICROS;
    tickCount++;
    if (displaced) {
      retryName(out);
    } else {
      expireSuspicions(out);
      endProbes(out);
      expireRelayedPings(out);
      if (activeMicros >= nextProbeAt) {
        nextProbeAt =
            activeMicros
                + settings.probeIntervalTicks()
                    * Settings.TICK_MICROS
                    * (1 + Math.min(localHealth, 1))
                - Settings.TICK_MICROS / 2;
        probe(out);
      }
      if (tickCount % RECONNECT_INTERVAL_TICKS == 0) {
        pingDeadMember(out);
        expireTombstones(out);
      }
      contactSeeds(out);
      notifyAccused(out);
      gossip(out);
    }
    updateSettled(out);
  }

  private void updateSettled(Outbox out) {
    boolean stable =
        !displaced
            && !table.hasSuspects()
            && activeMicros - changedAtActive >= settings.settleMicros()
            && (!table.live().isEmpty() || joinAttempts >= MIN_JOIN_ATTEMPTS || seeds.isEmpty());
    if (stable != settled) {
      settled = stable;
      version++;
      view = null;
      out.viewChanged(new ViewChange(version, null, null));
    }
  }

  private void probe(Outbox out) {
    MemberEntry target = nextTarget();
    if (target == null) {
      return;
    }
    counters.probes++;
    long timeout =
        Math.max(settings.minProbeTimeoutMicros(), roundTripEstimator.timeoutMicros())
            * (1 + localHealth);
    timeout = Math.min(timeout, SECOND_MICROS);
    Probe probe =
        new Probe(
            nextSequence(),
            target.name,
            target.incarnation,
            activeMicros,
            activeMicros + timeout,
            activeMicros + 3 * timeout);
    probes.put(probe.sequence, probe);
    out.send(target.address, message(Kind.PING, probe.sequence, target.name, target));
  }

  private MemberEntry nextTarget() {
    for (int i = 0; i < 2; i++) {
      while (!probeOrder.isEmpty()) {
        MemberEntry entry = table.get(probeOrder.remove(probeOrder.size() - 1));
        if (entry != null && entry.state.isLive()) {
          return entry;
        }
      }
      for (MemberEntry entry : table.live()) {
        probeOrder.add(entry.name);
        int other = random.nextInt(probeOrder.size());
        probeOrder.set(probeOrder.size() - 1, probeOrder.get(other));
        probeOrder.set(other, entry.name);
      }
    }
    return null;
  }

  private int nextSequence() {
    sequence = sequence == Integer.MAX_VALUE ? 1 : sequence + 1;
    return sequence;
  }

  private void endProbes(Outbox out) {
    List<Probe> failed = new ArrayList<>();
    probes
        .values()
        .removeIf(
            probe -> {
              if (!probe.ended && !probe.indirectSent && activeMicros >= probe.indirectAtMicros) {
                sendIndirectProbes(probe, out);
              }
              if (!probe.ended && activeMicros >= probe.deadlineMicros) {
                probe.ended = true;
                failed.add(probe);
              }
              return activeMicros - probe.sentAtMicros > LATE_ACK_WINDOW_MICROS;
            });
    for (Probe probe : failed) {
      counters.failedProbes++;
      // A missing nack of a relay suggests that this member receives nothing (Lifeguard).
      adjustLocalHealth(probe.missingNacks > 0 || !probe.indirectSent ? 1 : 0);
      MemberEntry target = table.get(probe.target);
      if (target != null && target.incarnation.compareTo(probe.incarnation) <= 0) {
        handleSuspicion(target, self.name, true, out);
      }
    }
  }

  private void sendIndirectProbes(Probe probe, Outbox out) {
    probe.indirectSent = true;
    MemberEntry target = table.get(probe.target);
    if (target == null) {
      return;
    }
    List<MemberEntry> relays = table.randomLive(FANOUT, target, random);
    probe.missingNacks = relays.size();
    for (MemberEntry relay : relays) {
      out.send(relay.address, message(Kind.PING_REQ, probe.sequence, probe.target, target));
    }
  }

  private void expireRelayedPings(Outbox out) {
    relayedPings
        .entrySet()
        .removeIf(
            entry -> {
              RelayedPing ping = entry.getValue();
              if (activeMicros < ping.nackAtMicros()) {
                return false;
              }
              out.send(ping.requester(), message(Kind.NACK, ping.requesterSequence(), "", null));
              return true;
            });
  }

  private void adjustLocalHealth(int delta) {
    localHealth = Math.max(0, Math.min(settings.maxLocalHealth(), localHealth + delta));
  }

  /**
   * Pings a random dead member. When a network partition has healed, the members on its other side
   * answer, and both sides merge again.
   */
  private void pingDeadMember(Outbox out) {
    List<MemberEntry> dead = new ArrayList<>();
    for (MemberEntry entry : table.tombstones()) {
      if (entry.state == State.DEAD) {
        dead.add(entry);
      }
    }
    if (!dead.isEmpty()) {
      MemberEntry target = dead.get(random.nextInt(dead.size()));
      out.send(target.address, message(Kind.PING, nextSequence(), target.name, target));
    }
  }

  private void expireTombstones(Outbox out) {
    for (MemberEntry entry : table.expireTombstones(now, settings.tombstoneRetentionMicros())) {
      updateQueue.remove(entry);
      recordChange(entry.toMember(), null, out);
    }
  }

  /**
   * Requests the view of seeds that are not among the live members. The delay between two attempts
   * has full jitter: it is uniform up to a limit that doubles with each attempt.
   */
  private void contactSeeds(Outbox out) {
    if (seeds.isEmpty() || activeMicros < nextJoinAttemptAt) {
      return;
    }
    List<InetSocketAddress> missing = new ArrayList<>(seeds);
    missing.remove(self.address);
    table.live().forEach(entry -> missing.remove(entry.address));
    long limit =
        Math.min(MAX_JOIN_BACKOFF_MICROS, INITIAL_JOIN_BACKOFF_MICROS << Math.min(joinAttempts, 8));
    nextJoinAttemptAt = activeMicros + 1 + random.nextLong(limit);
    joinAttempts++;
    if (table.live().isEmpty()) {
      missing.forEach(address -> out.send(address, message(Kind.PULL, nextSequence(), "", null)));
    } else if (!missing.isEmpty()) {
      InetSocketAddress address = missing.get(random.nextInt(missing.size()));
      out.send(address, message(Kind.PULL, nextSequence(), "", null));
    }
  }

  private void gossip(Outbox out) {
    if (updateQueue.isEmpty()) {
      return;
    }
    int receivers = FANOUT + Math.min(MAX_EXTRA_FANOUT, updateQueue.size() / UPDATES_PER_DATAGRAM);
    for (MemberEntry receiver : table.randomLive(receivers, null, random)) {
      if (!updateQueue.isEmpty()) {
        out.send(receiver.address, message(Kind.GOSSIP, 0, "", receiver));
      }
    }
  }

  /**
   * Pings members that are suspected or declared dead, with that update, so that they refute it.
   */
  private void notifyAccused(Outbox out) {
    for (int i = 0; i < MAX_NOTIFICATIONS_PER_TICK && !pendingNotifications.isEmpty(); i++) {
      MemberEntry accused =
          pendingNotifications.remove(random.nextInt(pendingNotifications.size()));
      accused.notificationQueued = false;
      if (accused.deferredAccuser != null) {
        // The suspicion time-out starts with the notification, however long the queue was.
        if (accused.state == State.ALIVE
            && accused.incarnation.equals(accused.deferredIncarnation)) {
          suspect(accused, accused.deferredAccuser, out);
        }
        accused.deferredAccuser = null;
      }
      if (accused.state != State.LEFT && !accused.reportedBy.isEmpty()) {
        out.send(accused.address, message(Kind.PING, nextSequence(), accused.name, accused));
      }
    }
  }

  private void queueNotification(MemberEntry entry) {
    if (!entry.notificationQueued) {
      entry.notificationQueued = true;
      pendingNotifications.add(entry);
    }
  }

  /**
   * Builds a message. If the receiver is not believed to be alive, its own entry goes first; queued
   * updates fill the rest of the datagram.
   */
  private Message message(Kind kind, int number, String target, MemberEntry receiver) {
    List<Update> updates = new ArrayList<>();
    Update sender = self.toUpdate(now);
    int freeBytes =
        Message.MAX_BYTES - Message.FIXED_BYTES - sender.sizeBytes() - 1 - target.length();
    if (receiver != null && receiver.state != State.ALIVE) {
      // Lifeguard's buddy system: the suspect is the first to receive the suspicion.
      Update buddy = receiver.toUpdate(now);
      updates.add(buddy);
      freeBytes -= buddy.sizeBytes();
    }
    updateQueue.drainInto(freeBytes, retransmitLimit(), now, updates);
    return new Message(kind, number, sender, table.digest(), target, updates);
  }

  /** Returns how often each update is sent: proportional to the logarithm of the fleet's size. */
  private int retransmitLimit() {
    return settings.retransmitMultiplier() * (int) Math.ceil(Math.log10(table.live().size() + 2.0));
  }

  /**
   * Handles a received message.
   *
   * @param from the address of the sender, to which answers go
   */
  public void receive(long time, InetSocketAddress from, Message message, Outbox out) {
    advanceTime(time);
    if (left) {
      return;
    }
    Update sender = message.sender();
    if (sender.name().equals(self.name)
        && sender.incarnation().startTime() == self.incarnation.startTime()) {
      counters.ownDatagrams++;
      return;
    }
    if (sender.name().equals(self.name)) {
      mergeSelf(sender, out);
      return;
    }
    message.updates().forEach(update -> merge(update, message.kind(), sender.name(), out));
    if (displaced) {
      return;
    }
    MemberEntry entry = table.get(sender.name());
    if (entry != null && incarnationOrder.compare(sender.incarnation(), entry.incarnation) < 0) {
      counters.staleDatagrams++;
      answerStale(from, entry, out);
      return;
    }
    merge(sender, message.kind(), sender.name(), out);
    entry = table.get(sender.name());
    if (entry == null) {
      return;
    }
    switch (message.kind()) {
      case PING -> {
        if (message.target().isEmpty() || message.target().equals(self.name)) {
          answer(from, Kind.ACK, message.sequence(), entry, out);
        }
      }
      case ACK -> handleAck(message, out);
      case PING_REQ -> relayPing(from, message, out);
      case NACK -> {
        Probe probe = probes.get(message.sequence());
        if (probe != null && probe.missingNacks > 0) {
          probe.missingNacks--;
        }
      }
      case PULL -> sendView(from, message, entry, out);
      default -> {
        if (entry.state != State.ALIVE) {
          queueNotification(entry);
        }
      }
    }
    compareDigests(message, entry, out);
  }

  private void answer(
      InetSocketAddress to, Kind kind, int number, MemberEntry receiver, Outbox out) {
    if (answerLimit.tryConsume(1, now)) {
      out.send(to, message(kind, number, "", receiver));
    } else {
      counters.unansweredRequests++;
    }
  }

  /**
   * Sends the known newer incarnation to a member that uses an older one: its clock was set back,
   * or another process has taken its name.
   */
  private void answerStale(InetSocketAddress from, MemberEntry entry, Outbox out) {
    if (answerLimit.tryConsume(1, now)) {
      Message message =
          new Message(
              Kind.GOSSIP, 0, self.toUpdate(now), table.digest(), "", List.of(entry.toUpdate(now)));
      out.send(from, message);
    }
  }

  private void handleAck(Message message, Outbox out) {
    RelayedPing ping = relayedPings.remove(message.sequence());
    if (ping != null) {
      if (ping.target().equals(message.sender().name()) && answerLimit.tryConsume(1, now)) {
        Message forwarded =
            new Message(
                Kind.ACK,
                ping.requesterSequence(),
                self.toUpdate(now),
                table.digest(),
                ping.target(),
                List.of(message.sender()));
        out.send(ping.requester(), forwarded);
      }
      return;
    }
    Probe probe = probes.get(message.sequence());
    if (probe == null) {
      return;
    }
    boolean direct = probe.target.equals(message.sender().name());
    if (!direct && !probe.target.equals(message.target())) {
      return;
    }
    if (direct) {
      roundTripEstimator.addSample(activeMicros - probe.sentAtMicros);
      probes.remove(probe.sequence);
    }
    if (probe.ended) {
      counters.lateAcks++;
    } else {
      probe.ended = true;
      adjustLocalHealth(-1);
    }
  }

  private void relayPing(InetSocketAddress from, Message message, Outbox out) {
    MemberEntry target = table.get(message.target());
    if (target == null || target == self || !answerLimit.tryConsume(1, now)) {
      return;
    }
    int number = nextSequence();
    long timeout = Math.max(settings.minProbeTimeoutMicros(), roundTripEstimator.timeoutMicros());
    relayedPings.put(
        number,
        new RelayedPing(
            from,
            message.sequence(),
            target.name,
            activeMicros + Math.min(SECOND_MICROS, timeout)));
    out.send(target.address, message(Kind.PING, number, target.name, target));
  }

  /**
   * Anti-entropy: requests the sender's view when the digests differ although no update is being
   * disseminated.
   */
  private void compareDigests(Message message, MemberEntry sender, Outbox out) {
    boolean idle = updateQueue.isEmpty() && activeMicros - changedAtActive >= SECOND_MICROS / 2;
    if (message.kind() != Kind.PULL
        && message.digest() != table.digest()
        && sender.state.isLive()
        && (idle || table.live().size() < 2)
        && pullLimit.tryConsume(1, now)) {
      counters.viewRequests++;
      out.send(sender.address, message(Kind.PULL, nextSequence(), "", sender));
    }
  }

  /**
   * Sends the whole view in as many datagrams as it needs, and then requests the requester's view
   * in exchange (push-pull), unless this request already was the second half of an exchange.
   */
  private void sendView(InetSocketAddress to, Message message, MemberEntry requester, Outbox out) {
    if (message.digest() == table.digest()) {
      answer(to, Kind.GOSSIP, 0, requester, out);
      return;
    }
    int capacity = Message.MAX_BYTES - Message.FIXED_BYTES - self.toUpdate(now).sizeBytes() - 1;
    long bytes = 0;
    List<List<Update>> parts = new ArrayList<>();
    int freeBytes = 0;
    for (MemberEntry entry : table.all()) {
      Update update = entry.toUpdate(now);
      if (entry == self) {
        continue;
      }
      if (parts.isEmpty()
          || freeBytes < update.sizeBytes()
          || parts.get(parts.size() - 1).size() == Message.MAX_UPDATES) {
        parts.add(new ArrayList<>());
        freeBytes = capacity;
      }
      parts.get(parts.size() - 1).add(update);
      freeBytes -= update.sizeBytes();
      bytes += update.sizeBytes();
    }
    if (!viewByteLimit.tryConsume(bytes, now)) {
      counters.unansweredRequests++;
      answer(to, Kind.GOSSIP, 0, requester, out);
      return;
    }
    counters.viewsSent++;
    for (List<Update> part : parts) {
      out.send(to, new Message(Kind.VIEW, 0, self.toUpdate(now), table.digest(), "", part));
    }
    if (message.sequence() != 0) {
      out.send(to, message(Kind.PULL, 0, "", requester));
    }
  }

  /**
   * Merges an update into the table. A newer incarnation wins; of equal incarnations the later
   * state in the order of {@link State} wins.
   */
  private void merge(Update update, Kind kind, String reporter, Outbox out) {
    if (update.name().equals(self.name)) {
      mergeSelf(update, out);
      return;
    }
    if (displaced) {
      return;
    }
    MemberEntry entry = table.get(update.name());
    if (entry == null) {
      addMember(update, out);
      return;
    }
    int newer = incarnationOrder.compare(update.incarnation(), entry.incarnation);
    if (update.state() == State.SUSPECT && (newer < 0 || (newer == 0 && !entry.state.isLive()))) {
      sendCorrection(reporter, entry, out);
    }
    if (newer > 0) {
      mergeNewer(entry, update, kind, reporter, out);
    } else if (newer == 0) {
      switch (update.state()) {
        case SUSPECT -> handleSuspicion(entry, update.reportedBy(), kind != Kind.VIEW, out);
        case DEAD -> mergeDead(entry, update, kind, reporter, out);
        case LEFT -> {
          if (entry.state != State.LEFT) {
            replace(entry, update, State.LEFT, out);
          }
        }
        default -> {
          // ALIVE of a known incarnation carries no new information.
        }
      }
    }
  }

  /** Sends the known state to a member that spreads an outdated suspicion: it missed an update. */
  private void sendCorrection(String reporter, MemberEntry entry, Outbox out) {
    MemberEntry outdated = table.get(reporter);
    if (outdated != null && outdated.state.isLive() && answerLimit.tryConsume(1, now)) {
      out.send(
          outdated.address,
          new Message(
              Kind.GOSSIP,
              0,
              self.toUpdate(now),
              table.digest(),
              "",
              List.of(entry.toUpdate(now))));
    }
  }

  private void addMember(Update update, Outbox out) {
    long changedAt = now - update.ageSeconds() * SECOND_MICROS;
    if (update.state().isLive()
        ? !table.hasCapacity()
        : now - changedAt >= settings.tombstoneRetentionMicros()) {
      counters.rejectedMembers += update.state().isLive() ? 1 : 0;
      return;
    }
    MemberEntry entry = new MemberEntry(update, update.state().isLive() ? now : changedAt);
    entry.state = update.state() == State.SUSPECT ? State.ALIVE : update.state();
    table.add(entry);
    updateQueue.enqueue(entry);
    recordChange(null, entry.toMember(), out);
    if (update.state() == State.SUSPECT) {
      handleSuspicion(entry, update.reportedBy(), true, out);
    } else if (update.state() == State.DEAD && update.ageSeconds() < RECENTLY_DEAD_SECONDS) {
      // A joining member may have this from one side of a partition; the member may be alive.
      queueNotification(entry);
    }
  }

  private void mergeNewer(
      MemberEntry entry, Update update, Kind kind, String reporter, Outbox out) {
    switch (update.state()) {
      case ALIVE -> replace(entry, update, State.ALIVE, out);
      case LEFT -> replace(entry, update, State.LEFT, out);
      default -> {
        // The update proves that the new incarnation has been alive; the suspicion follows.
        boolean live = entry.state.isLive();
        if (live || update.state() == State.SUSPECT) {
          replace(entry, update, State.ALIVE, out);
          handleSuspicion(entry, update.reportedBy(), kind != Kind.VIEW, out);
        } else {
          replace(entry, update, State.DEAD, out);
        }
      }
    }
  }

  /**
   * Merges the report that a member is dead. It is accepted at once only if the member had time to
   * refute a suspicion here; otherwise the report starts a suspicion. Without this rule, what one
   * side of a partition concluded about the other would remove live members when both sides merge.
   */
  private void mergeDead(MemberEntry entry, Update update, Kind kind, String reporter, Outbox out) {
    if (!entry.state.isLive()) {
      return;
    }
    if (entry.state == State.SUSPECT
        && kind != Kind.VIEW
        && activeMicros - entry.suspicion.startedAtMicros() >= settings.minSuspicionMicros() / 2) {
      declareDead(entry, update.reportedBy(), out);
    } else {
      handleSuspicion(
          entry,
          update.reportedBy().isEmpty() ? reporter : update.reportedBy(),
          kind != Kind.VIEW,
          out);
    }
  }

  /**
   * Starts or confirms a suspicion.
   *
   * @param accuser the member that suspects the entry
   * @param disseminate whether to pass the suspicion on; if not, as for one that came with a whole
   *     view, it starts only when the suspect is notified
   */
  private void handleSuspicion(MemberEntry entry, String accuser, boolean disseminate, Outbox out) {
    if (entry.state == State.ALIVE && !disseminate) {
      entry.deferredAccuser = accuser;
      entry.deferredIncarnation = entry.incarnation;
      queueNotification(entry);
    } else if (entry.state == State.ALIVE) {
      suspect(entry, accuser, out);
      if (accuser.equals(self.name)) {
        queueNotification(entry);
      }
      updateQueue.enqueue(entry);
    } else if (entry.state == State.SUSPECT && entry.suspicion.confirm(accuser)) {
      entry.reportedBy = accuser;
      if (disseminate) {
        updateQueue.enqueue(entry);
      }
    }
  }

  private void suspect(MemberEntry entry, String accuser, Outbox out) {
    counters.suspicions++;
    Member before = entry.toMember();
    int others = table.live().size() - 1;
    double scale = Math.max(1, Math.log10(others + 2.0));
    long minMicros =
        (long) (settings.minSuspicionMicros() * scale) + 2 * roundTripEstimator.timeoutMicros();
    table.update(
        entry,
        () -> {
          entry.state = State.SUSPECT;
          entry.reportedBy = accuser;
          entry.changedAtMicros = now;
          entry.suspicion =
              new Suspicion(
                  accuser,
                  activeMicros,
                  minMicros,
                  minMicros * settings.maxSuspicionMultiplier(),
                  others);
        });
    recordChange(before, entry.toMember(), out);
  }

  private void expireSuspicions(Outbox out) {
    if (!table.hasSuspects()) {
      return;
    }
    for (MemberEntry entry : List.copyOf(table.live())) {
      if (entry.state == State.SUSPECT && activeMicros >= entry.suspicion.deadlineMicros()) {
        declareDead(entry, self.name, out);
      }
    }
  }

  private void declareDead(MemberEntry entry, String accuser, Outbox out) {
    counters.declaredDead++;
    Member before = entry.toMember();
    table.update(
        entry,
        () -> {
          entry.state = State.DEAD;
          entry.reportedBy = accuser;
          entry.changedAtMicros = now;
          entry.suspicion = null;
        });
    updateQueue.enqueue(entry);
    recordChange(before, entry.toMember(), out);
  }

  private void replace(MemberEntry entry, Update update, State state, Outbox out) {
    Member before = entry.toMember();
    table.update(
        entry,
        () -> {
          entry.apply(update, state.isLive() ? now : now - update.ageSeconds() * SECOND_MICROS);
          entry.state = state;
          entry.suspicion = null;
        });
    updateQueue.enqueue(entry);
    recordChange(before, entry.toMember(), out);
  }

  private void recordChange(Member before, Member after, Outbox out) {
    version++;
    view = null;
    changedAtActive = activeMicros;
    settled = false;
    out.viewChanged(new ViewChange(version, before, after));
    if (after != null && table.hasExcessTombstones()) {
      expireTombstones(out);
    }
  }

  /** Merges an update about this member: refutes it, or resolves a conflict over the name. */
  private void mergeSelf(Update update, Outbox out) {
    if (left) {
      return;
    }
    int newer = Long.compare(update.incarnation().startTime(), self.incarnation.startTime());
    if (newer > 0) {
      resolveNameConflict(update, out);
    } else if (newer == 0
        && update.state() != State.ALIVE
        && update.incarnation().revision() >= self.incarnation.revision()
        && !displaced) {
      counters.refutations++;
      adjustLocalHealth(1);
      announce(
          new Incarnation(self.incarnation.startTime(), update.incarnation().revision() + 1), out);
    }
  }

  /**
   * Handles an update about this member's name with a later start time. Either the other members
   * remember the previous process of this name, whose clock was ahead: then this process takes the
   * name over, with an incarnation that supersedes it. Or another running process has the name and
   * takes it back: after {@link #MAX_NAME_CONFLICTS} such conflicts this process yields the name,
   * and takes it again only when the other process is reported dead or to have left.
   */
  private void resolveNameConflict(Update update, Outbox out) {
    if (activeMicros - nameConflictAt > NAME_CONFLICT_WINDOW_MICROS) {
      nameConflicts = 0;
    }
    if (displaced && update.state().isLive()) {
      return;
    }
    if (!displaced && nameConflicts >= MAX_NAME_CONFLICTS) {
      displaced = true;
      nameRetryAt = activeMicros + NAME_RETRY_MICROS + random.nextLong(NAME_RETRY_MICROS);
      out.nameTaken(update.address(), true);
      yieldName(out);
      return;
    }
    if (!update.address().equals(self.address) || nameConflicts > 0) {
      out.nameTaken(update.address(), false);
    }
    nameConflicts++;
    nameConflictAt = activeMicros;
    displaced = false;
    joinAttempts = 0;
    announce(new Incarnation(update.incarnation().startTime() + 1, 0), out);
  }

  /** Forgets all other members: a displaced process is not a member and probes no member. */
  private void yieldName(Outbox out) {
    probes.clear();
    relayedPings.clear();
    pendingNotifications.clear();
    lastKnown.clear();
    for (MemberEntry entry : List.copyOf(table.live())) {
      if (lastKnown.size() < MAX_LAST_KNOWN_ADDRESSES) {
        lastKnown.add(entry.address);
      }
    }
    for (MemberEntry entry : table.clear()) {
      updateQueue.remove(entry);
      recordChange(entry.toMember(), null, out);
    }
  }

  /** Requests views of seeds and earlier members, to find out whether the name is free. */
  private void retryName(Outbox out) {
    if (activeMicros < nameRetryAt) {
      return;
    }
    nameRetryAt = activeMicros + NAME_RETRY_MICROS + random.nextLong(NAME_RETRY_MICROS);
    List<InetSocketAddress> known = new ArrayList<>(seeds);
    known.addAll(lastKnown);
    for (int i = 0; i < FANOUT && !known.isEmpty(); i++) {
      InetSocketAddress address = known.remove(random.nextInt(known.size()));
      out.send(address, message(Kind.PULL, nextSequence(), "", null));
    }
  }

  /** Takes a new incarnation for this member and queues it for dissemination. */
  private void announce(Incarnation next, Outbox out) {
    Member before = self.toMember();
    table.update(self, () -> self.incarnation = next);
    updateQueue.enqueue(self);
    recordChange(before, self.toMember(), out);
  }

  /** Sets and announces the activity of this member; does nothing if it is unchanged. */
  public void setActivity(long time, Activity activity, Outbox out) {
    advanceTime(time);
    if (left || activity == self.activity) {
      return;
    }
    self.activity = activity;
    self.changedAtMicros = now;
    announce(self.incarnation.next(), out);
  }

  /** Announces that this member leaves. All later calls have no effect. */
  public void leave(long time, Outbox out) {
    advanceTime(time);
    if (left) {
      return;
    }
    if (!displaced) {
      table.update(
          self,
          () -> {
            self.incarnation = self.incarnation.next();
            self.state = State.LEFT;
            self.changedAtMicros = now;
          });
      updateQueue.enqueue(self);
      for (MemberEntry receiver : table.randomLive(LEAVE_FANOUT, null, random)) {
        out.send(receiver.address, message(Kind.GOSSIP, 0, "", receiver));
      }
    }
    left = true;
  }

  /** Replaces the seeds, and contacts them with the initial back-off. */
  public void setSeeds(List<InetSocketAddress> addresses) {
    seeds = List.copyOf(addresses);
    joinAttempts = 0;
    nextJoinAttemptAt = activeMicros;
  }

  /**
   * Returns all state that the next steps depend on, with times relative to now, for the model
   * check: members with equal texts behave alike.
   */
  String stateText() {
    StringBuilder text = new StringBuilder();
    for (MemberEntry entry : table.all()) {
      text.append(entry.name)
          .append(entry.incarnation)
          .append(entry.state)
          .append(entry.reportedBy);
      if (entry.suspicion != null) {
        text.append(entry.suspicion.deadlineMicros() - activeMicros)
            .append(activeMicros - entry.suspicion.startedAtMicros());
      }
      text.append(entry.state.isLive() ? 0 : now - entry.changedAtMicros)
          .append(entry.notificationQueued);
      text.append(entry.deferredAccuser).append(entry.deferredIncarnation).append(';');
    }
    for (Probe probe : probes.values()) {
      text.append(probe.target)
          .append(probe.incarnation)
          .append(probe.indirectAtMicros - activeMicros);
      text.append(probe.ended).append(probe.indirectSent).append(probe.missingNacks).append(';');
    }
    relayedPings
        .values()
        .forEach(ping -> text.append(ping.target()).append(ping.nackAtMicros() - activeMicros));
    text.append(probeOrder)
        .append(updateQueue)
        .append(localHealth)
        .append(displaced)
        .append(left)
        .append(nameConflicts);
    text.append(nextProbeAt - activeMicros)
        .append(' ')
        .append(nextJoinAttemptAt - activeMicros)
        .append(' ');
    text.append(tickCount % RECONNECT_INTERVAL_TICKS)
        .append(' ')
        .append(Math.min(activeMicros - changedAtActive, SECOND_MICROS));
    return text.toString();
  }

  /** Returns the current view; the same instance until the view changes. */
  public View view() {
    if (view == null) {
      List<Member> members = new ArrayList<>(table.size());
      table.all().forEach(entry -> members.add(entry.toMember()));
      view = new View(version, self.name, members, settled, displaced);
    }
    return view;
  }

  /** Returns the current incarnation of this member. */
  public Incarnation incarnation() {
    return self.incarnation;
  }

  public Counters counters() {
    return counters;
  }

  /** Returns Lifeguard's local health multiplier: 0 for healthy, higher is worse. */
  public int localHealth() {
    return localHealth;
  }

  /** Returns the smoothed round-trip time in microseconds; 0 before the first sample. */
  public long smoothedRoundTripMicros() {
    return roundTripEstimator.smoothedMicros();
  }
}
