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
 * One process on a machine. It owns its sockets and its scheduled tasks: when it is killed, its
 * connections are reset and its tasks no longer run. Its descriptors count against a limit that is
 * enforced.
 */
public final class Program {
  /** First timeout of a connect, doubled for each retry (RFC 6298, section 2.1). */
  private static final long FIRST_SYN_TIMEOUT_MICROS = Agenda.SECOND;

  /** Linux abandons a connect after six retries (tcp_syn_retries). */
  private static final int MAX_SYN_RETRIES = 6;

  /** Receives the outcome of a connect: exactly one call, unless the connect is cancelled. */
  public interface ConnectHandler {
    /** The connection is established; the handler takes over the endpoint. */
    void connected(Endpoint endpoint);

    /** The connect was refused, found no free descriptor, or timed out after two minutes. */
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
   * @param runtimeDescriptors descriptors that the runtime holds itself
   * @param descriptorLimit descriptors that the program may hold, including those of the runtime
   */
  public Program(Machine machine, String name, int runtimeDescriptors, int descriptorLimit) {
    this.machine = machine;
    this.name = name;
    this.runtimeDescriptors = runtimeDescriptors;
    this.descriptorLimit = descriptorLimit;
  }

  public Machine machine() {
    return machine;
  }

  public String name() {
    return name;
  }

  /**
   * Marks this program as a relay for another one: bytes count as delivered when the relay confirms
   * them with {@link Endpoint#confirmRelayed}, not when they reach its machine.
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

  /**
   * Runs a task after {@code micros}, unless the program has ended by then. If the program is
   * paused at that time, the task runs when the pause ends.
   */
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

  /** Pauses all tasks of the program until the given time, like a pause of its runtime. */
  public void pause(long until) {
    pausedUntil = Math.max(pausedUntil, until);
  }

  /** Sets the descriptor limit. */
  public void descriptorLimit(int descriptors) {
    descriptorLimit = descriptors;
  }

  public int descriptors() {
    return runtimeDescriptors + open.size() + listeners.size() + sockets.size() + connecting;
  }

  /** Returns the maximum number of descriptors held so far. */
  public int peakDescriptors() {
    return peakDescriptors;
  }

  /** Describes the held descriptors by peer machine, to help find leaks. */
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

  /** Returns the number of open connections. */
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

  /**
   * Listens on a port; {@code acceptable} runs once for each connection that enters the backlog.
   */
  public ListeningSocket listen(int port, int backlog, Runnable acceptable) throws IOException {
    requireDescriptor();
    ListeningSocket listener = new ListeningSocket(this, port, backlog, acceptable);
    machine.bindListener(port, listener);
    listeners.add(listener);
    updatePeak();
    return listener;
  }

  /** Closes all listening sockets. */
  public void stopListening() {
    List.copyOf(listeners).forEach(ListeningSocket::close);
  }

  /** Opens a datagram socket, which is closed when the program ends. */
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

  /** Closes a datagram socket. */
  public void closeSocket(DatagramSocket socket) {
    socket.close();
    sockets.remove(socket);
  }

  void onListenerClosed(ListeningSocket listener) {
    listeners.remove(listener);
  }

  /** Returns whether the descriptor limit allows one more descriptor. */
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

  /** Opens a connection; the handler is not called before this method returns. */
  public PendingConnect connect(InetSocketAddress to, ConnectHandler then) {
    PendingConnect connect = new PendingConnect(to, then);
    connect.begin();
    return connect;
  }

  /** Kills the program; its connections are reset in the order in which they were opened. */
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
   * Ends the program in an orderly way: the kernel closes its connections and still sends what was
   * written, unless received bytes were not read.
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

  /** A connect in progress, which holds a descriptor. */
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

    /** Cancels the connect and releases its descriptor; does nothing once the connect has ended. */
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
      // The SYN has its own random stream, so that a lost one does not shift the connection's
      // draws.
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
