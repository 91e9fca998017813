package brassbank.sim.actor;

import brassbank.sim.event.Event;
import brassbank.sim.net.Endpoint;
import brassbank.sim.net.Machine;
import brassbank.sim.net.Program;
import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * A regular client: requests a session, retries as its settings say, sends a line every 2 s while
 * the session is open, and reconnects after the connection broke or was moved.
 */
public final class Client {
  private static final long MILLI = Agenda.MILLI;
  private static final long SECOND = Agenda.SECOND;

  private static final long LINE_INTERVAL = 2 * SECOND;

  /** A client waits a little past its deadline, so that the rules observe a late answer. */
  private static final long DEADLINE_GRACE = 100 * MILLI;

  /** After this time without a line from the host a user closes the window and opens another. */
  private static final long SILENCE_TIMEOUT = 15 * SECOND;

  private static final long MIN_RECONNECT_DELAY = 51 * MILLI;
  private static final long MAX_RECONNECT_DELAY = 2_000 * MILLI;

  /** Share of clients that close before they are answered, and how long these wait at most. */
  private static final double IMPATIENT_SHARE = 0.02;

  private static final long MAX_IMPATIENT_WAIT = 600 * MILLI;

  /** Mean lifetime of a connection, before the factors of its class and of chance. */
  private static final double MEAN_LIFETIME_SECONDS = 30;

  private static final long MAX_RETRY_DELAY_MILLIS = 2_000;

  /** How a client ends its connection before its lifetime is over, if it does. */
  private enum DisconnectMode {
    STAYS,
    CLOSES,
    FINISHES,
    RESETS
  }

  private final World world;
  private final String name;
  private final Machine machine;
  private final Program program;
  private final RandomStreams.Stream stream;
  private final Site.FlowClass flowClass;
  private final String tenant;
  private final String group;
  private final double load;
  private final int retries;
  private final long backoff;
  private final boolean honoursRetryHint;
  private final DisconnectMode disconnectMode;
  private final boolean slowReader;
  private final boolean impatient;

  private long remainingLifetime;
  private int flows;
  private int tries;
  private long cameAt;
  private long giveUpAt;
  private boolean isReconnecting;

  /** Creates a client. {@code number} determines its name and all its random numbers. */
  public Client(World world, Machine machine, Program program, int number) {
    this.world = world;
    this.machine = machine;
    this.program = program;
    name = "c" + number;
    stream = world.draws().of("client " + number);
    Site site = world.site();
    flowClass =
        site.classes()
            .get(stream.pick(site.classes().stream().mapToDouble(c -> c.share()).toArray()));
    tenant =
        site.tenants()
            .get(stream.pick(site.tenants().stream().mapToDouble(t -> t.share()).toArray()))
            .name();
    group = "g" + (int) (site.groups() * Math.pow(stream.between(0, 1), 2));
    load = Math.round(flowClass.load() * stream.logNormal(0.7) * 1000) / 1000.0;
    remainingLifetime =
        (long) (stream.exponential(MEAN_LIFETIME_SECONDS * flowClass.lifetime()) * SECOND)
            + 100 * MILLI;
    retries = stream.between(0, site.retries());
    backoff = stream.chance(0.3) ? 0 : stream.micros(17 * MILLI, 130 * MILLI);
    honoursRetryHint = stream.chance(0.75);
    disconnectMode =
        stream.chance(0.85)
            ? DisconnectMode.STAYS
            : DisconnectMode.values()[1 + stream.below(DisconnectMode.values().length - 1)];
    slowReader = stream.chance(0.01);
    impatient = stream.chance(IMPATIENT_SHARE);
  }

  /** Returns the mean load of a client multiplied by its mean lifetime in seconds. */
  public static double meanLoadSeconds(Site site) {
    return site.classes().stream()
        .mapToDouble(c -> c.share() * c.load() * c.lifetime() * MEAN_LIFETIME_SECONDS)
        .sum();
  }

  public String name() {
    return name;
  }

  private Event cameEvent(boolean again) {
    return new Event.ClientCame(name, again, flowClass.name(), tenant, group);
  }

