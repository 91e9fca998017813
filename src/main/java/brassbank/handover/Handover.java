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
 * Polls the lock file on a thread of its own, so that file access never blocks the event loop, and
 * turns the listener on and off as {@link HandoverStateMachine} decides.
 *
 * <p>What a process announces to the others is always true: the listener is off before its lock is
 * released, and the lock is held before the listener is turned on.
 */
public final class Handover {
  private static final Log LOG = Log.of("handover");

  /**
   * The interval at which the locks are polled. During a handover no process accepts connections
   * for at most twice this time.
   */
  public static final long POLL_INTERVAL_MILLIS = 20;

  /** How long the handover waits for a busy event loop to switch the listener. */
  private static final long LISTENER_SWITCH_TIMEOUT_MILLIS = 2_000;

  /**
   * How long a starting process waits for the states of its predecessors. A predecessor that has
   * not published its state by then runs an older program or hangs.
   */
  public static final long STATE_TIMEOUT_MICROS = 1_000_000;

  private static final int MAX_OPEN_ATTEMPTS = 100;

  /** The process that takes part in the handover. Its methods run on the handover's thread. */
  public interface Process {
    /**
     * Returns whether the process could serve clients.
     *
     * @param noneAccepting whether no predecessor accepts connections, in which case the process
     *     should not wait long for better data
     */
    boolean isReadyToServe(boolean noneAccepting);

    /**
     * Starts or stops accepting connections.
     *
     * @param done runs on any thread once the change is in effect
     */
    void setAccepting(boolean accepting, Runnable done);

    /** Passes the current state of the process to the consumer, on any thread. */
    void captureState(Consumer<HandoverState> consumer);

    /**
     * Receives the current state of a predecessor.
     *
     * @param number the predecessor's process number
     * @param state its state; {@link HandoverState#EMPTY} once it has stopped
     */
    void updatePredecessor(long number, HandoverState state);
  }

  private final Process process;
  private final Clock clock;
  private final LockFile locks;
  private final ImageStore images;
  private final AtomicReference<HandoverState> capturedState = new AtomicReference<>();
  private final long startedMicros;
  private final HandoverStateMachine stateMachine = new HandoverStateMachine();

  private Handover(Process process, Clock clock, LockFile locks, ImageStore images) {
    this.process = process;
    this.clock = clock;
    this.locks = locks;
    this.images = images;
    startedMicros = nowMicros();
  }

  private long nowMicros() {
    return TimeUnit.NANOSECONDS.toMicros(clock.nanos());
  }

  /**
   * Opens the lock file and starts the polling thread.
   *
   * @param file the lock file, in a folder that all processes on the listener share; created if it
   *     does not exist
   * @throws IOException if the lock file cannot be opened or locked
   */
  public static void start(Path file, Process process, Clock clock)
      throws IOException, InterruptedException {
    LockFile locks = openLocks(file);
    ImageStore images = new ImageStore(file, locks.number());
    images.deleteStale(locks.livePredecessors());
    Handover handover = new Handover(process, clock, locks, images);
    LOG.info("numbered", value("number", locks.number()));
    Thread thread = new Thread(handover::run, "handover");
    thread.setDaemon(true);
    thread.start();
  }

  /** Retries while another starting process holds the lock that guards the numbering. */
  private static LockFile openLocks(Path path) throws IOException, InterruptedException {
    for (int i = 1; ; i++) {
      try {
        return LockFile.open(path);
      } catch (IOException e) {
        if (i == MAX_OPEN_ATTEMPTS) {
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
    HandoverStateMachine.Phase before = stateMachine.phase();
    long nowMicros = nowMicros();
    HandoverStateMachine.View view = locks.view();
    boolean predecessorsKnown = exchangeStates(nowMicros);
    boolean readyToServe =
        before.isReady()
            || (predecessorsKnown && process.isReadyToServe(!view.predecessorAccepting()));
    HandoverStateMachine.Phase phase = stateMachine.step(nowMicros, view, readyToServe);
    if (before.isAccepting() && !phase.isAccepting()) {
      switchListener(false);
    }
    while (!locks.announce(phase)) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    if (!before.isAccepting() && phase.isAccepting()) {
      switchListener(true);
    }
    if (phase != before) {
      LOG.info("handover", value("phase", phase));
    }
  }

  /**
   * Publishes the state of this process if it has a successor, and passes the states of its
   * predecessors to the process.
   *
   * @return whether the states of all predecessors are known, or the time to wait for them is over
   */
  private boolean exchangeStates(long nowMicros) throws IOException {
    if (locks.hasSuccessor()) {
      process.captureState(capturedState::set);
      HandoverState state = capturedState.get();
      if (state != null) {
        images.write(state);
      }
    }
    List<Long> live = locks.livePredecessors();
    for (long predecessor : live) {
      HandoverState state = images.readIfChanged(predecessor);
      if (state != null) {
        process.updatePredecessor(predecessor, state);
      }
    }
    for (long stopped : images.removeStopped(live)) {
      process.updatePredecessor(stopped, HandoverState.EMPTY);
    }
    return nowMicros - startedMicros >= STATE_TIMEOUT_MICROS
        || live.stream().allMatch(images::hasRead);
  }

  private void switchListener(boolean on) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    process.setAccepting(on, done::countDown);
    if (!done.await(LISTENER_SWITCH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
      LOG.warn("door-late", value("on", on));
    }
  }
}
