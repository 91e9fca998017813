package ashspar;

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
 * Measures a placement from the request to its attempt, including the answers of the probes it
 * waits for. Timers and the end of the connection run between two placements and are not measured.
 *
 * <p>The fleet has capacity for the class of high value only. {@link #pick} places such a request
 * ahead of the waiting ones of the other class; {@link #queue} adds another waiting request.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 10, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class PickBenchmark {

  /**
   * The outcomes of the placements. A result is valid only if nearly all ended as the benchmark
   * intends.
   */
  @State(Scope.Thread)
  @AuxCounters(AuxCounters.Type.EVENTS)
  public static class Outcomes {
    public long placed;
    public long queued;
  }

  @Param({"10", "100", "1000"})
  int targets;

  @Param({"0", "10000"})
  int waiting;

  @Param({"false", "true"})
  boolean groups;

  private BenchFleet fleet;
  private long request;

  @Setup
  public void fleet() throws Exception {
    fleet = new BenchFleet(targets, groups, BenchFleet.LOAD_FOR_HIGH_VALUE_ONLY);
    for (int i = 0; i < waiting; i++) {
      fleet.startRequest(BenchFleet.LOW_VALUE_CLASS, BenchFleet.LONG_DEADLINE_MICROS);
    }
    int queued = fleet.policy.limits().waiting();
    Balancer.require(
        queued == waiting, "the number of waiting requests is not the configured one: " + queued);
  }

  @Setup(Level.Invocation)
  public void advanceFleet() {
    fleet.advance();
  }

  @Benchmark
  public long pick() {
    return request = fleet.startRequest(BenchFleet.HIGH_VALUE_CLASS, 3 * BenchFleet.SECOND_MICROS);
  }

  @Benchmark
  public long queue() {
    return request = fleet.startRequest(BenchFleet.LOW_VALUE_CLASS, 3 * BenchFleet.SECOND_MICROS);
  }

  /** Accepts and closes the connection, or withdraws a request that waits. */
  @TearDown(Level.Invocation)
  public void end(Outcomes outcomes) {
    BenchFleet.Attempt attempt = fleet.attempts.poll();
    if (attempt == null) {
      outcomes.queued++;
      fleet.withdraw(request);
    } else {
      outcomes.placed++;
      fleet.accept(attempt);
      fleet.closeConnection(attempt);
    }
  }
}
