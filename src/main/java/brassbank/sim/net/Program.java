package brassbank.sim.net;

import brassbank.sim.time.Agenda;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * One run of a program on a machine. It owns its sockets and whatever it has entered into the
 * agenda: when it is killed, its connections are reset and nothing of it runs any longer. Its
 * descriptors are counted against a limit that binds.
 */
public final class Program {
  /** First wait for an answer to a connect, doubled each time (RFC 6298, section 2.1). */
  private static final long SYN_WAIT = Agenda.SECOND;

  /** Linux gives a connect up after six repeats (tcp_syn_retries). */
  private static final int SYN_REPEATS = 6;

  /** What becomes of a connect; exactly one of the two is told, unless it is cancelled. */
  public interface Connected {
    /** The connection stands; the endpoint is the callee's. */
    void up(Endpoint endpoint);

    /** It was refused, or there is no descriptor left, or no answer came for two minutes. */
    void failed(IOException cause);
  }

  private final Machine machine;
  private final String name;
  private final int base;
  private int limit;
  private final Set<Endpoint> open = new LinkedHashSet<>();
  private final Set<Port> listeners = new LinkedHashSet<>();
  private final Set<Datagrams> sockets = new LinkedHashSet<>();
  private int connecting;
  private int mostDescriptors;
  private boolean alive = true;
  private boolean passesOn;
  private long pausedUntil;

  /**
   * @param base descriptors that the runtime holds for itself
   * @param limit descriptors that the program may hold, the runtime's among them
   */
  public Program(Machine machine, String name, int base, int limit) {
    this.machine = machine;
    this.name = name;
    this.base = base;
    this.limit = limit;
  }

  public Machine machine() {
    return machine;
  }

  public String name() {
    return name;
  }

  /**
   * It is a stand-in that passes on what it reads: bytes count as arrived once it says so ({@link
   * Endpoint#passedOn}), and not when they are in its machine's buffers.
   */
  public Program passingOn() {
    passesOn = true;
    return this;
  }

  boolean passesOn() {
    return passesOn;
  }

  public boolean alive() {
    return alive;
  }

  private Agenda agenda() {
    return machine.fabric().agenda();
  }

  public long now() {
    return agenda().now();
  }

  /** Runs a task of this program's after so many microseconds, unless it has ended by then. */
  public Agenda.Entry later(long micros, Runnable task) {
    return agenda().after(micros, () -> run(task));
  }

  private void run(Runnable task) {
    if (!alive) {
      return;
    }
    if (pausedUntil > now()) {
      agenda().at(pausedUntil, () -> run(task));
    } else {
      machine.fabric().running(this);
      task.run();
    }
  }

  /** Lets nothing of the program run until then, as a pause of its runtime does. */
  public void pause(long until) {
    pausedUntil = Math.max(pausedUntil, until);
  }

  /** Sets how many descriptors it may hold. */
  public void limit(int descriptors) {
    limit = descriptors;
  }

  public int descriptors() {
    return base + open.size() + listeners.size() + sockets.size() + connecting;
  }

  /** The most descriptors it has held so far. */
  public int mostDescriptors() {
    return mostDescriptors;
  }

  /** What it holds, by the machines at the other ends, for whoever looks for a leak. */
  public String holds() {
    Map<String, Integer> ends = new TreeMap<>();
    open.forEach(endpoint -> ends.merge(endpoint.peerMachine().name(), 1, Integer::sum));
    return base
        + " of the runtime, "
        + listeners.size()
        + " listening, "
        + connecting
        + " connecting, connections to "
        + ends;
  }

  /** Connections it holds now. */
  public int connections() {
    return open.size();
  }

  private void require() throws IOException {
    if (descriptors() >= limit) {
      throw new IOException("too many open files");
    }
  }

  private void counted() {
    mostDescriptors = Math.max(mostDescriptors, descriptors());
  }

  /** Listens at a port of its machine; {@code acceptable} runs once for each that comes. */
  public Port listen(int port, int backlog, Runnable acceptable) throws IOException {
    require();
    Port listener = new Port(this, port, backlog, acceptable);
    machine.listens(port, listener);
    listeners.add(listener);
    counted();
    return listener;
  }

  /** Takes no new connections from here on. */
  public void stopListening() {
    List.copyOf(listeners).forEach(Port::close);
  }

