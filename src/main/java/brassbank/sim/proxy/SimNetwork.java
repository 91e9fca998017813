package brassbank.sim.proxy;

import brassbank.net.Channel;
import brassbank.net.EventLoop;
import brassbank.net.Network;
import brassbank.sim.net.Endpoint;
import brassbank.sim.net.Port;
import brassbank.sim.net.Program;
import brassbank.sim.time.Agenda;
import brassbank.sources.Clock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

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
  private final SharedDoor door;
  private EventLoop loop;
  private Agenda.Entry timer;
  private long armedFor = Long.MAX_VALUE;

  public SimNetwork(Program program, Clock clock, Exhausted exhausted) {
    this(program, clock, exhausted, null);
  }

  /** With a listening socket that the program has inherited, or null for none. */
  SimNetwork(Program program, Clock clock, Exhausted exhausted, SharedDoor door) {
    this.program = program;
    this.clock = clock;
    this.exhausted = exhausted;
    this.door = door;
  }

  @Override
  public void start(EventLoop timers) {
    loop = timers;
    arm();
  }

  /** Runs something of the proxy's, on a turn that has come, and sees to its timers after it. */
  void turn(Runnable task) {
    EventLoop.runGuarded(task);
    arm();
  }

  /** As the real selector does, which waits for whole milliseconds, rounded up. */
  private void arm() {
    long due = loop == null ? Long.MAX_VALUE : loop.nextDeadlineNanos();
    if (due == armedFor && timer != null && timer.isPending()) {
      return;
    }
    if (timer != null) {
      timer.cancel();
    }
    armedFor = due;
    if (due != Long.MAX_VALUE) {
      long millis = Math.max(0, (due - clock.nanos() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
      timer = program.later(millis * Agenda.MILLI, () -> turn(loop::runDueTimers));
    }
  }

  /** What is told at one time comes in an order of chance here, so that none can be first. */
  @Override
  public Network.Listener listen(
      InetSocketAddress address, boolean first, Consumer<Channel> accepted) throws IOException {
    if (!address.getAddress().equals(program.machine().address())) {
      throw new IOException("cannot assign the requested address " + address);
    }
    Accepting accepting = new Accepting(accepted, true);
    Port port = program.listen(address.getPort(), BACKLOG, accepting::turn);
    accepting.waiting = port::waiting;
    accepting.accept = port::accept;
    return accepting;
  }

  @Override
  public Network.Listener inherit(Consumer<Channel> accepted) throws IOException {
    if (door == null) {
      return Network.super.inherit(accepted);
    }
    Accepting accepting = new Accepting(accepted, false);
    accepting.waiting = door::waiting;
    accepting.accept = () -> door.accept(program);
    door.heir(accepting::again);
    return accepting;
  }

  /** The listener's part: takes one connection a turn, while it is on. */
  private final class Accepting implements Network.Listener {
    private final Consumer<Channel> accepted;
    private IntSupplier waiting;
    private Supplier<Endpoint> accept;
    private boolean on;
    private boolean due;

    Accepting(Consumer<Channel> accepted, boolean on) {
      this.accepted = accepted;
      this.on = on;
    }

    @Override
    public void accepting(boolean allowed) {
      on = allowed;
      again();
    }

    private void again() {
      if (on && !due && waiting.getAsInt() > 0) {
        due = true;
        program.later(0, this::turn);
      }
    }

    private void turn() {
      due = false;
      if (!on || waiting.getAsInt() == 0) {
        return;
      }
      if (!program.room()) {
        // The real listener ends here: the contract's user must not let it come to this.
        exhausted.exhausted(program.holds());
        on = false;
        return;
      }
      Endpoint endpoint = accept.get();
      SimNetwork.this.turn(() -> accepted.accept(new SimChannel(SimNetwork.this, endpoint)));
      again();
    }
  }

  @Override
  public Attempt connect(InetSocketAddress address, ConnectHandler then) {
    Program.Connecting connecting =
        program.connect(
            address,
            new Program.Connected() {
              @Override
              public void up(Endpoint endpoint) {
                turn(() -> then.connected(new SimChannel(SimNetwork.this, endpoint)));
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
  public Attempt get(InetSocketAddress address, String path, ResponseHandler answer) {
    HttpCall call = new HttpCall(this, program, address, path, answer);
    call.start();
    return call;
  }

  @Override
  public Network.Datagrams datagrams(InetSocketAddress address, DatagramHandler heard)
      throws IOException {
    if (!address.getAddress().equals(program.machine().address())) {
      throw new IOException("cannot assign the requested address " + address);
    }
    brassbank.sim.net.Datagrams socket =
        program.datagrams(
            address.getPort(),
            (from, port, bytes) ->
                turn(() -> heard.received(new InetSocketAddress(from.address(), port), bytes)));
    return new Network.Datagrams() {
      @Override
      public void send(InetSocketAddress to, byte[] bytes) {
        socket.send(to, bytes);
      }

      @Override
      public void close() {
        program.gives(socket);
      }
    };
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
