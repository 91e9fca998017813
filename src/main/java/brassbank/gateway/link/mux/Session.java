package brassbank.gateway.link.mux;

import brassbank.gateway.link.frame.Answer;
import brassbank.gateway.link.frame.FrameException;
import brassbank.gateway.link.frame.FrameWriter;
import brassbank.gateway.link.frame.Open;
import java.nio.ByteBuffer;

/**
 * One flow's way over a link: an attempt at first, and once that is up, bytes both ways. Each side
 * sends as much as the other has given credit for. It ends when both sides have ended their
 * sending, when one resets it, or with its link.
 *
 * <pre>
 *   OFFERED --up--> STANDING --both ended, reset, lease, link--> DEAD
 *      |--reset by its opener--> CANCELLED --confirmed, lapsed, link--> DEAD
 *      `--other answer, reset, lease, lapsed, link--> DEAD
 * </pre>
 *
 * It is for the thread that turns its {@link Mux}, as are its handler's calls.
 */
public final class Session {
  /** Who is told of a session. What is told last is {@code over}. */
  public interface Handler {
    /** To the opener: the session stands from here on. */
    default void up(Session session, Answer answer) {}

    /**
     * Bytes have come, which are valid during the call only. Whoever keeps them owes {@link #taken}
     * once they are gone from this gateway.
     */
    void came(Session session, ByteBuffer bytes);

    /** So many of the bytes that waited are on the link, and leave room for others. */
    void took(Session session, int bytes);

    /** The other side has ended its sending. */
    void ended(Session session);

    /** The session is no more. Told once, but not where {@link #reset} or an answer ended it. */
    void over(Session session, Ending ending);
  }

  /** Hears nothing: for a session that nobody has taken yet. */
  public static final Handler NOBODY =
      new Handler() {
        @Override
        public void came(Session session, ByteBuffer bytes) {}

        @Override
        public void took(Session session, int bytes) {}

        @Override
        public void ended(Session session) {}

        @Override
        public void over(Session session, Ending ending) {}
      };

  private enum Stage {
    /** Not answered yet. */
    OFFERED,
    /** Given up by its opener before an answer; whether it is out is not known yet. */
    CANCELLED,
    STANDING,
    /** Nothing is told any longer; frames that end it are on their way. */
    DEAD
  }

  private final Mux mux;
  private final int id;

  /** This side has opened it. */
  private final boolean mine;

  private final Attempt attempt;
  private final Inflow in;
  private final Outflow out;

  /** When the lease ends, in this side's time. */
  private final long leaseEnds;

  /** When the mux looks at the lease: at its end, or for its opener a margin after. */
  private final long due;

  private Handler handler = NOBODY;
  private Stage stage = Stage.OFFERED;

  // Frames that are due; they go before any data, in this order, and credit before the last.
  private Open openDue;
  private Answer answerDue;
  private boolean keepDue;
  private boolean resetDue;
  private int resetCode;

  /** The session is in the mux's queue for these, or in the one for data. */
  private boolean inControl;

  private boolean inData;

  /** The opener has been told that it is up. */
  private boolean answeredUp;

  private boolean endCame;

  /** The frame that is this side's last has been sent: a reset, or an answer that is not up. */
  private boolean lastSent;

  private boolean lastCame;

  private Session(
      Mux mux, int id, Attempt attempt, Open opening, Inflow in, Outflow out, long ends, long due) {
    this.mux = mux;
    this.id = id;
    this.attempt = attempt;
    this.mine = opening != null;
    this.openDue = opening;
    this.in = in;
    this.out = out;
    this.leaseEnds = ends;
    this.due = due;
  }

  /** A session that this side opens. */
  static Session opened(
      Mux mux, int id, Attempt attempt, Open open, Handler handler, long ends, long due) {
    Inflow in = new Inflow(mux, open.credit());
    Session session = new Session(mux, id, attempt, open, in, new Outflow(mux, 0), ends, due);
    session.handler = handler;
    return session;
  }

  /** A session that the other side has opened. */
  static Session offered(Mux mux, int id, Attempt attempt, int credit, long ends) {
    Inflow in = new Inflow(mux, 0);
    return new Session(mux, id, attempt, null, in, new Outflow(mux, credit), ends, ends);
  }

  /** Its number on its link. */
  public int id() {
    return id;
  }

  public Attempt attempt() {
    return attempt;
  }

  /** Whether this side has opened it. */
  public boolean mine() {
    return mine;
  }

  /** Whether bytes may pass. */
  public boolean standing() {
    return stage == Stage.STANDING;
  }

