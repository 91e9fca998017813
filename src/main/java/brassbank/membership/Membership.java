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
 * One member: what it knows of the others, whom it asks, and what it believes. It is told the time
 * with each call, in microseconds of any clock that does not go back, by one thread.
 *
 * <p>Time limits run on <em>lived</em> time, which leaves out what the process has slept through: a
 * member that was stopped has heard nobody, and must not take that for the others' silence.
 */
public final class Membership {
  private static final long SECOND = 1_000_000;

  /** A longer time without a beat was not lived. */
  private static final long LONGEST_STEP = 5 * Settings.TICK_MICROS / 2;

  /** Others that are asked to ping for one, and that hear of news in one beat (both papers: 3). */
  private static final int FANOUT = 3;

  /** While there is more news than goes into one datagram, so many more hear of it. */
  private static final int MORE_LISTENERS = 5;

  private static final int NEWS_IN_ONE = 20;

  /** One of the dead is asked each so many beats whether it is back behind a cut. */
  private static final int REACH_BEATS = 10;

  /** Whoever is dead for less, in seconds, is asked by a newcomer that hears of it. */
  private static final int NEWLY_DEAD = 120;

  /** Whoever is said to be not there is told so, so many in a beat at most. */
  private static final int TOLD_AT_ONCE = 10;

  /** Late answers still tell how long the way is. */
  private static final long LATE_FOR = 4 * SECOND;

  /** Answers to others, and bytes of whole views, in a second. */
  private static final int MOST_ANSWERS = 1_000;

  private static final int MOST_VIEW_BYTES = 128 * 1024;

  /** Looks for others, by addresses of the file: at first within, and later within. */
  private static final long FIRST_LOOK = SECOND / 4;

  private static final long LAST_LOOK = 10 * SECOND;

  /** Looks at each address before a lone member's view may count as settled. */
  private static final int LOOKS = 3;

  /** Names may be fought for so often in such a time; then this process gives way. */
  private static final int MOST_TAKEN = 2;

  private static final long TAKEN_WITHIN = 30 * SECOND;
  private static final long GIVEN_WAY = 60 * SECOND;

  private static final int MOST_LAST_KNOWN = 32;

  /** A goodbye goes to so many, since no more can be done for it. */
  private static final int GOODBYES = 8;

  private final Settings settings;
  private final Comparator<Incarnation> order;
  private final RandomGenerator chance;
  private final Entry self;
  private final Roster roster;
  private final News news = new News();
  private final RoundTrip roundTrip = new RoundTrip();
  private final Counters counters = new Counters();
  private final Allowance answers;
  private final Allowance viewBytes;
  private final Allowance pulls;

  private final Map<Integer, Probe> probes = new LinkedHashMap<>();
  private final Map<Integer, Relayed> relayed = new LinkedHashMap<>();
  private final List<Entry> toBeTold = new ArrayList<>();

  /** Whom to probe, in this order; SWIM's round robin, shuffled anew each time. */
  private final List<String> round = new ArrayList<>();

  private List<InetSocketAddress> seeds;
  private int looks;
  private long nextLook;

  private long now;
  private long lived;
  private long nextBeat;
  private long beats;
  private long nextProbe;
  private int sequence;
  private int health;
  private long version = 1;
  private long changedAt;
  private boolean settled;
  private View view;
  private boolean left;

  private boolean displaced;
  private final List<InetSocketAddress> lastKnown = new ArrayList<>();
  private int taken;
  private long takenAt;
  private long askAgainAt;

  /**
   * @param self this member: alive, with the birth that its machine's clock gives
   * @param seeds addresses where others may be; its own among them does no harm
   * @param now the time, as with all calls
   */
  public Membership(
      Settings settings,
      Update self,
      List<InetSocketAddress> seeds,
      RandomGenerator chance,
      long now) {
    this(settings, self, seeds, chance, now, Incarnation::compareTo);
  }

  /** As above, with another order of incarnations, as a test plants it. */
  Membership(
      Settings settings,
      Update self,
      List<InetSocketAddress> seeds,
      RandomGenerator chance,
      long now,
      Comparator<Incarnation> order) {
    this.order = order;
    this.settings = settings;
    this.chance = chance;
    this.self = new Entry(self, now);
    this.seeds = List.copyOf(seeds);
    this.now = now;
    roster = new Roster(this.self);
    answers = new Allowance(MOST_ANSWERS, now);
    viewBytes = new Allowance(MOST_VIEW_BYTES, now);
    pulls = new Allowance(2, now);
    sequence = chance.nextInt(1, 1 << 20);
    nextBeat = now;
    changedAt = 0;
    news.of(this.self);
  }