  /** Opens a socket for datagrams at a port of its machine; it ends with the program. */
  public Datagrams datagrams(int port, Datagrams.Handler handler) throws IOException {
    require();
    if (machine.hears(port)) {
      throw new IOException("address already in use");
    }
    Datagrams socket = new Datagrams(this, port, handler);
    machine.hears(port, socket);
    sockets.add(socket);
    counted();
    return socket;
  }

  /** Gives a socket for datagrams back. */
  public void gives(Datagrams socket) {
    socket.close();
    sockets.remove(socket);
  }

  void closed(Port listener) {
    listeners.remove(listener);
  }

  /** Whether one more descriptor may be held. */
  public boolean room() {
    return descriptors() < limit;
  }

  void adopt(Endpoint endpoint) {
    endpoint.ownedBy(this);
    open.add(endpoint);
    counted();
  }

  void released(Endpoint endpoint) {
    open.remove(endpoint);
  }

  /** Opens a connection; nothing is told within this call. */
  public Connecting connect(InetSocketAddress to, Connected then) {
    Connecting connect = new Connecting(to, then);
    connect.begin();
    return connect;
  }

  /** Ends it: its connections are reset, in the order in which they were opened. */
  public void kill() {
    if (alive) {
      alive = false;
      stopListening();
      sockets.forEach(Datagrams::close);
      sockets.clear();
      List.copyOf(open).forEach(Endpoint::reset);
    }
  }

  /**
   * It ends by itself: its kernel closes what it held, and what it has written is still sent unless
   * bytes have come that it did not read.
   */
  public void exit() {
    if (alive) {
      alive = false;
      stopListening();
      sockets.forEach(Datagrams::close);
      sockets.clear();
      List.copyOf(open).forEach(Endpoint::close);
    }
  }

  /** A connect under way, which holds a descriptor. */
  public final class Connecting {
    private final InetSocketAddress to;
    private final Connected then;
    private final Machine server;
    private final long number = machine.nextOpened();
    private boolean over;
    private int repeats;

    private Connecting(InetSocketAddress to, Connected then) {
      this.to = to;
      this.then = then;
      this.server = machine.fabric().at(to.getAddress());
    }

    private void begin() {
      try {
        require();
      } catch (IOException e) {
        over = true;
        later(0, () -> then.failed(e));
        return;
      }
      connecting++;
      counted();
      syn();
    }

    /** Gives the connect up, with its descriptor. After its end this does nothing. */
    public void cancel() {
      if (!over) {
        over = true;
        connecting--;
      }
    }

    private void syn() {
      if (over || !alive) {
        return;
      }
      Fabric fabric = machine.fabric();
      if (server == null || fabric.connectsBlocked(machine, server)) {
        again();
        return;
      }
      // A stream of its own: an attempt that is lost must not shift what the connection draws.
      long out = fabric.latency(machine, server, fabric.stream(machine, -1 - number));
      long delay = fabric.connectDelay(machine, server);
      fabric.agenda().after(out + delay, () -> arrived(out));
    }

    private void arrived(long oneWay) {
      Fabric fabric = machine.fabric();
      Port listener = server.listener(to.getPort());
      if (over || !alive) {
        return;
      }
      if (fabric.connectsBlocked(server, machine) || (listener != null && listener.full())) {
        again();
      } else if (listener == null || fabric.refuses(machine, server)) {
        later(oneWay, () -> end(new IOException("connection refused")));
      } else {
        later(oneWay, () -> up(listener, oneWay));
      }
    }

    private void up(Port listener, long oneWay) {
      if (over) {
        return;
      }
      cancel();
      Fabric fabric = machine.fabric();
      Endpoint near = new Endpoint(fabric, machine, fabric.stream(machine, 2 * number));
      Endpoint far = new Endpoint(fabric, server, fabric.stream(machine, 2 * number + 1));
      near.connect(far, oneWay);
      fabric.agenda().after(oneWay, () -> complete(listener, far));
      adopt(near);
      then.up(near);
    }

    private void complete(Port listener, Endpoint far) {
      far.heldFor(listener.program());
      if (server.dark()) {
        far.vanish();
      } else if (server.listener(to.getPort()) == listener) {
        listener.arrive(far);
      } else {
        far.reset();
      }
    }

    private void again() {
      if (repeats++ < SYN_REPEATS) {
        machine.fabric().agenda().after(SYN_WAIT << (repeats - 1), this::syn);
      } else {
        later(SYN_WAIT << SYN_REPEATS, () -> end(new IOException("connection timed out")));
      }
    }

    private void end(IOException cause) {
      if (!over) {
        cancel();
        then.failed(cause);
      }
    }
  }
}