  boolean dead() {
    return stage == Stage.DEAD;
  }

  long due() {
    return due;
  }

  void handler(Handler told) {
    handler = told;
  }

  /**
   * Answers the attempt that the other side has opened; once. With {@link Answer.Code#UP} the
   * session stands; any other answer is its end. The answer's credit is set here.
   *
   * @throws IllegalStateException where it is the other side's to answer
   */
  public void answer(Answer answer) {
    if (mine) {
      throw new IllegalStateException("the other side answers what this one has opened");
    }
    if (stage != Stage.OFFERED) {
      return;
    }
    if (answer.code() == Answer.Code.UP) {
      stage = Stage.STANDING;
      int credit = mux.limits().credit();
      in.grant(credit);
      answerDue = new Answer(Answer.Code.UP, answer.pauseMillis(), credit, answer.line());
    } else {
      answerDue = answer;
      die();
    }
    mux.control(this);
  }

  /** Answers an attempt of which nobody has been told. */
  void decline(Answer.Code code) {
    stage = Stage.DEAD;
    answerDue = Answer.of(code);
    mux.control(this);
  }

  /** How many bytes {@link #send} takes now. Where it is 0, {@link Handler#took} will be told. */
  public int room() {
    return stage == Stage.STANDING ? out.room() : 0;
  }

  /** How many bytes wait here to be sent. */
  public int waiting() {
    return out.waiting();
  }

  /**
   * Takes what there is room for and leaves the rest in the buffer. Where nothing more can be sent,
   * all is dropped.
   */
  public void send(ByteBuffer bytes) {
    if (stage == Stage.STANDING && !out.finished()) {
      out.add(bytes);
      offerData();
    } else {
      bytes.position(bytes.limit());
    }
  }

  /**
   * So many of the bytes that came are gone from this gateway: the other side may send others.
   *
   * @throws IllegalArgumentException where that is more than has come
   */
  public void taken(int bytes) {
    if (in.taken(bytes) && stage == Stage.STANDING && !endCame) {
      mux.control(this);
    }
  }

  /** Ends the sending after all that was sent. */
  public void finish() {
    if (stage == Stage.STANDING) {
      out.finish();
      offerData();
    }
  }

  /**
   * Ends the session at once; what waits is dropped, and nothing more is told. Only where this side
   * has opened it and no answer has come, the attempt may still be out, and {@link Handler#over}
   * tells when it no longer is.
   *
   * @param code of {@link ResetCode}
   */
  public void reset(int code) {
    if (stage == Stage.OFFERED && mine) {
      stage = Stage.CANCELLED;
      last(code);
    } else if (stage == Stage.OFFERED || stage == Stage.STANDING) {
      die();
      last(code);
    }
  }

  private void over(Ending ending) {
    if (stage != Stage.DEAD) {
      die();
      handler.over(this, ending);
    }
  }

  private void die() {
    stage = Stage.DEAD;
    in.close();
    out.close();
    mux.died(this);
  }

  /** Sees to it that this side's last frame goes out, whichever it is. */
  private void last(int code) {
    if (answerDue != null && answerDue.code() == Answer.Code.UP) {
      answerDue = null;
    }
    if (!lastSent && answerDue == null) {
      resetDue = true;
      resetCode = code;
      mux.control(this);
    }
  }

  /** Where each side has sent its last frame, neither will say anything of this session again. */
  private void freeIfDone() {
    if ((lastSent && lastCame) || (out.endSent() && endCame)) {
      mux.free(this);
    }
  }

  /** The link has ended. */
  void linkOver(long now) {
    long wait = stage == Stage.STANDING || !mine ? 0 : Math.max(0, due - now);
    over(new Ending(Ending.How.LINK, null, 0, wait));
  }

  /** The lease has run out; on the opener's side, so has its margin. */
  void leaseOver() {
    if (mine) {
      last(ResetCode.LEASE);
      over(Ending.of(Ending.How.LAPSED));
      return;
    }
    boolean unsaid = stage == Stage.OFFERED || answerDue != null;
    over(Ending.of(Ending.How.LEASE));
    if (unsaid) {
      answerDue = Answer.of(Answer.Code.GIVEN_UP);
      mux.control(this);
    } else {
      last(ResetCode.LEASE);
    }
  }