  // ------------------------------------------------------------------ time

  /** When {@link #tick} is next wanted, of the caller's clock. */
  public long nextTickAtMicros() {
    return nextBeat;
  }

  private void passed(long time) {
    long step = Math.max(0, time - now);
    lived += Math.min(step, LONGEST_STEP);
    if (step > LONGEST_STEP) {
      // It has slept: what it thinks of others is to be doubted before them (Lifeguard).
      ill(1);
    }
    now = Math.max(now, time);
  }

  /**
   * Does what time brings; to be called at {@link #nextTickAtMicros}, and late where that cannot
   * be.
   */
  public void tick(long time, Outbox out) {
    passed(time);
    if (left || now < nextBeat) {
      return;
    }
    nextBeat = now + Settings.TICK_MICROS;
    beats++;
    if (displaced) {
      askWhetherNameIsFree(out);
    } else {
      endSuspicions(out);
      endProbes(out);
      endRelayed(out);
      if (lived >= nextProbe) {
        nextProbe =
            lived
                + settings.probeIntervalTicks() * Settings.TICK_MICROS * (1 + Math.min(health, 1))
                - Settings.TICK_MICROS / 2;
        probe(out);
      }
      if (beats % REACH_BEATS == 0) {
        reach(out);
        forget(out);
      }
      lookForOthers(out);
      tellOfThem(out);
      tellNews(out);
    }
    settle(out);
  }

  private void settle(Outbox out) {
    boolean calm =
        !displaced
            && !roster.suspects()
            && lived - changedAt >= settings.settleMicros()
            && (!roster.live().isEmpty() || looks >= LOOKS || seeds.isEmpty());
    if (calm != settled) {
      settled = calm;
      version++;
      view = null;
      out.viewChanged(new ViewChange(version, null, null));
    }
  }

  // ---------------------------------------------------------------- probing

  private void probe(Outbox out) {
    Entry target = nextTarget();
    if (target == null) {
      return;
    }
    counters.probes++;
    long direct = Math.max(settings.minProbeTimeoutMicros(), roundTrip.most()) * (1 + health);
    direct = Math.min(direct, SECOND);
    Probe probe =
        new Probe(
            next(), target.name, target.incarnation, lived, lived + direct, lived + 3 * direct);
    probes.put(probe.sequence, probe);
    out.send(target.address, message(Kind.PING, probe.sequence, target.name, target));
  }

  private Entry nextTarget() {
    for (int i = 0; i < 2; i++) {
      while (!round.isEmpty()) {
        Entry entry = roster.get(round.remove(round.size() - 1));
        if (entry != null && entry.state.isLive()) {
          return entry;
        }
      }
      for (Entry entry : roster.live()) {
        round.add(entry.name);
        int other = chance.nextInt(round.size());
        round.set(round.size() - 1, round.get(other));
        round.set(other, entry.name);
      }
    }
    return null;
  }

  private int next() {
    sequence = sequence == Integer.MAX_VALUE ? 1 : sequence + 1;
    return sequence;
  }

  private void endProbes(Outbox out) {
    List<Probe> failed = new ArrayList<>();
    probes
        .values()
        .removeIf(
            probe -> {
              if (!probe.over && !probe.asked && lived >= probe.askAt) {
                askOthers(probe, out);
              }
              if (!probe.over && lived >= probe.endAt) {
                probe.over = true;
                failed.add(probe);
              }
              return lived - probe.sentAt > LATE_FOR;
            });
    for (Probe probe : failed) {
      counters.failedProbes++;
      // Those who were asked say nothing either: then it may be this member that hears nothing.
      ill(probe.silent > 0 || !probe.asked ? 1 : 0);
      Entry target = roster.get(probe.target);
      if (target != null && target.incarnation.compareTo(probe.incarnation) <= 0) {
        doubt(target, self.name, true, out);
      }
    }
  }

