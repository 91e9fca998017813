package brassbank.handover;

import static brassbank.log.Field.value;

import brassbank.log.Log;
import brassbank.sources.Clock;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Looks at the locks on a thread of its own, so that no file keeps the loop waiting, and has the
 * listener turned on and off as {@link HandoverStateMachine} says. What is told to others is what
 * holds: the listener is off before the lock says so, and the lock is held before it is on.
 */
public final class Handover {
  private static final Log LOG = Log.of("handover");

  /** How often the locks are looked at: for twice this at most nobody accepts in a hand-over. */
  public static final long POLL_INTERVAL_MILLIS = 20;

  /** How long a busy loop may take to turn the listener off, before the others go on. */
  private static final long DOOR_MILLIS = 2_000;

  /** A predecessor that does not tell what it holds by then is older, or hangs; microseconds. */
  public static final long STATE_TIMEOUT_MICROS = 1_000_000;

  private static final int NUMBERING_TRIES = 100;

  /** The process, as its hand-over sees it. Called on the hand-over's thread. */
  public interface Process {
    /**
     * Whether it could serve.
     *
     * @param first whether no other process takes connections, so that it should not wait long
     */
    boolean isReadyToServe(boolean first);

    /**
     * Takes connections from now on, or none.
     *
     * @param done runs once that holds, on any thread
     */
    void setAccepting(boolean accepting, Runnable done);

    /** Has what the process holds told, on any thread. */
    void captureState(Consumer<HandoverState> consumer);

    /** What a predecessor with this number holds now; nothing once it is gone. */
    void updatePredecessor(long number, HandoverState state);
  }

  private final Process process;
  private final Clock clock;
  private final Locks locks;
  private final Images images;
  private final AtomicReference<HandoverState> held = new AtomicReference<>();
  private final long began;
  private final HandoverStateMachine succession = new HandoverStateMachine();

  private Handover(Process process, Clock clock, Locks locks, Images images) {
    this.process = process;
    this.clock = clock;
    this.locks = locks;
    this.images = images;
    began = now();
  }

  private long now() {
    return TimeUnit.NANOSECONDS.toMicros(clock.nanos());
  }

  /**
   * Begins to look.
   *
   * @param file the file of locks, in a folder that all processes on the listener share; made where
   *     it is not there
   * @throws IOException where the file of locks cannot be had
   */
  public static void start(Path file, Process process, Clock clock)
      throws IOException, InterruptedException {
    Locks locks = open(file);
    Images images = new Images(file, locks.number());
    images.clean(locks.predecessors());
    Handover handover = new Handover(process, clock, locks, images);
    LOG.info("numbered", value("number", locks.number()));
    Thread thread = new Thread(handover::run, "handover");
    thread.setDaemon(true);
    thread.start();
  }

  /** Another process that has just started may be at its numbering. */
  private static Locks open(Path path) throws IOException, InterruptedException {
    for (int i = 1; ; i++) {
      try {
        return Locks.open(path);
      } catch (IOException e) {
        if (i == NUMBERING_TRIES) {
          throw e;
        }
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS / 4);
      }
    }
  }

  private void run() {
    try {
      while (true) {
        try {
          step();
        } catch (IOException | RuntimeException e) {
          LOG.error("handover-failed", e);
        }
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void step() throws IOException, InterruptedException {
    HandoverStateMachine.Phase before = succession.phase();
    long now = now();
    HandoverStateMachine.View view = locks.view();
    boolean told = pass(now);
    boolean able =
        before.isReady() || (told && process.isReadyToServe(!view.predecessorAccepting()));
    HandoverStateMachine.Phase phase = succession.step(now, view, able);
    if (before.isAccepting() && !phase.isAccepting()) {
      door(false);
    }
    while (!locks.tell(phase)) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    if (!before.isAccepting() && phase.isAccepting()) {
      door(true);
    }
    if (phase != before) {
      LOG.info("handover", value("phase", phase));
    }
  }

  /**
   * Tells successors what this process holds, and the process what its predecessors do.
   *
   * @return whether it knows that of all of them, or has waited long enough for it
   */
  private boolean pass(long now) throws IOException {
    if (locks.succeeded()) {
      process.captureState(held::set);
      HandoverState holding = held.get();
      if (holding != null) {
        images.write(holding);
      }
    }
    List<Long> alive = locks.predecessors();
    for (long predecessor : alive) {
      HandoverState holding = images.read(predecessor);
      if (holding != null) {
        process.updatePredecessor(predecessor, holding);
      }
    }
    for (long dead : images.gone(alive)) {
      process.updatePredecessor(dead, HandoverState.EMPTY);
    }
    return now - began >= STATE_TIMEOUT_MICROS || alive.stream().allMatch(images::knows);
  }

  private void door(boolean on) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    process.setAccepting(on, done::countDown);
    if (!done.await(DOOR_MILLIS, TimeUnit.MILLISECONDS)) {
      LOG.warn("door-late", value("on", on));
    }
  }
}
