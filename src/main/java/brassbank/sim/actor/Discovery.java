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
 * Discovery, which all proxies share: it learns late of what becomes of stream hosts, handles calls
 * one after another, and keeps watches. It can be down, answer 503, stand still, cut its answers,
 * send garbage, and move to another address.
 */
public final class Discovery {
  /** Where it listens on its machine. */
  public static final int PORT = 8500;

  private static final int BACKLOG = 128;
  private static final long MILLI = Agenda.MILLI;
  private static final long SECOND = Agenda.SECOND;

  /** A call that has waited for longer fails. */
  private static final long MAX_QUEUE_WAIT = 3 * SECOND;

  /** Work of one call. */
  private static final long MIN_CALL_TIME = 175 * MILLI;

  private static final long MAX_CALL_TIME = 278 * MILLI;

  private static final long KEEPALIVE_INTERVAL = 2 * SECOND;

  /** An address that was left closes its open connections after this. */
  private static final long OLD_ADDRESS_LINGER = 1_500 * MILLI;

  private static final long FIRST_INDEX = 41;

  /** What it does with its calls. */
  public enum Behavior {
    SOUND("as it should"),
    ERRORS("answers 503"),
    CUTS("ends connections within a line"),
    GARBAGE("sends lines that are no list");

    private final String about;

    Behavior(String about) {
      this.about = about;
    }

    /** What it does, for those who write scripts. */
    public String about() {
      return about;
    }
  }

  /** A change, as one line of a watch tells it. */
  private record Change(
      long index, StreamHost source, String host, String status, long since, String rest) {

    /** As the proxy of this name is told it. */
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

  /** {@code addresses}: where it can be; it begins at the first. */
  public Discovery(World world, List<Machine> addresses) {
    this.world = world;
    this.addresses = addresses;
    this.stream = world.draws().of("discovery");
  }

  /** Where it is now, and where it would be after so many moves. */
  public String address(String proxy, int moves) {
    return world
        .addresses()
        .addressOf(proxy, addresses.get((addressIndex + moves) % addresses.size()), PORT);
  }

  /** All machines that it can be at, the first one first. */
  public List<Machine> machines() {
    return addresses;
  }

  public Machine machine() {
    return addresses.get(addressIndex);
  }

  // ------------------------------------------------------------------- life

  /** Starts with all stream hosts that serve. */
  public void start() {
    for (StreamHost host : world.hosts().values()) {
      if (host.isServing()) {
        list.put(host.name(), change(host, "SERVING"));
      }
    }
    bringUp();
  }

  /** Comes up at its address; it has lost nothing. */
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

  public void takeDown() {
    markDisturbed();
    calls.clear();
    queue.clear();
    program.kill();
  }

  /**
   * Moves to its next address. The old one accepts nothing new and closes what is open a while
   * later.
   */
  public void moveAddress() {
    Program old = program;
    Set<Call> left = new LinkedHashSet<>(calls);
    queue.clear();
    addressIndex = (addressIndex + 1) % addresses.size();
    program = null;
    bringUp();
    old.stopListening();
    old.schedule(
        OLD_ADDRESS_LINGER,
        () -> {
          left.forEach(Call::close);
          old.kill();
        });
  }

  public void setBehavior(Behavior next) {
    behavior = next;
    markDisturbed();
    if (next == Behavior.CUTS || next == Behavior.ERRORS) {
      for (Call call : List.copyOf(calls)) {
        call.breakOff();
      }
    }
  }

  public void setSlowdown(double factor) {
    slowdown = factor;
    markDisturbed();
  }

  /** While it stands still it learns nothing; what it missed it learns afterwards. */
  public void setFrozen(boolean on) {
    frozen = on;
    markDisturbed();
    if (!on) {
      List<Runnable> missed = List.copyOf(deferredUpdates);
      deferredUpdates.clear();
      missed.forEach(Runnable::run);
    }
  }

  private void markDisturbed() {
    soundSince = world.now();
  }

  /** Since when it has worked as it should, and could be reached from a proxy's machine. */
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

  // ------------------------------------------------------------- what it knows

  /** It learns of a stream host's status after so many microseconds. */
  public void receiveStatus(StreamHost host, String status, long micros) {
    world.agenda().after(micros, () -> applyStatus(host, status));
  }

  private void applyStatus(StreamHost host, String status) {
    if (frozen) {
      deferredUpdates.add(() -> applyStatus(host, status));
      return;
    }
    if (!status.equals(host.status())) {
      // It has gone on meanwhile, and what became of it is learnt for itself.
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

  /** The whole list in its own form, as it stands now and as this proxy is told it. */
  public String list(String proxy) {
    return object(proxy, index, true, List.copyOf(list.values()));
  }

  private static String object(String proxy, long index, boolean whole, List<Change> changes) {
    StringBuilder text = new StringBuilder();
    text.append("{\"index\":").append(index).append(",\"snapshot\":").append(whole);
    text.append(",\"endpoints\":[");
    String between = "";
    for (Change change : changes) {
      text.append(between).append(change.entry(proxy));
      between = ",";
    }
    return text.append("]}").toString();
  }

  /** What a proxy knows from its start, by its configuration. */
  public void resetReported(String proxy, boolean all) {
    reportedStarts.remove(proxy);
    if (all) {
      list.values().forEach(change -> recordReported(proxy, change));
    }
  }

  /** Whether this proxy has been told that the host serves since its last start. */
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

  /** Handles the calls one after another. */
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

  /** One connection, which brings one call. */
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

    /** It is told once it has arrived: what is written into a cut way tells nobody. */
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

    /** The changes since what was told last; an object without any only as a watch's first. */
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
        long quiet = world.now() - lastLineAt;
        if (quiet >= KEEPALIVE_INTERVAL) {
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

    /** Ends it within a line. */
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
