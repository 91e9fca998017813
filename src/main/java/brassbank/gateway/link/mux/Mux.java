package brassbank.gateway.link.mux;

import brassbank.gateway.link.frame.Answer;
import brassbank.gateway.link.frame.FrameException;
import brassbank.gateway.link.frame.FrameReader;
import brassbank.gateway.link.frame.FrameWriter;
import brassbank.gateway.link.frame.Frames;
import brassbank.gateway.link.frame.Hello;
import brassbank.gateway.link.frame.Leave;
import brassbank.gateway.link.frame.Open;
import brassbank.gateway.link.frame.Refusal;
import brassbank.gateway.link.frame.Room;
import brassbank.gateway.link.frame.Version;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * One side of a link, from the first byte inside TLS to its end: many sessions on one stream of
 * bytes. Whoever has the connection gives it what comes ({@link #receive}), takes what goes ({@link
 * #produce}) as far as the connection takes it, lets it tell its news after that ({@link #tell}),
 * and calls {@link #tick} at {@link #nextDue}. Sessions send in turns, a few kilobytes each, and
 * frames without data go before any with data.
 *
 * <p>One thread at a time.
 */
public final class Mux {
  /** Room in a buffer for whatever goes next: the longest frame without data, and short ones. */
  private static final int SPACE = FrameWriter.LONGEST_CONTROL + 8 * Frames.HEADER;

  /** Samples of the other side's stamps count for one to two of these. */
  private static final long STAMPS_MICROS = 30_000_000;

  /** Who is told of a link, and of the sessions that the other side opens. */
  public interface Owner {
    /**
     * The other side has said who it is, in a version that can be spoken.
     *
     * @return why it is refused, or null
     */
    Refusal greeted(Hello hello);

    /** The other side has answered the first ping: sessions can be opened. */
    void up();

    /**
     * The other side sends an attempt over, which is the callee's to {@link Session#answer}.
     *
     * @return who is told of it
     */
    Session.Handler opened(Session session);

    /**
     * A session is over: its handler is told so, or has ended it. Told once for each that was
     * opened by {@link Mux#open} or told by {@link #opened}.
     */
    void died(Session session);

    /**
     * The other side tells of its room.
     *
     * @param ageMicros how old the figure is now, or more
     */
    void room(Room room, long ageMicros);

    void leaving(Leave leave);

    /** The other side will not go on with this link. */
    void refused(Refusal refusal);

    /** There may be something to {@link Mux#produce}; often told more than once. */
    void wake();
  }

  private final LinkLimits limits;
  private final Owner owner;
  private final Hello mine;
  private final FrameReader reader = new FrameReader(new Incoming());
  private final Heartbeat heartbeat;
  private final long begun;

  /** Of the other side's stamps against this clock. */
  private final LeastDelay stamps = new LeastDelay(STAMPS_MICROS);

  /** In the order of their opening. */
  private final Map<Integer, Session> sessions = new LinkedHashMap<>();

  private final Deque<Session> control = new ArrayDeque<>();
  private final Deque<Session> data = new ArrayDeque<>();
  private final Deque<Runnable> news = new ArrayDeque<>();

  /** Attempts that have a lease yet, the next to be looked at first. */
  private final TreeSet<Session> leases =
      new TreeSet<>(Comparator.comparingLong(Session::due).thenComparingInt(Session::id));

  private final Tellings tellings = new Tellings();
  private final Map<Leave.Code, Leave> leavesDue = new EnumMap<>(Leave.Code.class);
  private final Map<Leave.Code, Leave> leavesSent = new EnumMap<>(Leave.Code.class);
  private final Map<Leave.Code, Leave> leavesCame = new EnumMap<>(Leave.Code.class);

  /**
   * The latest own id, and the latest of the other side's; own ones have the parity of the first.
   */
  private int lastMine;

  private int lastTheirs;
  private int openMine;
  private int openTheirs;
  private boolean helloSent;
  private Hello theirs;
  private long pongDue = -1;
  private boolean up;
  private Refusal refusal;
  private boolean refusalSent;
  private boolean over;
  private long waiting;
  private long widened;
  private long now;

  /**
   * @param mine what this side says first
   * @param dialled whether this side has opened the connection
   */
  public Mux(LinkLimits limits, Hello mine, boolean dialled, Owner owner, long now) {
    this.limits = limits;
    this.mine = mine;
    this.owner = owner;
    this.now = now;
    begun = now;
    heartbeat = new Heartbeat(limits.heartbeatMicros(), limits.silenceMicros(), now);
    // The next is 1 or 2; each side has its own parity.
    lastMine = dialled ? -1 : 0;
  }

  // For whoever has the connection.

  /**
   * Takes all bytes that have come.
   *
   * @throws FrameException where the other side breaks the protocol; the link must end
   */
  public void receive(ByteBuffer bytes, long at) throws FrameException {
    now = at;
    heartbeat.came(at);
    reader.read(bytes);
    if (over || refusal != null) {
      bytes.position(bytes.limit());
    }
  }

  /**
   * Whether the other side has said nothing for so long that the link is taken for dead. It is to
   * be asked before {@link #receive} too: what comes after such a silence, as to a process that was
   * stopped, must not be acted on, since the other side has given the link up.
   */
  public boolean silent(long at) {
    return heartbeat.silent(at);
  }

  /** When {@link #tick} is wanted; it may be later by the time that comes. */
  public long nextDue() {
    long next = heartbeat.nextDue();
    return leases.isEmpty() ? next : Math.min(next, leases.first().due());
  }

  /** Does what is due; {@link #silent} is to be asked first. */
  public void tick(long at) {
    now = at;
    heartbeat.tick(at);
    while (!leases.isEmpty() && leases.first().due() <= at) {
      Session session = leases.pollFirst();
      session.leaseOver();
    }
    wake();
  }

  /** Whether {@link #produce} has something. */
  public boolean wants() {
    return !over
        && !refusalSent
        && (!helloSent
            || refusal != null
            || pongDue >= 0
            || (heartbeat.due() && theirs != null)
            || !leavesDue.isEmpty()
            || !control.isEmpty()
            || !tellings.isEmpty()
            || !data.isEmpty());
  }

  /**
   * Puts frames into the buffer, which has room for {@link Frames#LONGEST} bytes, while there are
   * any and room is left. They must be sent, all and in this order.
   */
  public void produce(ByteBuffer out, long at) {
    now = at;
    while (wants() && out.remaining() >= SPACE) {
      putNext(out);
    }
  }

  private void putNext(ByteBuffer out) {
    if (!helloSent) {
      helloSent = true;
      FrameWriter.hello(out, mine);
    } else if (refusal != null) {
      refusalSent = true;
      FrameWriter.refuse(out, refusal);
    } else if (pongDue >= 0) {
      FrameWriter.pong(out, pongDue);
      pongDue = -1;
    } else if (heartbeat.due() && theirs != null) {
      FrameWriter.ping(out, heartbeat.ask(now));
    } else if (!leavesDue.isEmpty()) {
      Leave leave = leavesDue.remove(leavesDue.keySet().iterator().next());
      leavesSent.put(leave.code(), leave);
      FrameWriter.leave(out, leave);
    } else if (!control.isEmpty()) {
      control.poll().putControl(out);
    } else if (!tellings.isEmpty()) {
      FrameWriter.room(out, tellings.next(now, now - begun));
    } else {
      data.poll().putData(out);
    }
  }

  /** Tells what came of the last {@link #produce}, once its bytes are safe. */
  public void tell(long at) {
    now = at;
    for (Runnable next = news.poll(); next != null; next = news.poll()) {
      next.run();
    }
  }

  /**
   * The link has ended, for whatever reason: every session is told, and nothing more is. What any
   * of them throws is thrown once all were told.
   */
  public void end(long at) {
    if (over) {
      return;
    }
    now = at;
    over = true;
    List<Runnable> last = new ArrayList<>(news);
    for (Session session : sessions.values()) {
      last.add(() -> session.linkOver(at));
    }
    news.clear();
    sessions.clear();
    control.clear();
    data.clear();
    leases.clear();
    RuntimeException failure = null;
    for (Runnable next : last) {
      try {
        next.run();
      } catch (RuntimeException e) {
        failure = failure == null ? e : failure;
      }
    }
    if (failure != null) {
      throw failure;
    }
  }

  /** This side will not go on: the reason is the last that it sends. */
  public void refuse(Refusal reason) {
    if (refusal == null) {
      refusal = reason;
      wake();
    }
  }

  /** Whether the last frame that can be sent is on its way. */
  public boolean refusing() {
    return refusalSent;
  }

  /** Whether both sides have said that they open nothing more, and nothing is open. */
  public boolean closed() {
    return leavesSent.containsKey(Leave.Code.CLOSE)
        && leavesCame.containsKey(Leave.Code.CLOSE)
        && sessions.isEmpty();
  }

  // For the link's owner.

  /** Whether {@link #open} would open a session. */
  public boolean canOpen() {
    return up
        && !over
        && refusal == null
        && !leaving(Leave.Code.STOP)
        && !leaving(Leave.Code.CLOSE)
        && openMine < theirs.sessions()
        && lastMine < Integer.MAX_VALUE - 2;
  }

  /** Whether either side has announced this. */
  public boolean leaving(Leave.Code code) {
    return leavesDue.containsKey(code)
        || leavesSent.containsKey(code)
        || leavesCame.containsKey(code);
  }

  /**
   * Sends an attempt over. Its lease begins now.
   *
   * @return the session, or null where none can be opened on this link
   */
  public Session open(Attempt attempt, Session.Handler handler, long at) {
    now = at;
    if (!canOpen()) {
      return null;
    }
    Open open =
        new Open(
            attempt.flow(),
            attempt.number(),
            attempt.attempts(),
            millis(attempt.leaseMicros()),
            millis(attempt.deadlineMicros()),
            at - begun,
            limits.credit(),
            attempt.line());
    long ends = at + attempt.leaseMicros();
    long certain = ends + limits.marginMicros() + heartbeat.leastTrip();
    lastMine += 2;
    Session session = Session.opened(this, lastMine, attempt, open, handler, ends, certain);
    sessions.put(lastMine, session);
    openMine++;
    leases.add(session);
    control(session);
    return session;
  }

  /** Rounded down: the far side must not hold a lease for longer than this one counts. */
  private static int millis(long micros) {
    return (int) Math.min(Integer.MAX_VALUE, Math.max(1, micros / 1_000));
  }

  /**
   * Tells the other side of room; of a class, the latest telling that has not gone yet counts.
   *
   * @param at when the figure was right
   */
  public void tellRoom(String flowClass, int room, long generation, long at) {
    tellings.add(flowClass, room, generation, at);
    wake();
  }

  public void leave(Leave leave) {
    if (!leavesSent.containsKey(leave.code())) {
      leavesDue.put(leave.code(), leave);
      wake();
    }
  }

  /** Sessions whose end is not agreed on yet. */
  public int sessions() {
    return sessions.size();
  }

  /** Whether sessions may be opened, unless one side leaves. */
  public boolean isUp() {
    return up;
  }

  /** The smoothed round trip in microseconds, or -1 before the first. */
  public long roundTrip() {
    return heartbeat.roundTrip();
  }

  /** What the other side said first, or null before. */
  public Hello theirs() {
    return theirs;
  }

  // For sessions.

  LinkLimits limits() {
    return limits;
  }

  /** Bytes that wait in all sessions. */
  public long waiting() {
    return waiting;
  }

  void waits(int more) {
    waiting += more;
  }

  /** Takes so much from what windows may be widened by, if there is as much. */
  boolean widen(int bytes) {
    if (widened + bytes > limits.windows()) {
      return false;
    }
    widened += bytes;
    return true;
  }

  void narrow(int bytes) {
    widened -= bytes;
  }

  void control(Session session) {
    if (session.joinControl()) {
      control.add(session);
    }
    wake();
  }

  void data(Session session) {
    data.add(session);
    wake();
  }

  void later(Runnable task) {
    news.add(task);
  }

  /** Its lease is kept, or no longer matters. */
  void settled(Session session) {
    leases.remove(session);
  }

  void died(Session session) {
    leases.remove(session);
    owner.died(session);
  }

  void free(Session session) {
    if (sessions.remove(session.id(), session)) {
      if (session.mine()) {
        openMine--;
      } else {
        openTheirs--;
      }
    }
  }

  private void wake() {
    if (!over) {
      owner.wake();
    }
  }

  /** What the other side sends. */
  private final class Incoming implements Frames {
    @Override
    public boolean listening() {
      return !over && refusal == null;
    }

    @Override
    public void foreign(Version version) {
      Mux.this.refuse(
          new Refusal(
              Refusal.Code.VERSION,
              Version.OURS,
              "speaks " + Version.OURS + ", and not " + version));
    }

    @Override
    public void hello(Hello hello) {
      theirs = hello;
      Refusal reason = owner.greeted(hello);
      if (reason != null) {
        Mux.this.refuse(reason);
      }
      wake();
    }

    @Override
    public void refuse(Refusal reason) {
      owner.refused(reason);
    }

    @Override
    public void leave(Leave leave) {
      leavesCame.put(leave.code(), leave);
      if (leave.code() == Leave.Code.CLOSE) {
        Mux.this.leave(new Leave(Leave.Code.CLOSE, 0));
      }
      owner.leaving(leave);
    }

    @Override
    public void ping(long stamp) {
      stamps.add(now - stamp, now);
      pongDue = stamp;
      wake();
    }

    @Override
    public void pong(long stamp) throws FrameException {
      heartbeat.answered(stamp, now);
      if (!up) {
        up = true;
        owner.up();
      }
    }

    /** How old what was made at the stamp is, or a little more than that is left out. */
    private long age(long stamp) throws FrameException {
      if (!stamps.known()) {
        throw new FrameException("a stamp before any PING");
      }
      return Math.max(0, now - stamp - stamps.least());
    }

    @Override
    public void room(Room room) throws FrameException {
      owner.room(room, room.ageMillis() * 1_000L + age(room.stamp()));
    }

    @Override
    public void open(int id, Open open) throws FrameException {
      if (id <= lastTheirs || (id & 1) == (lastMine & 1)) {
        throw new FrameException("OPEN of session " + Integer.toUnsignedString(id));
      }
      if (openTheirs >= limits.sessions() || leavesCame.containsKey(Leave.Code.CLOSE)) {
        throw new FrameException("OPEN of one too many");
      }
      long age = age(open.stamp());
      Attempt attempt =
          new Attempt(
              theirs.incarnation(),
              open.flow(),
              open.attempt(),
              open.attempts(),
              open.leaseMillis() * 1_000L - age,
              open.deadlineMillis() * 1_000L - age,
              open.line());
      long ends = now + attempt.leaseMicros();
      Session session = Session.offered(Mux.this, id, attempt, open.credit(), ends);
      lastTheirs = id;
      sessions.put(id, session);
      openTheirs++;
      if (attempt.leaseMicros() <= 0 || attempt.deadlineMicros() <= 0) {
        session.decline(Answer.Code.GIVEN_UP);
      } else if (leavesSent.containsKey(Leave.Code.STOP)) {
        session.decline(Answer.Code.TURNED_AWAY);
      } else {
        leases.add(session);
        session.handler(owner.opened(session));
      }
    }

    private Session session(int id) throws FrameException {
      Session session = sessions.get(id);
      if (session == null) {
        throw new FrameException("a frame for session " + Integer.toUnsignedString(id));
      }
      return session;
    }

    /** The session, or null where it was there and has ended, which the other side may not know. */
    private Session maybe(int id) throws FrameException {
      Session session = sessions.get(id);
      int last = (id & 1) == (lastMine & 1) ? lastMine : lastTheirs;
      if (session == null && (id < 0 || id > last)) {
        throw new FrameException("a frame for session " + Integer.toUnsignedString(id));
      }
      return session;
    }

    @Override
    public void answer(int id, Answer answer) throws FrameException {
      session(id).answered(answer, now);
    }

    @Override
    public void keep(int id) throws FrameException {
      session(id).kept();
    }

    @Override
    public void data(int id, ByteBuffer bytes) throws FrameException {
      session(id).came(bytes);
    }

    @Override
    public void credit(int id, int bytes) throws FrameException {
      Session session = maybe(id);
      if (session != null) {
        session.credited(bytes);
      }
    }

    @Override
    public void end(int id) throws FrameException {
      session(id).endCame();
    }

    @Override
    public void reset(int id, int code) throws FrameException {
      Session session = maybe(id);
      if (session != null) {
        session.resetCame(code);
      }
    }
  }
}