  private void askOthers(Probe probe, Outbox out) {
    probe.asked = true;
    Entry target = roster.get(probe.target);
    if (target == null) {
      return;
    }
    List<Entry> asked = roster.some(FANOUT, target, chance);
    probe.silent = asked.size();
    for (Entry one : asked) {
      out.send(one.address, message(Kind.PING_REQ, probe.sequence, probe.target, target));
    }
  }

  private void endRelayed(Outbox out) {
    relayed
        .entrySet()
        .removeIf(
            entry -> {
              Relayed one = entry.getValue();
              if (lived < one.nackAt()) {
                return false;
              }
              out.send(one.asker(), message(Kind.NACK, one.askersSequence(), "", null));
              return true;
            });
  }

  private void ill(int by) {
    health = Math.max(0, Math.min(settings.maxLocalHealth(), health + by));
  }

  // -------------------------------------------------- those who are not there

  /** A cut that has healed is noticed by asking those behind it. */
  private void reach(Outbox out) {
    List<Entry> dead = new ArrayList<>();
    for (Entry entry : roster.gone()) {
      if (entry.state == State.DEAD) {
        dead.add(entry);
      }
    }
    if (!dead.isEmpty()) {
      Entry one = dead.get(chance.nextInt(dead.size()));
      out.send(one.address, message(Kind.PING, next(), one.name, one));
    }
  }

  private void forget(Outbox out) {
    for (Entry entry : roster.forget(now, settings.tombstoneRetentionMicros())) {
      news.forget(entry);
      changed(entry.member(), null, out);
    }
  }

  /** Full jitter: any time up to the limit, which doubles with each look. */
  private void lookForOthers(Outbox out) {
    if (seeds.isEmpty() || lived < nextLook) {
      return;
    }
    List<InetSocketAddress> missing = new ArrayList<>(seeds);
    missing.remove(self.address);
    roster.live().forEach(entry -> missing.remove(entry.address));
    long limit = Math.min(LAST_LOOK, FIRST_LOOK << Math.min(looks, 8));
    nextLook = lived + 1 + chance.nextLong(limit);
    looks++;
    if (roster.live().isEmpty()) {
      missing.forEach(address -> out.send(address, message(Kind.PULL, next(), "", null)));
    } else if (!missing.isEmpty()) {
      InetSocketAddress address = missing.get(chance.nextInt(missing.size()));
      out.send(address, message(Kind.PULL, next(), "", null));
    }
  }

  // ------------------------------------------------------------------- news

  private void tellNews(Outbox out) {
    if (news.isEmpty()) {
      return;
    }
    int listeners = FANOUT + Math.min(MORE_LISTENERS, news.size() / NEWS_IN_ONE);
    for (Entry one : roster.some(listeners, null, chance)) {
      if (!news.isEmpty()) {
        out.send(one.address, message(Kind.GOSSIP, 0, "", one));
      }
    }
  }

  private void tellOfThem(Outbox out) {
    for (int i = 0; i < TOLD_AT_ONCE && !toBeTold.isEmpty(); i++) {
      Entry one = toBeTold.remove(chance.nextInt(toBeTold.size()));
      one.toBeTold = false;
      if (one.hearsay != null) {
        // Its time to contradict begins when it is told, however many are to be told first.
        if (one.state == State.ALIVE && one.incarnation.equals(one.hearsayOf)) {
          suspect(one, one.hearsay, out);
        }
        one.hearsay = null;
      }
      if (one.state != State.LEFT && !one.by.isEmpty()) {
        out.send(one.address, message(Kind.PING, next(), one.name, one));
      }
    }
  }

  private void tell(Entry entry) {
    if (!entry.toBeTold) {
      entry.toBeTold = true;
      toBeTold.add(entry);
    }
  }

  /** A message with what the receiver must know, and then as much news as it has room for. */
  private Message message(Kind kind, int number, String target, Entry receiver) {
    List<Update> updates = new ArrayList<>();
    Update sender = self.update(now);
    int room = Message.MAX_BYTES - Message.FIXED_BYTES - sender.sizeBytes() - 1 - target.length();
    if (receiver != null && receiver.state != State.ALIVE) {
      // Lifeguard's buddy system: the suspect hears of it first.
      Update buddy = receiver.update(now);
      updates.add(buddy);
      room -= buddy.sizeBytes();
    }
    news.take(room, tellings(), now, updates);
    return new Message(kind, number, sender, roster.digest(), target, updates);
  }

