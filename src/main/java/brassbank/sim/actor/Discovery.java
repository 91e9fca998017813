package brassbank.sim.actor;

import brassbank.sim.event.Event;
import brassbank.sim.net.Endpoint;
import brassbank.sim.net.ListeningSocket;
import brassbank.sim.net.Machine;
import brassbank.sim.net.Program;
import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The simulated discovery service, which all proxies share. It receives the status of stream hosts
 * with a delay, handles calls one after another, and serves watches. It can be down, answer 503,
 * freeze, truncate its answers, send garbage, and move to another address.
 */
public final class Discovery {
  /** The port on which discovery listens. */
  public static final int PORT = 8500;

  private static final int BACKLOG = 128;
  private static final long MILLI = Agenda.MILLI;
  private static final long SECOND = Agenda.SECOND;

  /** A call that has waited longer than this fails. */
  private static final long MAX_QUEUE_WAIT = 3 * SECOND;

  /** Time that discovery needs for one call. */
  private static final long MIN_CALL_TIME = 175 * MILLI;

  private static final long MAX_CALL_TIME = 278 * MILLI;

  private static final long KEEPALIVE_INTERVAL = 2 * SECOND;

  /** After a move the old address closes its open connections after this time. */
  private static final long OLD_ADDRESS_LINGER = 1_500 * MILLI;

  private static final long FIRST_INDEX = 41;

  /** How discovery responds to calls. */
  public enum Behavior {
    SOUND("as it should"),
    ERRORS("answers 503"),
    CUTS("ends connections within a line"),
    GARBAGE("sends lines that are no list");

    private final String about;

    Behavior(String about) {
      this.about = about;
    }

    /** Returns a description for authors of scripts. */
    public String about() {
      return about;
    }
  }

  /** A change of a host's status, as a line of a watch reports it. */
  private record Change(
      long index, StreamHost source, String host, String status, long since, String rest) {

    /**
     * Returns the JSON object of the change, with the address under which this proxy reaches the
     * host.
     */
    String entry(String proxy) {
      return "{\"name\":\"" + host + "\",\"address\":\"" + source.address(proxy) + rest;
    }
  }

  private final World world;
  private final List<Machine> addresses;
  private final RandomStreams.Stream stream;
  private final Map<String, Change> list = new TreeMap<>();
  private final List<Change> log = new ArrayList<>();
  private final Map<String, Set<String>> reportedStarts = new HashMap<>();
  private final Set<Call> calls = new LinkedHashSet<>();
  private long index = FIRST_INDEX;
  private final Deque<Call> queue = new ArrayDeque<>();
  private boolean isBusy;
  private int addressIndex;
  private Program program;
  private Behavior behavior = Behavior.SOUND;
  private double slowdown = 1;
  private boolean frozen;
  private long soundSince;
  private final List<Runnable> deferredUpdates = new ArrayList<>();

  /**
   * Creates the service. It begins at the first of {@code addresses} and can move to the others.
   */
  public Discovery(World world, List<Machine> addresses) {
    this.world = world;
    this.addresses = addresses;
    this.stream = world.draws().of("discovery");
  }

  /** Returns discovery's address after {@code moves} further moves; 0 is the current address. */
  public String address(String proxy, int moves) {
    return world
        .addresses()
        .addressOf(proxy, addresses.get((addressIndex + moves) % addresses.size()), PORT);
  }

  /** Returns all machines that discovery can run on, the first one first. */
  public List<Machine> machines() {
    return addresses;
  }

  /** Returns the machine that discovery runs on. */
  public Machine machine() {
    return addresses.get(addressIndex);
  }

  // Process

  /** Starts discovery with all stream hosts that serve in its list. */
  public void start() {
    for (StreamHost host : world.hosts().values()) {
      if (host.isServing()) {
        list.put(host.name(), change(host, "SERVING"));
      }
    }
    bringUp();
  }

