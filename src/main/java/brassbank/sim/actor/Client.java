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
 * A usual client: asks for a connection, tries again as its kind does, sends a line every 2 s while
 * it stands, and comes again after a break or a move.
 */
public final class Client {
  private static final long MILLI = Agenda.MILLI;
  private static final long SECOND = Agenda.SECOND;

  private static final long LINE_EVERY = 2 * SECOND;

  /** A client waits a little past its time, so that the checks see an answer that is late. */
  private static final long PAST_DEADLINE = 100 * MILLI;

  /** Where nothing has come back for so long, a person closes the window and opens another. */
  private static final long PATIENCE = 15 * SECOND;

  private static final long RETURN_LEAST = 51 * MILLI;
  private static final long RETURN_MOST = 2_000 * MILLI;

  /** Share of clients that do not wait for an answer, and how long they wait at most. */
  private static final double IMPATIENT = 0.02;

  private static final long LONGEST_IMPATIENCE = 600 * MILLI;

  /** Mean life of a connection, before its class and its chance. */
  private static final double LIFE_SECONDS = 30;

  private static final long LONGEST_RETRY = 2_000;

  /** How it ends its connection before its life is over, if it does. */
  private enum Leaving {
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
  private final Site.FlowClass kind;
  private final String tenant;
  private final String group;
  private final double load;
  private final int retries;
  private final long backoff;
  private final boolean honours;
  private final Leaving leaving;
  private final boolean slowReader;
  private final boolean impatient;

  private long lifeLeft;
  private int flows;
  private int tries;
  private long cameAt;
  private long giveUpAt;
  private boolean again;

  /** {@code number} names it: all that it draws follows from that. */
  public Client(World world, Machine machine, Program program, int number) {
    this.world = world;
    this.machine = machine;
    this.program = program;
    name = "c" + number;
    stream = world.draws().of("client " + number);
    Site site = world.site();
    kind =
        site.classes()
            .get(stream.pick(site.classes().stream().mapToDouble(c -> c.share()).toArray()));
    tenant =
        site.tenants()
            .get(stream.pick(site.tenants().stream().mapToDouble(t -> t.share()).toArray()))
            .name();
    group = "g" + (int) (site.groups() * Math.pow(stream.between(0, 1), 2));
    load = Math.round(kind.load() * stream.logNormal(0.7) * 1000) / 1000.0;
    lifeLeft = (long) (stream.exponential(LIFE_SECONDS * kind.lifetime()) * SECOND) + 100 * MILLI;
    retries = stream.between(0, site.retries());
    backoff = stream.chance(0.3) ? 0 : stream.micros(17 * MILLI, 130 * MILLI);
    honours = stream.chance(0.75);
    leaving =
        stream.chance(0.85)
            ? Leaving.STAYS
            : Leaving.values()[1 + stream.below(Leaving.values().length - 1)];
    slowReader = stream.chance(0.01);
    impatient = stream.chance(IMPATIENT);
  }

  /** Mean load of a client times its mean seconds. */
  public static double meanLoadSeconds(Site site) {
    return site.classes().stream()
        .mapToDouble(c -> c.share() * c.load() * c.lifetime() * LIFE_SECONDS)
        .sum();
  }

  public String name() {
    return name;
  }

  private Event came(boolean again) {
    return new Event.ClientCame(name, again, kind.name(), tenant, group);
  }

  /** Comes for the first time. */
  public void start() {
    world.publish(came(false));
    come();
  }

  private void come() {
    tries = 0;
    cameAt = world.now();
    giveUpAt = world.now() + kind.deadlineMillis() * MILLI;
    attempt();
  }

  private void attempt() {
    InetSocketAddress address = world.loadBalancer().pick(machine.zone(), stream);
    if (address == null) {
      unserved(-1);
      return;
    }
    new Flow(address).start();
  }

  /** This try has not been served; {@code told} is when to come back, in ms, or -1. */
  private void unserved(long told) {
    if (tries++ >= retries || giveUpAt - world.now() < 100 * MILLI) {
      world.publish(new Event.ClientGaveUp(name, cameAt, lifeLeft));
      return;
    }
    long wait = told > 0 && honours ? Math.min(told, LONGEST_RETRY) * MILLI : backoff;
    program.schedule(wait, this::attempt);
  }

  private void comeAgain() {
    if (lifeLeft < 500 * MILLI) {
      return;
    }
    again = true;
    world.publish(came(true));
    program.schedule(stream.micros(RETURN_LEAST, RETURN_MOST), this::come);
  }

  /** One try, and the connection that comes of it. */
  private final class Flow implements Program.ConnectHandler, Lines.Taker {
    private final InetSocketAddress address;
    private final String id = name + "." + flows++;
    private final long deadlineAt = giveUpAt;
    private Program.PendingConnect connecting;
    private Lines lines;
    private boolean answered;
    private boolean served;
    private boolean over;
    private boolean farewell;
    private boolean bye;
    private long servedAt;
    private long askedAt;
    private int sent;
    private int heard;

    Flow(InetSocketAddress address) {
      this.address = address;
    }

    void start() {
      connecting = program.connect(address, this);
      program.schedule(deadlineAt - world.now(), this::unreachable);
    }

    private void unreachable() {
      if (lines == null && !over) {
        over = true;
        connecting.cancel();
        unserved(-1);
      }
    }