  private int tellings() {
    return settings.retransmitMultiplier()
        * (int) Math.ceil(Math.log10(roster.live().size() + 2.0));
  }

  // -------------------------------------------------------------- receiving

  /** Takes a datagram's content; {@code from} is where an answer goes. */
  public void receive(long time, InetSocketAddress from, Message message, Outbox out) {
    passed(time);
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
      aboutSelf(sender, out);
      return;
    }
    message.updates().forEach(update -> merge(update, message.kind(), sender.name(), out));
    if (displaced) {
      return;
    }
    Entry entry = roster.get(sender.name());
    if (entry != null && order.compare(sender.incarnation(), entry.incarnation) < 0) {
      counters.staleDatagrams++;
      answerOld(from, entry, out);
      return;
    }
    merge(sender, message.kind(), sender.name(), out);
    entry = roster.get(sender.name());
    if (entry == null) {
      return;
    }
    switch (message.kind()) {
      case PING -> {
        if (message.target().isEmpty() || message.target().equals(self.name)) {
          answer(from, Kind.ACK, message.sequence(), entry, out);
        }
      }
      case ACK -> acked(message, out);
      case PING_REQ -> relay(from, message, out);
      case NACK -> {
        Probe probe = probes.get(message.sequence());
        if (probe != null && probe.silent > 0) {
          probe.silent--;
        }
      }
      case PULL -> sendView(from, message, entry, out);
      default -> {
        if (entry.state != State.ALIVE) {
          tell(entry);
        }
      }
    }
    compare(message, entry, out);
  }

  private void answer(InetSocketAddress to, Kind kind, int number, Entry receiver, Outbox out) {
    if (answers.spend(1, now)) {
      out.send(to, message(kind, number, "", receiver));
    } else {
      counters.unansweredRequests++;
    }
  }

  /** A process that was put back in time, or that has lost its name, must hear of it. */
  private void answerOld(InetSocketAddress from, Entry entry, Outbox out) {
    if (answers.spend(1, now)) {
      Message message =
          new Message(
              Kind.GOSSIP, 0, self.update(now), roster.digest(), "", List.of(entry.update(now)));
      out.send(from, message);
    }
  }

  private void acked(Message message, Outbox out) {
    Relayed one = relayed.remove(message.sequence());
    if (one != null) {
      if (one.target().equals(message.sender().name()) && answers.spend(1, now)) {
        Message passed =
            new Message(
                Kind.ACK,
                one.askersSequence(),
                self.update(now),
                roster.digest(),
                one.target(),
                List.of(message.sender()));
        out.send(one.asker(), passed);
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
      roundTrip.took(lived - probe.sentAt);
      probes.remove(probe.sequence);
    }
    if (probe.over) {
      counters.lateAcks++;
    } else {
      probe.over = true;
      ill(-1);
    }
  }

  private void relay(InetSocketAddress from, Message message, Outbox out) {
    Entry target = roster.get(message.target());
    if (target == null || target == self || !answers.spend(1, now)) {
      return;
    }
    int number = next();
    long wait = Math.max(settings.minProbeTimeoutMicros(), roundTrip.most());
    relayed.put(
        number, new Relayed(from, message.sequence(), target.name, lived + Math.min(SECOND, wait)));
    out.send(target.address, message(Kind.PING, number, target.name, target));
  }

  // ------------------------------------------------------------ whole views

  /** Where two views differ although nothing is under way, one asks for the other's. */
  private void compare(Message message, Entry sender, Outbox out) {
    boolean calm = news.isEmpty() && lived - changedAt >= SECOND / 2;
    if (message.kind() != Kind.PULL
        && message.digest() != roster.digest()
        && sender.state.isLive()
        && (calm || roster.live().size() < 2)
        && pulls.spend(1, now)) {
      counters.viewRequests++;
      out.send(sender.address, message(Kind.PULL, next(), "", sender));
    }
  }

  private void sendView(InetSocketAddress to, Message message, Entry asker, Outbox out) {
    if (message.digest() == roster.digest()) {
      answer(to, Kind.GOSSIP, 0, asker, out);
      return;
    }
    int room = Message.MAX_BYTES - Message.FIXED_BYTES - self.update(now).sizeBytes() - 1;
    long bytes = 0;
    List<List<Update>> parts = new ArrayList<>();
    int left = 0;
    for (Entry entry : roster.all()) {
      Update update = entry.update(now);
      if (entry == self) {
        continue;
      }
      if (parts.isEmpty()
          || left < update.sizeBytes()
          || parts.get(parts.size() - 1).size() == Message.MAX_UPDATES) {
        parts.add(new ArrayList<>());
        left = room;
      }
      parts.get(parts.size() - 1).add(update);
      left -= update.sizeBytes();
      bytes += update.sizeBytes();
    }
    if (!viewBytes.spend(bytes, now)) {
      counters.unansweredRequests++;
      answer(to, Kind.GOSSIP, 0, asker, out);
      return;
    }
    counters.viewsSent++;
    for (List<Update> part : parts) {
      out.send(to, new Message(Kind.VIEW, 0, self.update(now), roster.digest(), "", part));
    }
    if (message.sequence() != 0) {
      out.send(to, message(Kind.PULL, 0, "", asker));
    }
  }

  // ---------------------------------------------------------------- merging

  private void merge(Update update, Kind kind, String teller, Outbox out) {
    if (update.name().equals(self.name)) {
      aboutSelf(update, out);
      return;
    }
    if (displaced) {
      return;
    }
    Entry entry = roster.get(update.name());
    if (entry == null) {
      meet(update, out);
      return;
    }
    int newer = order.compare(update.incarnation(), entry.incarnation);
    if (update.state() == State.SUSPECT && (newer < 0 || (newer == 0 && !entry.state.isLive()))) {
      correct(teller, entry, out);
    }
    if (newer > 0) {
      newer(entry, update, kind, teller, out);
    } else if (newer == 0) {
      switch (update.state()) {
        case SUSPECT -> doubt(entry, update.reportedBy(), kind != Kind.VIEW, out);
        case DEAD -> dead(entry, update, kind, teller, out);
        case LEFT -> {
          if (entry.state != State.LEFT) {
            set(entry, update, State.LEFT, out);
          }
        }
        default -> {
          // It says nothing that is not known.
        }
      }
    }
  }

  /** Whoever suspects what is long known to be otherwise has missed news, and gets it again. */
  private void correct(String teller, Entry entry, Outbox out) {
    Entry missed = roster.get(teller);
    if (missed != null && missed.state.isLive() && answers.spend(1, now)) {
      out.send(
          missed.address,
          new Message(
              Kind.GOSSIP, 0, self.update(now), roster.digest(), "", List.of(entry.update(now))));
    }
  }

  private void meet(Update update, Outbox out) {
    long since = now - update.ageSeconds() * SECOND;
    if (update.state().isLive()
        ? !roster.room()
        : now - since >= settings.tombstoneRetentionMicros()) {
      counters.rejectedMembers += update.state().isLive() ? 1 : 0;
      return;
    }
    Entry entry = new Entry(update, update.state().isLive() ? now : since);
    entry.state = update.state() == State.SUSPECT ? State.ALIVE : update.state();
    roster.add(entry);
    news.of(entry);
    changed(null, entry.member(), out);
    if (update.state() == State.SUSPECT) {
      doubt(entry, update.reportedBy(), true, out);
    } else if (update.state() == State.DEAD && update.ageSeconds() < NEWLY_DEAD) {
      // A newcomer hears it from one side of a cut; the other side may know better.
      tell(entry);
    }
  }

  private void newer(Entry entry, Update update, Kind kind, String teller, Outbox out) {
    switch (update.state()) {
      case ALIVE -> set(entry, update, State.ALIVE, out);
      case LEFT -> set(entry, update, State.LEFT, out);
      default -> {
        // It has been heard of in that incarnation, so that it was there: now it is in doubt.
        boolean live = entry.state.isLive();
        if (live || update.state() == State.SUSPECT) {
          set(entry, update, State.ALIVE, out);
          doubt(entry, update.reportedBy(), kind != Kind.VIEW, out);
        } else {
          set(entry, update, State.DEAD, out);
        }
      }
    }
  }

  /**
   * Somebody holds it for dead. It is believed at once only of one that had time to refute a
   * suspicion here: else what one half of a fleet thought behind a cut would be the other's loss.
   */
  private void dead(Entry entry, Update update, Kind kind, String teller, Outbox out) {
    if (!entry.state.isLive()) {
      return;
    }
    if (entry.state == State.SUSPECT
        && kind != Kind.VIEW
        && lived - entry.suspicion.begun() >= settings.minSuspicionMicros() / 2) {
      die(entry, update.reportedBy(), out);
    } else {
      doubt(
          entry,
          update.reportedBy().isEmpty() ? teller : update.reportedBy(),
          kind != Kind.VIEW,
          out);
    }
  }

  private void doubt(Entry entry, String by, boolean pass, Outbox out) {
    if (entry.state == State.ALIVE && !pass) {
      entry.hearsay = by;
      entry.hearsayOf = entry.incarnation;
      tell(entry);
    } else if (entry.state == State.ALIVE) {
      suspect(entry, by, out);
      if (by.equals(self.name)) {
        tell(entry);
      }
      news.of(entry);
    } else if (entry.state == State.SUSPECT && entry.suspicion.confirm(by)) {
      entry.by = by;
      if (pass) {
        news.of(entry);
      }
    }
  }

  private void suspect(Entry entry, String by, Outbox out) {
    counters.suspicions++;
    Member before = entry.member();
    int others = roster.live().size() - 1;
    double tens = Math.max(1, Math.log10(others + 2.0));
    long least = (long) (settings.minSuspicionMicros() * tens) + 2 * roundTrip.most();
    roster.change(
        entry,
        () -> {
          entry.state = State.SUSPECT;
          entry.by = by;
          entry.since = now;
          entry.suspicion =
              new Suspicion(by, lived, least, least * settings.maxSuspicionMultiplier(), others);
        });
    changed(before, entry.member(), out);
  }

  private void endSuspicions(Outbox out) {
    if (!roster.suspects()) {
      return;
    }
    for (Entry entry : List.copyOf(roster.live())) {
      if (entry.state == State.SUSPECT && lived >= entry.suspicion.deadline()) {
        die(entry, self.name, out);
      }
    }
  }

  private void die(Entry entry, String by, Outbox out) {
    counters.declaredDead++;
    Member before = entry.member();
    roster.change(
        entry,
        () -> {
          entry.state = State.DEAD;
          entry.by = by;
          entry.since = now;
          entry.suspicion = null;
        });
    news.of(entry);
    changed(before, entry.member(), out);
  }

  private void set(Entry entry, Update update, State state, Outbox out) {
    Member before = entry.member();
    roster.change(
        entry,
        () -> {
          entry.take(update, state.isLive() ? now : now - update.ageSeconds() * SECOND);
          entry.state = state;
          entry.suspicion = null;
        });
    news.of(entry);
    changed(before, entry.member(), out);
  }

  private void changed(Member before, Member after, Outbox out) {
    version++;
    view = null;
    changedAt = lived;
    settled = false;
    out.viewChanged(new ViewChange(version, before, after));
    if (after != null && roster.overfull()) {
      forget(out);
    }
  }

  // ------------------------------------------------------------------- self

  private void aboutSelf(Update update, Outbox out) {
    if (left) {
      return;
    }
    int newer = Long.compare(update.incarnation().startTime(), self.incarnation.startTime());
    if (newer > 0) {
      nameTaken(update, out);
    } else if (newer == 0
        && update.state() != State.ALIVE
        && update.incarnation().revision() >= self.incarnation.revision()
        && !displaced) {
      counters.refutations++;
      ill(1);
      raise(
          new Incarnation(self.incarnation.startTime(), update.incarnation().revision() + 1), out);
    }
  }

  /**
   * Either it is what others remember of this name's last process, whose clock went before this
   * one's: then this process takes the name over. Or somebody else has the name, and takes it back:
   * after some of that this process gives way, and takes it again only from one that is not there.
   */
  private void nameTaken(Update update, Outbox out) {
    if (lived - takenAt > TAKEN_WITHIN) {
      taken = 0;
    }
    if (displaced && update.state().isLive()) {
      return;
    }
    if (!displaced && taken >= MOST_TAKEN) {
      displaced = true;
      askAgainAt = lived + GIVEN_WAY + chance.nextLong(GIVEN_WAY);
      out.nameTaken(update.address(), true);
      giveUp(out);
      return;
    }
    if (!update.address().equals(self.address) || taken > 0) {
      out.nameTaken(update.address(), false);
    }
    taken++;
    takenAt = lived;
    displaced = false;
    looks = 0;
    raise(new Incarnation(update.incarnation().startTime() + 1, 0), out);
  }

  /** A process without a name sees nobody, and is in nobody's way. */
  private void giveUp(Outbox out) {
    probes.clear();
    relayed.clear();
    toBeTold.clear();
    lastKnown.clear();
    for (Entry entry : List.copyOf(roster.live())) {
      if (lastKnown.size() < MOST_LAST_KNOWN) {
        lastKnown.add(entry.address);
      }
    }
    for (Entry entry : roster.clear()) {
      news.forget(entry);
      changed(entry.member(), null, out);
    }
  }

  private void askWhetherNameIsFree(Outbox out) {
    if (lived < askAgainAt) {
      return;
    }
    askAgainAt = lived + GIVEN_WAY + chance.nextLong(GIVEN_WAY);
    List<InetSocketAddress> known = new ArrayList<>(seeds);
    known.addAll(lastKnown);
    for (int i = 0; i < FANOUT && !known.isEmpty(); i++) {
      InetSocketAddress address = known.remove(chance.nextInt(known.size()));
      out.send(address, message(Kind.PULL, next(), "", null));
    }
  }

  private void raise(Incarnation next, Outbox out) {
    Member before = self.member();
    roster.change(self, () -> self.incarnation = next);
    news.of(self);
    changed(before, self.member(), out);
  }

  /** What this member does from now on. */
  public void setActivity(long time, Activity activity, Outbox out) {
    passed(time);
    if (left || activity == self.activity) {
      return;
    }
    self.activity = activity;
    self.since = now;
    raise(self.incarnation.next(), out);
  }

  /** Says goodbye, and does nothing from then on. */
  public void leave(long time, Outbox out) {
    passed(time);
    if (left) {
      return;
    }
    if (!displaced) {
      roster.change(
          self,
          () -> {
            self.incarnation = self.incarnation.next();
            self.state = State.LEFT;
            self.since = now;
          });
      news.of(self);
      for (Entry one : roster.some(GOODBYES, null, chance)) {
        out.send(one.address, message(Kind.GOSSIP, 0, "", one));
      }
    }
    left = true;
  }

  /** Other addresses to look for others at. */
  public void setSeeds(List<InetSocketAddress> addresses) {
    seeds = List.copyOf(addresses);
    looks = 0;
    nextLook = lived;
  }

  /**
   * All that its next steps depend on, with times as they are from now: equal texts behave alike.
   * For a search through its states.
   */
  String situation() {
    StringBuilder text = new StringBuilder();
    for (Entry entry : roster.all()) {
      text.append(entry.name).append(entry.incarnation).append(entry.state).append(entry.by);
      if (entry.suspicion != null) {
        text.append(entry.suspicion.deadline() - lived).append(lived - entry.suspicion.begun());
      }
      text.append(entry.state.isLive() ? 0 : now - entry.since).append(entry.toBeTold);
      text.append(entry.hearsay).append(entry.hearsayOf).append(';');
    }
    for (Probe probe : probes.values()) {
      text.append(probe.target).append(probe.incarnation).append(probe.askAt - lived);
      text.append(probe.over).append(probe.asked).append(probe.silent).append(';');
    }
    relayed.values().forEach(one -> text.append(one.target()).append(one.nackAt() - lived));
    text.append(round).append(news).append(health).append(displaced).append(left).append(taken);
    text.append(nextProbe - lived).append(' ').append(nextLook - lived).append(' ');
    text.append(beats % REACH_BEATS).append(' ').append(Math.min(lived - changedAt, SECOND));
    return text.toString();
  }

  // ------------------------------------------------------------------- view

  /** The view now. */
  public View view() {
    if (view == null) {
      List<Member> members = new ArrayList<>(roster.size());
      roster.all().forEach(entry -> members.add(entry.member()));
      view = new View(version, self.name, members, settled, displaced);
    }
    return view;
  }

  /** This member's own, now. */
  public Incarnation incarnation() {
    return self.incarnation;
  }

  public Counters counters() {
    return counters;
  }

  /** Lifeguard's counter of the own health, 0 for sound. */
  public int localHealth() {
    return health;
  }

  /** The usual time of an answer, in microseconds; 0 while none has come. */
  public long smoothedRoundTripMicros() {
    return roundTrip.usual();
  }
}
