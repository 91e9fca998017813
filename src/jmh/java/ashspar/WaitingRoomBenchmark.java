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
 * What it costs to let one out of the waiting room: all places of all servers are taken by set-ups,
 * one is answered, and one that waits takes the place. The answered one's end, and that another one
 * comes and waits, lie between and are not counted.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 10, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class WaitingRoomBenchmark {

  /** How many were let out by how many answers: as many, or the figure tells something else. */
  @State(Scope.Thread)
  @AuxCounters(AuxCounters.Type.EVENTS)
  public static class Ends {
    public long answers;
    public long letOut;
  }

  @Param({"10", "100", "1000"})
  int targets;

  @Param({"100", "10000"})
  int waiting;

  @Param({"false", "true"})
  boolean groups;

  private final Queue<BenchFleet.Sent> out = new ArrayDeque<>();
  private BenchFleet fleet;
  private BenchFleet.Sent answered;

  /** Set-ups that are always answered as fast let the servers' limits grow to their most. */
  @Setup
  public void fleet() throws Exception {
    fleet = new BenchFleet(targets, groups, BenchFleet.IDLE);
    for (int i = 0; i < 200 * targets; i++) {
      between();
      letOut();
      count(new Ends());
    }
  }

  /** So many wait again. */
  @Setup(Level.Invocation)
  public void between() {
    fleet.pass();
    for (int i = fleet.policy.limits().waiting(); i < waiting; i++) {
      fleet.ask(i % 2 == 0 ? BenchFleet.WORTHY : BenchFleet.OTHER, BenchFleet.LONG);
    }
    out.addAll(fleet.sent);
    fleet.sent.clear();
  }

  @Benchmark
  public void letOut() {
    answered = out.remove();
    fleet.accept(answered);
  }

  @TearDown(Level.Invocation)
  public void count(Ends ends) {
    ends.answers++;
    ends.letOut += fleet.sent.size();
    fleet.end(answered);
  }
}
