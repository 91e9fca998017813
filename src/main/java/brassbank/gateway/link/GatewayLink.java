package brassbank.gateway.link;

import brassbank.gateway.link.frame.FrameException;
import brassbank.gateway.link.frame.GatewayName;
import brassbank.gateway.link.frame.Hello;
import brassbank.gateway.link.frame.Leave;
import brassbank.gateway.link.frame.Refusal;
import brassbank.gateway.link.frame.Room;
import brassbank.gateway.link.frame.Version;
import brassbank.gateway.link.mux.Attempt;
import brassbank.gateway.link.mux.LinkLimits;
import brassbank.gateway.link.mux.Mux;
import brassbank.gateway.link.mux.Session;
import brassbank.gateway.link.tls.Guard;
import brassbank.gateway.link.tls.Guards;
import brassbank.gateway.link.tls.PeerCheck;
import brassbank.gateway.link.tls.TlsReason;
import brassbank.log.Log;
import brassbank.net.Channel;
import brassbank.net.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * One connection to another gateway: its socket, its guard, its sessions' {@link Mux}, and a buffer
 * of what the kernel has not taken yet. That buffer is filled only while it has room, so that what
 * waits, waits in the sessions, and a heartbeat is never far behind. The connection is given back
 * in {@link #end}, and nowhere else. For the loop's thread.
 */
public final class GatewayLink {
  private static final Log LOG = Log.of("link");

  private static final int OUTBOX = 64 * 1024;

  /** What goes in one turn at most before other links have theirs. */
  private static final int TURN = 256 * 1024;

  /** What the kernel may keep for the peer: a heartbeat has to get past it within its time. */
  private static final int KERNEL_BUFFER = 256 * 1024;

  private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

  /** Who is told of a link: all of it but the end in the order in which a link goes through it. */
  interface Owner {
    Refusal greeted(GatewayLink link, Hello hello);

    void up(GatewayLink link);

    Session.Handler opened(GatewayLink link, Session session);

    void died(GatewayLink link, Session session);

    void room(GatewayLink link, Room room, long ageMicros);

    void leaving(GatewayLink link, Leave leave);

    /** One side wants to end it, and no session is left on it; told more than once. */
    void idle(GatewayLink link);

    /** Told once, before its sessions are. */
    void ended(GatewayLink link, LinkEnd how, String reason);

    /** Its descriptor is free. */
    void released(GatewayLink link);
  }

  private final Io io;
  private final Channel channel;
  private final boolean dialled;
  private final LinkLimits limits;
  private final Hello hello;
  private final Guards guards;
  private final Guard guard;
  private final PeerCheck check;
  private final Owner owner;
  private final ByteBuffer outbox = ByteBuffer.allocate(OUTBOX);
  private final long begun;

  /** Null until the guard is ready. */
  private Mux mux;

  private GatewayName peer;
  private EventLoop.Timer setup;
  private EventLoop.Timer timer;
  private long timerDue = Long.MAX_VALUE;
  private boolean reading = true;
  private boolean flushing;
  private boolean writing;
  private boolean over;

  /** Why this side will not go on, once it has said so. */
  private String refusedFor = "another major version";

  private long came;
  private long went;

  GatewayLink(
      Io io,
      Channel channel,
      boolean dialled,
      LinkSettings settings,
      Hello hello,
      Guards guards,
      PeerCheck check,
      Owner owner) {
    this.io = io;
    this.channel = channel;
    this.dialled = dialled;
    this.limits = settings.limits();
    this.hello = hello;
    this.guards = guards;
    this.check = check;
    this.owner = owner;
    begun = io.now();
    guard = guards.guard(dialled, check, this::resume);
    setup = io.loop().schedule(settings.setupMicros(), () -> end(LinkEnd.LATE, "not up in time"));
    channel.sendBuffer(KERNEL_BUFFER);
    channel.handler(
        new Channel.Handler() {
          @Override
          public void readable() {
            EventLoop.runGuarded(GatewayLink.this::read);
          }

          @Override
          public void writable() {
            EventLoop.runGuarded(GatewayLink.this::flush);
          }

          @Override
          public void broken() {
            EventLoop.runGuarded(() -> end(LinkEnd.BROKEN, "the connection broke"));
          }
        });
    settle();
  }

  /** The gateway at the other end; null before it has said who it is. */
  public GatewayName peer() {
    return peer;
  }

  /** Whether this gateway has opened the connection. */
  public boolean dialled() {
    return dialled;
  }

  /** Whether sessions can be opened on it now. */
  public boolean canOpen() {
    return !over && mux != null && mux.canOpen();
  }

  /** Whether either side has announced this. */
  public boolean leaving(Leave.Code code) {
    return mux != null && mux.leaving(code);
  }

  /** Sessions whose end is not agreed on yet. */
  public int sessions() {
    return mux == null ? 0 : mux.sessions();
  }

  /** The smoothed round trip in microseconds, or -1 before the first. */
  public long roundTripMicros() {
    return mux == null ? -1 : mux.roundTrip();
  }

  /** Bytes off the wire so far. */
  public long bytesCame() {
    return came;
  }

  /** Bytes on the wire so far. */
  public long bytesWent() {
    return went;
  }

  /** Bytes of sessions that wait for credit or for their turn. */
  public long waiting() {
    return mux == null ? 0 : mux.waiting();
  }

  long age() {
    return io.now() - begun;
  }

  Guards guards() {
    return guards;
  }

  boolean isUp() {
    return !over && mux != null && mux.isUp();
  }

  boolean isOver() {
    return over;
  }

  long incarnation() {
    return mux.theirs().incarnation();
  }

  Session open(Attempt attempt, Session.Handler handler) {
    Session session = mux.open(attempt, handler, io.now());
    arm();
    return session;
  }

  void leave(Leave leave) {
    mux.leave(leave);
  }

  void tellRoom(String flowClass, int room, long generation, long at) {
    mux.tellRoom(flowClass, room, generation, at);
  }

  private void read() {
    if (over) {
      return;
    }
    ByteBuffer in = io.input();
    if (!guard.ready()) {
      in.limit(Guard.RECORD);
    }
    try {
      int count = channel.read(in);
      if (count < 0) {
        boolean agreed = mux != null && mux.closed();
        end(agreed ? LinkEnd.CLOSED : LinkEnd.BROKEN, "ended by the peer");
        return;
      }
      came += count;
    } catch (IOException e) {
      end(LinkEnd.BROKEN, String.valueOf(e.getMessage()));
      return;
    }
    // What comes after too long a silence, as to a process that was stopped, is not acted on.
    if (mux != null && mux.silent(io.now())) {
      end(LinkEnd.SILENT, "silent before this came");
      return;
    }
    try {
      guard.fromWire(in.flip(), this::plain);
      settle();
    } catch (IOException e) {
      unsafe(e);
    }
  }

  /** The guard's work elsewhere is done. */
  private void resume() {
    if (over) {
      return;
    }
    try {
      guard.resume(this::plain);
      settle();
    } catch (IOException e) {
      unsafe(e);
    }
  }

  /** After whatever may have changed what the guard and the sessions want next. */
  private void settle() {
    if (over) {
      return;
    }
    if (reading != guard.takes()) {
      reading = !reading;
      channel.reading(reading);
    }
    if (guard.ready() && mux == null) {
      begin();
    }
    if (guard.speaks()) {
      wake();
    }
    arm();
    if (isUp()
        && mux.sessions() == 0
        && (leaving(Leave.Code.STOP) || leaving(Leave.Code.RENEW))
        && !leaving(Leave.Code.CLOSE)) {
      owner.idle(this);
    }
  }

  /** The guard lets the first bytes pass. */
  private void begin() {
    peer = guard.gateway();
    mux = new Mux(limits, hello, dialled, new Sessions(), io.now());
    wake();
  }

  private void plain(ByteBuffer bytes) {
    if (mux == null) {
      begin();
    }
    while (bytes.hasRemaining() && !over) {
      try {
        mux.receive(bytes, io.now());
      } catch (FrameException e) {
        mux.refuse(new Refusal(Refusal.Code.VIOLATION, Version.OURS, e.getMessage()));
        lastWords();
        end(LinkEnd.VIOLATION, e.getMessage());
      } catch (RuntimeException e) {
        failed(e);
      }
    }
  }

  /** A fault of the program's, in whatever was told of one frame, costs the others nothing. */
  private static void failed(RuntimeException failure) {
    LOG.error("link-task-failed", failure);
  }

  /** The peer is not to be spoken with, or the wire not to be trusted. */
  private void unsafe(IOException failure) {
    lastWords();
    boolean known = guard.ready();
    end(known ? LinkEnd.BROKEN : LinkEnd.REFUSED, TlsReason.of(failure));
  }

  private void wake() {
    if (!flushing && !writing && !over) {
      // In a while, so that what all sessions say in this turn of the loop goes as one.
      flushing = true;
      io.loop().schedule(0, this::flush);
    }
  }

  private void flush() {
    flushing = false;
    if (over) {
      return;
    }
    try {
      int sum = 0;
      do {
        fill();
        sum += write();
      } while (!over && outbox.position() == 0 && wants() && sum < TURN);
    } catch (IOException e) {
      unsafe(e);
      return;
    }
    if (over) {
      return;
    }
    boolean rest = outbox.position() > 0;
    if (rest != writing) {
      writing = rest;
      channel.writing(rest);
    }
    if (!rest && wants()) {
      wake();
    } else if (!rest && mux != null && mux.refusing()) {
      end(LinkEnd.REFUSED, refusedFor);
    } else if (!rest && mux != null && mux.closed()) {
      end(LinkEnd.CLOSED, "agreed");
    }
    settle();
  }

  private boolean wants() {
    return guard.speaks() || (mux != null && guard.ready() && mux.wants());
  }

  /** Fills the outbox as far as whole records fit. */
  private void fill() throws IOException {
    while (!over && wants() && outbox.remaining() >= 2 * Guard.RECORD) {
      if (guard.speaks()) {
        guard.toWire(NOTHING, outbox);
        if (guard.ready() && mux == null) {
          begin();
        }
        guard.resume(this::plain);
      } else {
        ByteBuffer frames = io.frames();
        mux.produce(frames, io.now());
        frames.flip();
        while (frames.hasRemaining()) {
          guard.toWire(frames, outbox);
        }
        tell();
      }
    }
  }

  private void tell() {
    try {
      mux.tell(io.now());
    } catch (RuntimeException e) {
      failed(e);
    }
  }

  private int write() throws IOException {
    int count;
    outbox.flip();
    try {
      count = channel.write(outbox);
    } finally {
      outbox.compact();
    }
    went += count;
    return count;
  }

  /** What may help those who run the peer, as far as it can be said at once. */
  private void lastWords() {
    try {
      for (int i = 0; i < 2 && outbox.remaining() >= 2 * Guard.RECORD; i++) {
        if (mux != null && guard.ready()) {
          fill();
        } else if (guard.takes() || guard.speaks()) {
          guard.toWire(NOTHING, outbox);
        }
      }
      write();
    } catch (IOException e) {
      // It was the last that could be done for a link which ends anyhow.
      outbox.clear();
    }
  }

  /** Sees to it that the mux is looked at when it wants to be. */
  private void arm() {
    if (over || mux == null) {
      return;
    }
    long due = mux.nextDue();
    if (due < timerDue) {
      if (timer != null) {
        timer.cancel();
      }
      timerDue = due;
      timer = io.loop().schedule(due - io.now(), this::tick);
    }
  }

  private void tick() {
    timer = null;
    timerDue = Long.MAX_VALUE;
    if (over) {
      return;
    }
    long now = io.now();
    if (mux.silent(now)) {
      end(LinkEnd.SILENT, "nothing came, or a heartbeat went unanswered");
      return;
    }
    try {
      mux.tick(now);
    } catch (RuntimeException e) {
      failed(e);
    }
    arm();
  }

  /** The one place where the connection is given back, at once or after its last word. */
  void end(LinkEnd how, String reason) {
    if (over) {
      return;
    }
    over = true;
    setup.cancel();
    if (timer != null) {
      timer.cancel();
    }
    owner.ended(this, how, reason);
    if (mux != null) {
      try {
        mux.end(io.now());
      } catch (RuntimeException e) {
        failed(e);
      }
    }
    boolean words =
        switch (how) {
          case CLOSED, STOPPED, VIOLATION -> guard.ready();
          case REFUSED -> true;
          default -> false;
        };
    if (words) {
      guard.close();
      lastWords();
      new Drain(io, channel, () -> owner.released(this));
    } else {
      channel.reset();
      owner.released(this);
    }
  }

  /** What the mux tells of. */
  private final class Sessions implements Mux.Owner {
    @Override
    public Refusal greeted(Hello theirs) {
      if (peer != null && !peer.equals(theirs.gateway())) {
        String text = "the hello says " + theirs.gateway() + ", the certificate " + peer;
        refusedFor = text;
        return new Refusal(Refusal.Code.NAME, Version.OURS, text);
      }
      if (peer == null) {
        String reason = check.refuse(theirs.gateway());
        if (reason != null) {
          refusedFor = reason + ": " + theirs.gateway();
          return new Refusal(Refusal.Code.NAME, Version.OURS, refusedFor);
        }
      }
      peer = theirs.gateway();
      Refusal refusal = owner.greeted(GatewayLink.this, theirs);
      if (refusal != null) {
        refusedFor = refusal.text();
      }
      return refusal;
    }

    @Override
    public void up() {
      setup.cancel();
      owner.up(GatewayLink.this);
    }

    @Override
    public Session.Handler opened(Session session) {
      return owner.opened(GatewayLink.this, session);
    }

    @Override
    public void died(Session session) {
      owner.died(GatewayLink.this, session);
    }

    @Override
    public void room(Room room, long ageMicros) {
      owner.room(GatewayLink.this, room, ageMicros);
    }

    @Override
    public void leaving(Leave leave) {
      owner.leaving(GatewayLink.this, leave);
    }

    @Override
    public void refused(Refusal refusal) {
      end(LinkEnd.REFUSED_BY_PEER, refusal.code() + ": " + refusal.text());
    }

    @Override
    public void wake() {
      GatewayLink.this.wake();
    }
  }
}