    @Override
    public void failed(IOException cause) {
      if (!over) {
        over = true;
        unserved(-1);
      }
    }

    @Override
    public void connected(Endpoint endpoint) {
      if (over) {
        endpoint.close();
        return;
      }
      lines = new Lines(endpoint, this);
      long millis = Math.max(1, (deadlineAt - world.now()) / MILLI);
      String proxy = world.loadBalancer().name(address);
      world.flows().client(id, endpoint);
      world.publish(new Event.FlowSent(id, name, proxy, millis));
      lines.send(
          "OPEN "
              + id
              + " k"
              + name
              + " c="
              + kind.name()
              + ",t="
              + tenant
              + ",d="
              + millis
              + ",g="
              + group
              + (tries > 0 ? ",r=1" : "")
              + (again ? ",again=1" : "")
              + ",load="
              + load
              + ",life="
              + lifeLeft / MILLI);
      endpoint.onDelivered(() -> world.publish(new Event.FlowTaken(id, proxy)));
      program.schedule(millis * MILLI + PAST_DEADLINE, this::late);
      if (impatient) {
        program.schedule(stream.micros(0, LONGEST_IMPATIENCE), this::leaveUnanswered);
      }
    }

    private void leaveUnanswered() {
      if (!answered && !over) {
        world.publish(new Event.ClientLeft(id, true));
        world.publish(new Event.ClientOver(name, id, false));
        stop(stream.chance(0.5));
      }
    }

    private void late() {
      if (!answered && !over) {
        world.publish(new Event.ClientLeft(id, true));
        stop(false);
        unserved(-1);
      }
    }

    @Override
    public void line(String line) {
      if (served) {
        standing(line);
        return;
      }
      if (answered) {
        world.publish(new Event.AnsweredAgain(id, line));
        return;
      }
      answered = true;
      world.publish(new Event.FlowAnswered(id, line));
      if (line.startsWith("UP ")) {
        serve();
      } else {
        lines.finish();
        unserved(
            line.matches("BUSY \\d{1,9}") ? Long.parseLong(line.substring("BUSY ".length())) : -1);
      }
    }

    private void serve() {
      served = true;
      servedAt = world.now();
      world.flows().stands(id, world.loadBalancer().name(address));
      world.publish(new Event.ClientServed(name, id));
      if (leaving != Leaving.STAYS) {
        program.schedule(stream.micros(SECOND, 20 * SECOND), this::leave);
      }
      if (slowReader) {
        program.schedule(stream.micros(SECOND, 10 * SECOND), this::readNothing);
      }
      ask();
    }

    private void ask() {
      if (over || farewell) {
        return;
      }
      if (sent > heard && world.now() - askedAt > PATIENCE) {
        world.publish(new Event.ClientLeft(id, false));
        world.publish(new Event.ClientOver(name, id, false));
        stop(false);
        lifeLeft -= Math.min(lifeLeft, world.now() - servedAt);
        comeAgain();
        return;
      }
      if (sent == heard) {
        askedAt = world.now();
      }
      StringBuilder line = new StringBuilder("m ").append(sent++).append(' ');
      int length = stream.chance(0.02) ? stream.between(0, 4_000) : stream.between(0, 40);
      for (int i = 0; i < length; i++) {
        line.append((char) (stream.chance(0.05) ? 0xa0 + stream.below(0x5f) : ' ' + i % 90));
      }
      world.publish(new Event.LineSent(id, true, line.toString()));
      lines.send(line.toString());
      program.schedule(LINE_EVERY, this::ask);
    }

    private void readNothing() {
      if (!over) {
        long micros = stream.micros(SECOND, 8 * SECOND);
        lines.reading(false);
        world.flows().clientBusy(id, world.now() + micros);
        program.schedule(
            micros,
            () -> {
              if (!over) {
                lines.reading(true);
              }
            });
      }
    }

    private void standing(String line) {
      if (line.equals("MOVE") || line.equals("BYE")) {
        farewell = true;
        bye = line.equals("BYE");
        lifeLeft = bye ? 0 : lifeLeft;
        return;
      }
      world.publish(new Event.LineArrived(id, false, line));
      if (line.startsWith("r ")) {
        heard++;
        askedAt = world.now();
      }
    }

    /** It leaves of its own will, in the way that its kind does. */
    private void leave() {
      if (over || farewell) {
        return;
      }
      lifeLeft = 0;
      world.flows().over(id);
      world.publish(new Event.ClientOver(name, id, false));
      world.publish(new Event.ClientLeft(id, false));
      switch (leaving) {
        case FINISHES -> {
          over = true;
          lines.finish();
          program.schedule(5 * SECOND, lines::close);
        }
        case RESETS -> {
          over = true;
          lines.reset();
        }
        default -> stop(false);
      }
    }

    private void stop(boolean reset) {
      over = true;
      world.flows().over(id);
      if (reset) {
        lines.reset();
      } else {
        lines.close();
      }
    }

    @Override
    public void ended(boolean reset) {
      if (over) {
        lines.close();
        return;
      }
      over = true;
      world.flows().over(id);
      world.publish(new Event.ClientSawEnd(id, served, farewell, bye, reset));
      lines.close();
      if (served) {
        world.publish(new Event.ClientOver(name, id, farewell && !bye));
        lifeLeft -= Math.min(lifeLeft, world.now() - servedAt);
        comeAgain();
      } else if (!answered) {
        unserved(-1);
      }
    }
  }
}