  /** Requests the client's first session. */
  public void start() {
    world.publish(cameEvent(false));
    requestSession();
  }

  private void requestSession() {
    tries = 0;
    cameAt = world.now();
    giveUpAt = world.now() + flowClass.deadlineMillis() * MILLI;
    attempt();
  }

  private void attempt() {
    InetSocketAddress address = world.loadBalancer().pick(machine.zone(), stream);
    if (address == null) {
      attemptFailed(-1);
      return;
    }
    new Flow(address).start();
  }

  /**
   * Handles a try that was not served. {@code retryHint} is the proxy's hint in milliseconds, or
   * -1.
   */
  private void attemptFailed(long retryHint) {
    if (tries++ >= retries || giveUpAt - world.now() < 100 * MILLI) {
      world.publish(new Event.ClientGaveUp(name, cameAt, remainingLifetime));
      return;
    }
    long wait =
        retryHint > 0 && honoursRetryHint
            ? Math.min(retryHint, MAX_RETRY_DELAY_MILLIS) * MILLI
            : backoff;
    program.schedule(wait, this::attempt);
  }

  private void reconnect() {
    if (remainingLifetime < 500 * MILLI) {
      return;
    }
    isReconnecting = true;
    world.publish(cameEvent(true));
    program.schedule(stream.micros(MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY), this::requestSession);
  }

  /** One try of the client, and the connection that results from it. */
  private final class Flow implements Program.ConnectHandler, LineConnection.Listener {
    private final InetSocketAddress address;
    private final String id = name + "." + flows++;
    private final long deadlineAt = giveUpAt;
    private Program.PendingConnect connecting;
    private LineConnection lines;
    private boolean answered;
    private boolean served;
    private boolean closed;
    private boolean sawFarewell;
    private boolean sawBye;
    private long servedAt;
    private long waitingSince;
    private int sent;
    private int received;

    Flow(InetSocketAddress address) {
      this.address = address;
    }

    void start() {
      connecting = program.connect(address, this);
      program.schedule(deadlineAt - world.now(), this::onConnectTimeout);
    }

    private void onConnectTimeout() {
      if (lines == null && !closed) {
        closed = true;
        connecting.cancel();
        attemptFailed(-1);
      }
    }

    @Override
    public void failed(IOException cause) {
      if (!closed) {
        closed = true;
        attemptFailed(-1);
      }
    }

    @Override
    public void connected(Endpoint endpoint) {
      if (closed) {
        endpoint.close();
        return;
      }
      lines = new LineConnection(endpoint, this);
      long millis = Math.max(1, (deadlineAt - world.now()) / MILLI);
      String proxy = world.loadBalancer().name(address);
      world.flows().setClient(id, endpoint);
      world.publish(new Event.FlowSent(id, name, proxy, millis));
      lines.send(
          "OPEN "
              + id
              + " k"
              + name
              + " c="
              + flowClass.name()
              + ",t="
              + tenant
              + ",d="
              + millis
              + ",g="
              + group
              + (tries > 0 ? ",r=1" : "")
              + (isReconnecting ? ",again=1" : "")
              + ",load="
              + load
              + ",life="
              + remainingLifetime / MILLI);
      endpoint.onDelivered(() -> world.publish(new Event.FlowTaken(id, proxy)));
      program.schedule(millis * MILLI + DEADLINE_GRACE, this::onDeadline);
      if (impatient) {
        program.schedule(stream.micros(0, MAX_IMPATIENT_WAIT), this::leaveUnanswered);
      }
    }

    private void leaveUnanswered() {
      if (!answered && !closed) {
        world.publish(new Event.ClientLeft(id, true));
        world.publish(new Event.ClientOver(name, id, false));
        closeConnection(stream.chance(0.5));
      }
    }

    private void onDeadline() {
      if (!answered && !closed) {
        world.publish(new Event.ClientLeft(id, true));
        closeConnection(false);
        attemptFailed(-1);
      }
    }

