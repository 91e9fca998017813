package brassbank.sim.proxy;

import brassbank.net.Channel;
import brassbank.net.EventLoop;
import brassbank.net.Network;
import brassbank.sim.net.Endpoint;
import brassbank.sim.net.ListeningSocket;
import brassbank.sim.net.Program;
import brassbank.sim.time.Agenda;
import brassbank.sources.Clock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/** Implements {@link Network} for one process of a proxy on a simulated machine. */
public final class SimNetwork implements Network {
  private static final int BACKLOG = 1024;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Receives a report, with the held descriptors, when an accept or a connect finds none free. */
  public interface DescriptorExhaustionHandler {
    void descriptorsExhausted(String held);
  }

  private final Program program;
  private final Clock clock;
  private final DescriptorExhaustionHandler exhaustionHandler;
  private final SharedListener sharedListener;
  private EventLoop loop;
  private Agenda.Entry timer;
  private long armedForNanos = Long.MAX_VALUE;

  public SimNetwork(Program program, Clock clock, DescriptorExhaustionHandler exhausted) {
    this(program, clock, exhausted, null);
  }

  /**
   * @param sharedListener the listening socket that the program has inherited, or null for none
   */
  SimNetwork(
      Program program, Clock clock, DescriptorExhaustionHandler exhausted, SharedListener door) {
    this.program = program;
    this.clock = clock;
    this.exhaustionHandler = exhausted;
    this.sharedListener = door;
  }

  @Override
  public void start(EventLoop timers) {
    loop = timers;
    armTimer();
  }

  /** Runs a task of the proxy as its event loop would, and arms the timer for its next deadline. */
  void runOnLoop(Runnable task) {
    EventLoop.runGuarded(task);
    armTimer();
  }

  /** Rounds waits up to whole milliseconds, as the real selector does. */
  private void armTimer() {
    long due = loop == null ? Long.MAX_VALUE : loop.nextDeadlineNanos();
    if (due == armedForNanos && timer != null && timer.isPending()) {
      return;
    }
    if (timer != null) {
      timer.cancel();
    }
    armedForNanos = due;
    if (due != Long.MAX_VALUE) {
      long millis = Math.max(0, (due - clock.nanos() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
      timer = program.schedule(millis * Agenda.MILLI, () -> runOnLoop(loop::runDueTimers));
    }
  }

  /**
   * Listens on an address of this machine. Events of the same time are handled in random order, so
   * {@code first}, the priority of the listener, has no effect.
   */
  @Override
  public Network.Listener listen(
      InetSocketAddress address, boolean first, Consumer<Channel> accepted) throws IOException {
    if (!address.getAddress().equals(program.machine().address())) {
      throw new IOException("cannot assign the requested address " + address);
    }
    SimListener accepting = new SimListener(accepted, true);
    ListeningSocket port = program.listen(address.getPort(), BACKLOG, accepting::acceptOne);
    accepting.pendingConnections = port::pendingConnections;
    accepting.accept = port::accept;
    return accepting;
  }

  @Override
  public Network.Listener inherit(Consumer<Channel> accepted) throws IOException {
    if (sharedListener == null) {
      return Network.super.inherit(accepted);
    }
    SimListener accepting = new SimListener(accepted, false);
    accepting.pendingConnections = sharedListener::pendingConnections;
    accepting.accept = () -> sharedListener.accept(program);
    sharedListener.addAcceptor(accepting::scheduleAccept);
    return accepting;
  }

  /** Accepts one connection per task of the event loop while accepting is enabled. */
  private final class SimListener implements Network.Listener {
    private final Consumer<Channel> accepted;
    private IntSupplier pendingConnections;
    private Supplier<Endpoint> accept;
    private boolean accepting;
    private boolean acceptScheduled;

    SimListener(Consumer<Channel> accepted, boolean on) {
      this.accepted = accepted;
      this.accepting = on;
    }

    @Override
    public void accepting(boolean allowed) {
      accepting = allowed;
      scheduleAccept();
    }

    private void scheduleAccept() {
      if (accepting && !acceptScheduled && pendingConnections.getAsInt() > 0) {
        acceptScheduled = true;
        program.schedule(0, this::acceptOne);
      }
    }

    private void acceptOne() {
      acceptScheduled = false;
      if (!accepting || pendingConnections.getAsInt() == 0) {
        return;
      }
      if (!program.hasFreeDescriptor()) {
        // The real listener fails here; the proxy must keep enough descriptors free to avoid it.
        exhaustionHandler.descriptorsExhausted(program.describeDescriptors());
        accepting = false;
        return;
      }
      Endpoint endpoint = accept.get();
      SimNetwork.this.runOnLoop(() -> accepted.accept(new SimChannel(SimNetwork.this, endpoint)));
      scheduleAccept();
    }
  }

  @Override
  public Attempt connect(InetSocketAddress address, ConnectHandler handler) {
    Program.PendingConnect connecting =
        program.connect(
            address,
            new Program.ConnectHandler() {
              @Override
              public void connected(Endpoint endpoint) {
                runOnLoop(() -> handler.connected(new SimChannel(SimNetwork.this, endpoint)));
              }

              @Override
              public void failed(IOException cause) {
                if (!program.hasFreeDescriptor()) {
                  exhaustionHandler.descriptorsExhausted(program.describeDescriptors());
                }
                runOnLoop(() -> handler.failed(cause));
              }
            });
    return connecting::cancel;
  }

  @Override
  public Attempt get(InetSocketAddress address, String path, ResponseHandler handler) {
    HttpCall call = new HttpCall(this, program, address, path, handler);
    call.start();
    return call;
  }

  @Override
  public Network.Datagrams datagrams(InetSocketAddress address, DatagramHandler handler)
      throws IOException {
    if (!address.getAddress().equals(program.machine().address())) {
      throw new IOException("cannot assign the requested address " + address);
    }
    brassbank.sim.net.DatagramSocket socket =
        program.openDatagramSocket(
            address.getPort(),
            (from, port, bytes) ->
                runOnLoop(
                    () -> handler.received(new InetSocketAddress(from.address(), port), bytes)));
    return new Network.Datagrams() {
      @Override
      public void send(InetSocketAddress to, byte[] bytes) {
        socket.send(to, bytes);
      }

      @Override
      public void close() {
        program.closeSocket(socket);
      }
    };
  }

  @Override
  public void execute(Runnable task) {
    program.schedule(0, () -> runOnLoop(task));
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
