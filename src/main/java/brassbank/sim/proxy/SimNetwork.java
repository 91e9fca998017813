package brassbank.sim.proxy;

import brassbank.net.Channel;
import brassbank.net.Loop;
import brassbank.net.Network;
import brassbank.sim.net.Endpoint;
import brassbank.sim.net.Port;
import brassbank.sim.net.Program;
import brassbank.sim.time.Agenda;
import brassbank.sources.Clock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** The contract's network, for one run of a proxy on a simulated machine. */
public final class SimNetwork implements Network {
  private static final int BACKLOG = 1024;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Who is told that an accept or a connect found no descriptor. */
  public interface Exhausted {
    void exhausted(String held);
  }

  private final Program program;
  private final Clock clock;
  private final Exhausted exhausted;
  private Loop loop;
  private Agenda.Entry timer;
  private long armedFor = Long.MAX_VALUE;

  public SimNetwork(Program program, Clock clock, Exhausted exhausted) {
    this.program = program;
    this.clock = clock;
    this.exhausted = exhausted;
  }

  @Override
  public void start(Loop timers) {
    loop = timers;
    arm();
  }

  /** Runs something of the proxy's, on a turn that has come, and sees to its timers after it. */
  void turn(Runnable task) {
    Loop.guarded(task);
    arm();
  }

  /** As the real selector does, which waits for whole milliseconds, rounded up. */
  private void arm() {
    long due = loop == null ? Long.MAX_VALUE : loop.nextDue();
    if (due == armedFor && timer != null && timer.pending()) {
      return;
    }
    if (timer != null) {
      timer.cancel();
    }
    armedFor = due;
    if (due != Long.MAX_VALUE) {
      long millis = Math.max(0, (due - clock.nanos() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
      timer = program.later(millis * Agenda.MILLI, () -> turn(loop::runDue));
    }
  }

  /** What is told at one time comes in an order of chance here, so that none can be first. */
  @Override
  public Network.Listener listen(
      InetSocketAddress address, boolean first, Consumer<Channel> accepted) throws IOException {
    if (!address.getAddress().equals(program.machine().address())) {
      throw new IOException("cannot assign the requested address " + address);
    }
    Accepting accepting = new Accepting(accepted);
    accepting.port = program.listen(address.getPort(), BACKLOG, accepting::turn);
    return accepting;
  }

  /** The listener's part: takes one connection a turn, while it is on. */
  private final class Accepting implements Network.Listener {
    private final Consumer<Channel> accepted;
    private Port port;
    private boolean on = true;
    private boolean due;

    Accepting(Consumer<Channel> accepted) {
      this.accepted = accepted;
    }

    @Override
    public void accepting(boolean allowed) {
      on = allowed;
      again();
    }

    private void again() {
      if (on && !due && port.waiting() > 0) {
        due = true;
        program.later(0, this::turn);
      }
    }

    private void turn() {
      due = false;
      if (!on || port.waiting() == 0) {
        return;
      }
      if (!program.room()) {
        // The real listener ends here: the contract's user must not let it come to this.
        exhausted.exhausted(program.holds());
        on = false;
        return;
      }
      Endpoint endpoint = port.accept();
      SimNetwork.this.turn(() -> accepted.accept(new SimChannel(SimNetwork.this, endpoint)));
      again();
    }
  }

  @Override
  public Attempt connect(InetSocketAddress address, Connected then) {
    Program.Connecting connecting =
        program.connect(
            address,
            new Program.Connected() {
              @Override
              public void up(Endpoint endpoint) {
                turn(() -> then.up(new SimChannel(SimNetwork.this, endpoint)));
              }

              @Override
              public void failed(IOException cause) {
                if (!program.room()) {
                  exhausted.exhausted(program.holds());
                }
                turn(() -> then.failed(cause));
              }
            });
    return connecting::cancel;
  }

  @Override
  public Attempt get(InetSocketAddress address, String path, Answer answer) {
    HttpCall call = new HttpCall(this, program, address, path, answer);
    call.start();
    return call;
  }

  @Override
  public void execute(Runnable task) {
    program.later(0, () -> turn(task));
  }

  @Override
  public int descriptors() {
    return program.descriptors();
  }

  @Override
  public Clock clock() {
    return clock;
  }
}