    @Override
    public void onLine(String line) {
      if (served) {
        receiveLine(line);
        return;
      }
      if (answered) {
        world.publish(new Event.AnsweredAgain(id, line));
        return;
      }
      answered = true;
      world.publish(new Event.FlowAnswered(id, line));
      if (line.startsWith("UP ")) {
        onServed();
      } else {
        lines.finish();
        attemptFailed(
            line.matches("BUSY \\d{1,9}") ? Long.parseLong(line.substring("BUSY ".length())) : -1);
      }
    }

    private void onServed() {
      served = true;
      servedAt = world.now();
      world.flows().opened(id, world.loadBalancer().name(address));
      world.publish(new Event.ClientServed(name, id));
      if (disconnectMode != DisconnectMode.STAYS) {
        program.schedule(stream.micros(SECOND, 20 * SECOND), this::disconnect);
      }
      if (slowReader) {
        program.schedule(stream.micros(SECOND, 10 * SECOND), this::pauseReading);
      }
      sendNextLine();
    }

    private void sendNextLine() {
      if (closed || sawFarewell) {
        return;
      }
      if (sent > received && world.now() - waitingSince > SILENCE_TIMEOUT) {
        world.publish(new Event.ClientLeft(id, false));
        world.publish(new Event.ClientOver(name, id, false));
        closeConnection(false);
        remainingLifetime -= Math.min(remainingLifetime, world.now() - servedAt);
        reconnect();
        return;
      }
      if (sent == received) {
        waitingSince = world.now();
      }
      StringBuilder line = new StringBuilder("m ").append(sent++).append(' ');
      int length = stream.chance(0.02) ? stream.between(0, 4_000) : stream.between(0, 40);
      for (int i = 0; i < length; i++) {
        line.append((char) (stream.chance(0.05) ? 0xa0 + stream.below(0x5f) : ' ' + i % 90));
      }
      world.publish(new Event.LineSent(id, true, line.toString()));
      lines.send(line.toString());
      program.schedule(LINE_INTERVAL, this::sendNextLine);
    }

    private void pauseReading() {
      if (!closed) {
        long micros = stream.micros(SECOND, 8 * SECOND);
        lines.reading(false);
        world.flows().markClientBusy(id, world.now() + micros);
        program.schedule(
            micros,
            () -> {
              if (!closed) {
                lines.reading(true);
              }
            });
      }
    }

    private void receiveLine(String line) {
      if (line.equals("MOVE") || line.equals("BYE")) {
        sawFarewell = true;
        sawBye = line.equals("BYE");
        remainingLifetime = sawBye ? 0 : remainingLifetime;
        return;
      }
      world.publish(new Event.LineArrived(id, false, line));
      if (line.startsWith("r ")) {
        received++;
        waitingSince = world.now();
      }
    }

    /** Ends the connection in the client's own manner. */
    private void disconnect() {
      if (closed || sawFarewell) {
        return;
      }
      remainingLifetime = 0;
      world.flows().closed(id);
      world.publish(new Event.ClientOver(name, id, false));
      world.publish(new Event.ClientLeft(id, false));
      switch (disconnectMode) {
        case FINISHES -> {
          closed = true;
          lines.finish();
          program.schedule(5 * SECOND, lines::close);
        }
        case RESETS -> {
          closed = true;
          lines.reset();
        }
        default -> closeConnection(false);
      }
    }

    private void closeConnection(boolean reset) {
      closed = true;
      world.flows().closed(id);
      if (reset) {
        lines.reset();
      } else {
        lines.close();
      }
    }

    @Override
    public void onEnd(boolean reset) {
      if (closed) {
        lines.close();
        return;
      }
      closed = true;
      world.flows().closed(id);
      world.publish(new Event.ClientSawEnd(id, served, sawFarewell, sawBye, reset));
      lines.close();
      if (served) {
        world.publish(new Event.ClientOver(name, id, sawFarewell && !sawBye));
        remainingLifetime -= Math.min(remainingLifetime, world.now() - servedAt);
        reconnect();
      } else if (!answered) {
        attemptFailed(-1);
      }
    }
  }
}