  void answered(Answer answer, long now) throws FrameException {
    if (!mine || openDue != null || lastCame || answeredUp) {
      throw new FrameException("ANSWER where none is due");
    }
    boolean up = answer.code() == Answer.Code.UP;
    answeredUp = up;
    lastCame = !up;
    if (stage == Stage.OFFERED && up && now <= leaseEnds) {
      stage = Stage.STANDING;
      mux.settled(this);
      out.credit(answer.credit());
      keepDue = true;
      mux.control(this);
      handler.up(this, answer);
    } else if (stage == Stage.OFFERED && up) {
      // Too late: the far side has given it up, or will.
      reset(ResetCode.LEASE);
    } else if (stage == Stage.OFFERED) {
      last(ResetCode.DONE);
      over(new Ending(Ending.How.ANSWERED, answer, 0, 0));
    } else if (stage == Stage.CANCELLED && !up) {
      over(Ending.of(Ending.How.GIVEN_UP));
    }
    freeIfDone();
  }

  void kept() throws FrameException {
    if (mine || lastCame || stage == Stage.OFFERED) {
      throw new FrameException("KEEP where none is due");
    }
    mux.settled(this);
  }

  void came(ByteBuffer bytes) throws FrameException {
    int count = bytes.remaining();
    if (endCame || lastCame || (mine && !answeredUp)) {
      throw new FrameException("DATA where none is due");
    }
    if (!in.take(count)) {
      throw new FrameException("DATA beyond the credit");
    }
    if (stage == Stage.STANDING) {
      in.told(count);
      handler.came(this, bytes);
    }
  }

  void credited(int bytes) throws FrameException {
    if (lastCame || openDue != null || !out.credit(bytes)) {
      throw new FrameException("CREDIT where none is due");
    }
    offerData();
  }

  void endCame() throws FrameException {
    if (endCame || lastCame || (mine ? !answeredUp : stage == Stage.OFFERED)) {
      throw new FrameException("END where none is due");
    }
    endCame = true;
    if (stage == Stage.STANDING) {
      handler.ended(this);
    }
    if (out.endSent()) {
      finished();
    }
  }

  /** Both sides have ended their sending; a reset that was to follow need not. */
  private void finished() {
    resetDue = false;
    mux.free(this);
    if (stage == Stage.STANDING) {
      over(Ending.of(Ending.How.FINISHED));
    }
  }

  void resetCame(int code) throws FrameException {
    if (lastCame || openDue != null) {
      throw new FrameException("RESET where none is due");
    }
    lastCame = true;
    last(ResetCode.DONE);
    if (stage == Stage.CANCELLED) {
      over(Ending.of(Ending.How.GIVEN_UP));
    } else {
      over(new Ending(Ending.How.RESET, null, code, 0));
    }
    freeIfDone();
  }

  private void offerData() {
    if (!inData && stage == Stage.STANDING && out.ready()) {
      inData = true;
      mux.data(this);
    }
  }

  /** Whether it is to be put into the queue of those with such frames due. */
  boolean joinControl() {
    boolean joins = !inControl;
    inControl = true;
    return joins;
  }

  /** Puts the frames that are due; there is room for the longest and three short ones. */
  void putControl(ByteBuffer to) {
    inControl = false;
    if (openDue != null && stage != Stage.OFFERED) {
      unsaid();
      return;
    }
    if (openDue != null) {
      FrameWriter.open(to, id, openDue);
      openDue = null;
    }
    if (answerDue != null) {
      FrameWriter.answer(to, id, answerDue);
      lastSent = answerDue.code() != Answer.Code.UP;
      answerDue = null;
    }
    if (keepDue && stage == Stage.STANDING) {
      FrameWriter.keep(to, id);
    }
    keepDue = false;
    int credit = stage == Stage.STANDING && !endCame ? in.due() : 0;
    if (credit > 0) {
      FrameWriter.credit(to, id, credit);
    }
    if (resetDue) {
      FrameWriter.reset(to, id, resetCode);
      resetDue = false;
      lastSent = true;
    }
    freeIfDone();
  }

  /** Given up before a frame of it went: the other side need not know. */
  private void unsaid() {
    mux.free(this);
    mux.later(() -> over(Ending.of(Ending.How.GIVEN_UP)));
  }

  /** Puts one turn's data, as far as there is room. */
  void putData(ByteBuffer to) {
    inData = false;
    if (stage != Stage.STANDING) {
      return;
    }
    int count = out.put(to, id);
    if (count > 0) {
      mux.later(
          () -> {
            if (stage == Stage.STANDING) {
              handler.took(this, count);
            }
          });
    }
    if (out.endSent() && endCame) {
      mux.later(this::finished);
    }
    offerData();
  }
}