  /** Starts the process at the current address; no state has been lost. */
  public void bringUp() {
    if (program != null && program.isAlive()) {
      return;
    }
    program = new Program(machine(), "discovery", 0, Integer.MAX_VALUE);
    isBusy = false;
    Acceptor acceptor = new Acceptor(program);
    try {
      acceptor.port = program.listen(PORT, BACKLOG, acceptor);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    markDisturbed();
  }

  /** Ends the process and closes all its connections. */
  public void takeDown() {
    markDisturbed();
    calls.clear();
    queue.clear();
    program.kill();
  }

  /**
   * Moves discovery to its next address. The old address accepts no new connections and closes the
   * open ones {@link #OLD_ADDRESS_LINGER} microseconds later.
   */
  public void moveAddress() {
    Program old = program;
    Set<Call> openCalls = new LinkedHashSet<>(calls);
    queue.clear();
    addressIndex = (addressIndex + 1) % addresses.size();
    program = null;
    bringUp();
    old.stopListening();
    old.schedule(
        OLD_ADDRESS_LINGER,
        () -> {
          openCalls.forEach(Call::close);
          old.kill();
        });
  }

  /** Sets how discovery responds to calls; open calls are cut off where it fails. */
  public void setBehavior(Behavior next) {
    behavior = next;
    markDisturbed();
    if (next == Behavior.CUTS || next == Behavior.ERRORS) {
      for (Call call : List.copyOf(calls)) {
        call.breakOff();
      }
    }
  }

  /** Sets by which factor a call takes longer than usual. */
  public void setSlowdown(double factor) {
    slowdown = factor;
    markDisturbed();
  }

  /**
   * Freezes discovery's list, or releases it. While frozen, discovery applies no updates; it
   * applies the deferred ones on release.
   */
  public void setFrozen(boolean on) {
    frozen = on;
    markDisturbed();
    if (!on) {
      List<Runnable> updates = List.copyOf(deferredUpdates);
      deferredUpdates.clear();
      updates.forEach(Runnable::run);
    }
  }

  private void markDisturbed() {
    soundSince = world.now();
  }

  /**
   * Returns since when discovery has worked as it should and could be reached from a proxy's
   * machine.
   */
  public long soundSince(Machine proxy) {
    boolean sound =
        program != null
            && program.isAlive()
            && behavior == Behavior.SOUND
            && slowdown <= 1
            && !frozen;
    return sound
        ? Math.max(soundSince, world.fabric().undisturbedSince(proxy, machine()))
        : world.now();
  }

  // List of hosts

  /** Receives a stream host's status after a delay in microseconds. */
  public void receiveStatus(StreamHost host, String status, long micros) {
    world.agenda().after(micros, () -> applyStatus(host, status));
  }

  private void applyStatus(StreamHost host, String status) {
    if (frozen) {
      deferredUpdates.add(() -> applyStatus(host, status));
      return;
    }
    if (!status.equals(host.status())) {
      // The host's status has changed again, and that change is received separately.
      return;
    }
    Change change = change(host, status);
    log.add(change);
    if (status.equals("DELETED")) {
      list.remove(host.name());
    } else {
      list.put(host.name(), change);
    }
    world.publish(new Event.Listed(host.name(), status));
    for (Call call : List.copyOf(calls)) {
      call.scheduleChanges();
    }
  }

  private Change change(StreamHost host, String status) {
    index++;
    long millis = host.since() == 0 ? 0 : world.unixMillis(host.since());
    String rest =
        "\",\"zone\":\""
            + host.machine().zone()
            + "\",\"type\":\""
            + host.kind().name()
            + "\",\"group\":0,\"status\":\""
            + status
            + "\",\"weight\":"
            + Math.round(host.capacity() * 10) / 10.0
            + ",\"since_ms\":"
            + millis
            + "}";
    return new Change(index, host, host.name(), status, host.since(), rest);
  }

  /**
   * Returns the complete list as JSON, with the addresses under which this proxy reaches the hosts.
   */
  public String list(String proxy) {
    return object(proxy, index, true, List.copyOf(list.values()));
  }

  private static String object(String proxy, long index, boolean whole, List<Change> changes) {
    StringBuilder text = new StringBuilder();
    text.append("{\"index\":").append(index).append(",\"snapshot\":").append(whole);
    text.append(",\"endpoints\":[");
    String separator = "";
    for (Change change : changes) {
      text.append(separator).append(change.entry(proxy));
      separator = ",";
    }
    return text.append("]}").toString();
  }

  /**
   * Resets what was reported to a proxy whose process starts. {@code all}: its settings list the
   * hosts that discovery knows.
   */
  public void resetReported(String proxy, boolean all) {
    reportedStarts.remove(proxy);
    if (all) {
      list.values().forEach(change -> recordReported(proxy, change));
    }
  }

  /**
   * Returns whether the host's current start was reported to this proxy since the proxy's last
   * start.
   */
  boolean hasReportedStart(String proxy, StreamHost host) {
    return reportedStarts.getOrDefault(proxy, Set.of()).contains(host.name() + " " + host.since());
  }

  private void recordReported(String proxy, Change change) {
    if (change.status().equals("SERVING")) {
      reportedStarts
          .computeIfAbsent(proxy, p -> new HashSet<>())
          .add(change.host() + " " + change.since());
    }
  }

  /** Handles the next call of the queue, if no other is being handled. */
  private void handleNext() {
    if (isBusy || queue.isEmpty()) {
      return;
    }
    isBusy = true;
    Call next = queue.remove();
    next.owner.schedule(
        (long) (slowdown * stream.micros(MIN_CALL_TIME, MAX_CALL_TIME)),
        () -> {
          isBusy = false;
          next.handle();
          handleNext();
        });
  }

  private final class Acceptor implements Runnable {
    private final Program owner;
    private ListeningSocket port;

    Acceptor(Program owner) {
      this.owner = owner;
    }

    @Override
    public void run() {
      for (Endpoint endpoint = port.accept(); endpoint != null; endpoint = port.accept()) {
        calls.add(new Call(owner, endpoint));
      }
    }
  }

  /** One connection, which carries one call. */
  private final class Call implements LineConnection.Listener {
    private final Program owner;
    private final String proxy;
    private final LineConnection lines;
    private String request;
    private boolean closed;
    private boolean watching;
    private boolean changesScheduled;
    private long sentIndex;
    private long lastLineAt;

    Call(Program owner, Endpoint endpoint) {
      this.owner = owner;
      proxy = endpoint.peerMachine().name();
      lines = new LineConnection(endpoint, this);
    }

    @Override
    public void onLine(String line) {
      if (request == null) {
        request = line;
      } else if (line.isEmpty()) {
        world.publish(new Event.ListCalled(proxy, request.contains("follow=1")));
        queue.add(this);
        owner.schedule(MAX_QUEUE_WAIT, this::waitedTooLong);
        handleNext();
      }
    }

    private void waitedTooLong() {
      if (queue.remove(this)) {
        markDisturbed();
        sendStatus("503 Service Unavailable");
      }
    }

    private void handle() {
      if (closed) {
        return;
      }
      String[] parts = request.split(" ");
      boolean known = parts.length == 3 && parts[0].equals("GET");
      String path = known ? parts[1] : "";
      if (behavior == Behavior.ERRORS) {
        sendStatus("503 Service Unavailable");
      } else if (path.equals("/api/targets")) {
        sendList();
      } else if (path.matches("/api/targets\\?follow=1&since=\\d{1,18}")) {
        watch(Long.parseLong(path.substring(path.lastIndexOf('=') + 1)));
      } else {
        sendStatus("404 Not Found");
      }
    }

    private void sendStatus(String text) {
      lines.send("HTTP/1.1 " + text + "\r\nContent-Length: 0\r\nConnection: close\r\n");
      close();
    }

    private void sendList() {
      if (behavior == Behavior.CUTS) {
        lines.send("HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n");
        lines.sendBytes("{\"index\":".getBytes());
        close();
        return;
      }
      String text = behavior == Behavior.GARBAGE ? "{\"index\":" + index + ",\"end" : list(proxy);
      lines.send(
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
              + text.length()
              + "\r\n");
      lines.sendBytes(text.getBytes());
      if (behavior == Behavior.SOUND) {
        reportAll();
      }
      close();
    }

    private void reportAll() {
      world.hosts().values().stream()
          .filter(host -> !list.containsKey(host.name()))
          .forEach(host -> reportRemovedOnArrival(host.name()));
      list.values().forEach(this::reportOnArrival);
    }

    /**
     * Records a change as reported once it has arrived at the proxy: a change that is written to a
     * broken network path never arrives.
     */
    private void reportOnArrival(Change change) {
      lines
          .endpoint()
          .onDelivered(
              () -> {
                recordReported(proxy, change);
                world.publish(new Event.Told(proxy, change.host(), change.status()));
              });
    }

    private void reportRemovedOnArrival(String host) {
      lines.endpoint().onDelivered(() -> world.publish(new Event.Told(proxy, host, "DELETED")));
    }

    private void watch(long since) {
      watching = true;
      lines.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
      if (since < FIRST_INDEX || since > index) {
        sendChunk(list(proxy));
        reportAll();
        sentIndex = index;
      } else {
        sentIndex = since;
        sendChanges(true);
      }
      keepAlive();
    }

    /**
     * Sends the changes since the last ones sent. An object without changes is sent only as the
     * first of a watch.
     */
    private void sendChanges(boolean first) {
      changesScheduled = false;
      if (closed) {
        return;
      }
      List<Change> changes = log.stream().filter(change -> change.index() > sentIndex).toList();
      if (changes.isEmpty() && !first) {
        return;
      }
      String text = object(proxy, index, false, changes);
      if (behavior == Behavior.GARBAGE) {
        sendChunk(text.substring(0, text.length() / 2));
        return;
      }
      sendChunk(text);
      sentIndex = index;
      changes.forEach(this::reportOnArrival);
      if (behavior == Behavior.CUTS) {
        breakOff();
      }
    }

    void scheduleChanges() {
      if (watching && !changesScheduled && !closed) {
        changesScheduled = true;
        owner.schedule(stream.micros(10 * MILLI, 120 * MILLI), () -> sendChanges(false));
      }
    }

    private void keepAlive() {
      if (!closed) {
        long idle = world.now() - lastLineAt;
        if (idle >= KEEPALIVE_INTERVAL) {
          sendChunk(behavior == Behavior.GARBAGE ? "%&/" : "");
        }
        owner.schedule(
            Math.max(MILLI, KEEPALIVE_INTERVAL - (world.now() - lastLineAt)), this::keepAlive);
      }
    }

    private void sendChunk(String line) {
      lastLineAt = world.now();
      lines.send(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n");
    }

    /** Closes the connection in the middle of a line. */
    void breakOff() {
      if (!closed) {
        lines.sendBytes("40\r\n{\"index\":".getBytes());
        close();
      }
    }

    @Override
    public void onEnd(boolean reset) {
      close();
    }

    void close() {
      if (!closed) {
        closed = true;
        calls.remove(this);
        queue.remove(this);
        lines.close();
      }
    }
  }
}
