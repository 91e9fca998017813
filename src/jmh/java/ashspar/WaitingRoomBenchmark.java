package ashspar;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.AuxCounters;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the release of a request from the waiting room. All slots of all servers are taken by
 * set-ups; one is answered, and a waiting request takes its slot. Closing the answered connection
 * and refilling the waiting room are not measured.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 10, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class WaitingRoomBenchmark {

  /** The answered set-ups and the released requests. A result is valid only if both are equal. */
  @State(Scope.Thread)
  @AuxCounters(AuxCounters.Type.EVENTS)
  public static class Counts {
    public long answers;
    public long released;
  }

  @Param({"10", "100", "1000"})
  int targets;

  @Param({"100", "10000"})
  int waiting;

  @Param({"false", "true"})
  boolean groups;

  private final Queue<BenchFleet.Attempt> pendingAttempts = new ArrayDeque<>();
  private BenchFleet fleet;
  private BenchFleet.Attempt answered;

  /**
   * Fills the fleet. Set-ups that are all answered equally fast let the servers' limits grow to
   * their maximum.
   */
  @Setup
  public void fleet() throws Exception {
    fleet = new BenchFleet(targets, groups, BenchFleet.IDLE_LOAD);
    for (int i = 0; i < 200 * targets; i++) {
      refill();
      release();
      count(new Counts());
    }
  }

  /** Refills the waiting room. */
  @Setup(Level.Invocation)
  public void refill() {
    fleet.advance();
    for (int i = fleet.policy.limits().waiting(); i < waiting; i++) {
      fleet.startRequest(
          i % 2 == 0 ? BenchFleet.HIGH_VALUE_CLASS : BenchFleet.LOW_VALUE_CLASS,
          BenchFleet.LONG_DEADLINE_MICROS);
    }
    pendingAttempts.addAll(fleet.attempts);
    fleet.attempts.clear();
  }

  @Benchmark
  public void release() {
    answered = pendingAttempts.remove();
    fleet.accept(answered);
  }

  @TearDown(Level.Invocation)
  public void count(Counts counts) {
    counts.answers++;
    counts.released += fleet.attempts.size();
    fleet.closeConnection(answered);
  }
}
