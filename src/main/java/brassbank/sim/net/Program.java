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
  private static final long FIRST_SYN_TIMEOUT_MICROS = Agenda.SECOND;

  /** Linux gives a connect up after six repeats (tcp_syn_retries). */
  private static final int MAX_SYN_RETRIES = 6;

  /** What becomes of a connect; exactly one of the two is told, unless it is cancelled. */
  public interface ConnectHandler {
    /** The connection stands; the endpoint is the callee's. */
    void connected(Endpoint endpoint);

    /** It was refused, or there is no descriptor left, or no answer came for two minutes. */
    void failed(IOException cause);
  }

  private final Machine machine;
  private final String name;
  private final int runtimeDescriptors;
  private int descriptorLimit;
  private final Set<Endpoint> open = new LinkedHashSet<>();
  private final Set<ListeningSocket> listeners = new LinkedHashSet<>();
  private final Set<DatagramSocket> sockets = new LinkedHashSet<>();
  private int connecting;
  private int peakDescriptors;
  private boolean isAlive = true;
  private boolean isRelay;
  private long pausedUntil;

  /**
   * @param base descriptors that the runtime holds for itself
   * @param limit descriptors that the program may hold, the runtime's among them
   */
  public Program(Machine machine, String name, int base, int limit) {
    this.machine = machine;
    this.name = name;
    this.runtimeDescriptors = base;
    this.descriptorLimit = limit;
  }

  public Machine machine() {
    return machine;
  }

  public String name() {
    return name;
  }

  /**
   * It is a stand-in that passes on what it reads: bytes count as arrived once it says so ({@link
   * Endpoint#confirmRelayed}), and not when they are in its machine's buffers.
   */
  public Program asRelay() {
    isRelay = true;
    return this;
  }

  boolean isRelay() {
    return isRelay;
  }

  public boolean isAlive() {
    return isAlive;
  }

  private Agenda agenda() {
    return machine.fabric().agenda();
  }

  public long now() {
    return agenda().now();
  }

  /** Runs a task of this program's after so many microseconds, unless it has ended by then. */
  public Agenda.Entry schedule(long micros, Runnable task) {
    return agenda().after(micros, () -> run(task));
  }

  private void run(Runnable task) {
    if (!isAlive) {
      return;
    }
    if (pausedUntil > now()) {
      agenda().at(pausedUntil, () -> run(task));
    } else {
      machine.fabric().runningProgram(this);
      task.run();
    }
  }

  /** Lets nothing of the program run until then, as a pause of its runtime does. */
  public void pause(long until) {
    pausedUntil = Math.max(pausedUntil, until);
  }

  /** Sets how many descriptors it may hold. */
  public void descriptorLimit(int descriptors) {
    descriptorLimit = descriptors;
  }

  public int descriptors() {
    return runtimeDescriptors + open.size() + listeners.size() + sockets.size() + connecting;
  }

  /** The most descriptors it has held so far. */
  public int peakDescriptors() {
    return peakDescriptors;
  }

  /** What it holds, by the machines at the other ends, for whoever looks for a leak. */
  public String describeDescriptors() {
    Map<String, Integer> ends = new TreeMap<>();
    open.forEach(endpoint -> ends.merge(endpoint.peerMachine().name(), 1, Integer::sum));
    return runtimeDescriptors
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

  private void requireDescriptor() throws IOException {
    if (descriptors() >= descriptorLimit) {
      throw new IOException("too many open files");
    }
  }

  private void updatePeak() {
    peakDescriptors = Math.max(peakDescriptors, descriptors());
  }

  /** Listens at a port of its machine; {@code acceptable} runs once for each that comes. */
  public ListeningSocket listen(int port, int backlog, Runnable acceptable) throws IOException {
    requireDescriptor();
    ListeningSocket listener = new ListeningSocket(this, port, backlog, acceptable);
    machine.bindListener(port, listener);
    listeners.add(listener);
    updatePeak();
    return listener;
  }

  /** Takes no new connections from here on. */
  public void stopListening() {
    List.copyOf(listeners).forEach(ListeningSocket::close);
  }

  /** Opens a socket for datagrams at a port of its machine; it ends with the program. */
  public DatagramSocket openDatagramSocket(int port, DatagramSocket.Handler handler)
      throws IOException {
    requireDescriptor();
    if (machine.bindDatagramSocket(port)) {
      throw new IOException("address already in use");
    }
    DatagramSocket socket = new DatagramSocket(this, port, handler);
    machine.bindDatagramSocket(port, socket);
    sockets.add(socket);
    updatePeak();
    return socket;
  }

  /** Gives a socket for datagrams back. */
  public void closeSocket(DatagramSocket socket) {
    socket.close();
    sockets.remove(socket);
  }

  void onListenerClosed(ListeningSocket listener) {
    listeners.remove(listener);
  }

  /** Whether one more descriptor may be held. */
  public boolean hasFreeDescriptor() {
    return descriptors() < descriptorLimit;
  }

  void adopt(Endpoint endpoint) {
    endpoint.ownedBy(this);
    open.add(endpoint);
    updatePeak();
  }

  void release(Endpoint endpoint) {
    open.remove(endpoint);
  }

  /** Opens a connection; nothing is told within this call. */
  public PendingConnect connect(InetSocketAddress to, ConnectHandler then) {
    PendingConnect connect = new PendingConnect(to, then);
    connect.begin();
    return connect;
  }

  /** Ends it: its connections are reset, in the order in which they were opened. */
  public void kill() {
    if (isAlive) {
      isAlive = false;
      stopListening();
      sockets.forEach(DatagramSocket::close);
      sockets.clear();
      List.copyOf(open).forEach(Endpoint::reset);
    }
  }

  /**
   * It ends by itself: its kernel closes what it held, and what it has written is still sent unless
   * bytes have come that it did not read.
   */
  public void exit() {
    if (isAlive) {
      isAlive = false;
      stopListening();
      sockets.forEach(DatagramSocket::close);
      sockets.clear();
      List.copyOf(open).forEach(Endpoint::close);
    }
  }

  /** A connect under way, which holds a descriptor. */
  public final class PendingConnect {
    private final InetSocketAddress to;
    private final ConnectHandler then;
    private final Machine server;
    private final long number = machine.nextConnectNumber();
    private boolean done;
    private int retries;

    private PendingConnect(InetSocketAddress to, ConnectHandler then) {
      this.to = to;
      this.then = then;
      this.server = machine.fabric().machineAt(to.getAddress());
    }

    private void begin() {
      try {
        requireDescriptor();
      } catch (IOException e) {
        done = true;
        schedule(0, () -> then.failed(e));
        return;
      }
      connecting++;
      updatePeak();
      sendSyn();
    }

    /** Gives the connect up, with its descriptor. After its end this does nothing. */
    public void cancel() {
      if (!done) {
        done = true;
        connecting--;
      }
    }

    private void sendSyn() {
      if (done || !isAlive) {
        return;
      }
      Fabric fabric = machine.fabric();
      if (server == null || fabric.areConnectsBlocked(machine, server)) {
        retry();
        return;
      }
      // A stream of its own: an attempt that is lost must not shift what the connection draws.
      long out = fabric.drawLatency(machine, server, fabric.connectionStream(machine, -1 - number));
      long delay = fabric.connectDelayMicros(machine, server);
      fabric.agenda().after(out + delay, () -> onSynArrived(out));
    }

    private void onSynArrived(long oneWay) {
      Fabric fabric = machine.fabric();
      ListeningSocket listener = server.listener(to.getPort());
      if (done || !isAlive) {
        return;
      }
      if (fabric.areConnectsBlocked(server, machine)
          || (listener != null && listener.isBacklogFull())) {
        retry();
      } else if (listener == null || fabric.refusesConnects(machine, server)) {
        schedule(oneWay, () -> fail(new IOException("connection refused")));
      } else {
        schedule(oneWay, () -> establish(listener, oneWay));
      }
    }

    private void establish(ListeningSocket listener, long oneWay) {
      if (done) {
        return;
      }
      cancel();
      Fabric fabric = machine.fabric();
      Endpoint near = new Endpoint(fabric, machine, fabric.connectionStream(machine, 2 * number));
      Endpoint far = new Endpoint(fabric, server, fabric.connectionStream(machine, 2 * number + 1));
      near.connect(far, oneWay);
      fabric.agenda().after(oneWay, () -> completeAtServer(listener, far));
      adopt(near);
      then.connected(near);
    }

    private void completeAtServer(ListeningSocket listener, Endpoint far) {
      far.queuedFor(listener.program());
      if (server.hasNoPower()) {
        far.dropSilently();
      } else if (server.listener(to.getPort()) == listener) {
        listener.enqueue(far);
      } else {
        far.reset();
      }
    }

    private void retry() {
      if (retries++ < MAX_SYN_RETRIES) {
        machine.fabric().agenda().after(FIRST_SYN_TIMEOUT_MICROS << (retries - 1), this::sendSyn);
      } else {
        schedule(
            FIRST_SYN_TIMEOUT_MICROS << MAX_SYN_RETRIES,
            () -> fail(new IOException("connection timed out")));
      }
    }

    private void fail(IOException cause) {
      if (!done) {
        cancel();
        then.failed(cause);
      }
    }
  }
}
