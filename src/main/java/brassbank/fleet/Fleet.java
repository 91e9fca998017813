package brassbank.fleet;

import brassbank.membership.Activity;
import brassbank.membership.Incarnation;
import brassbank.membership.Membership;
import brassbank.membership.MembershipConfig;
import brassbank.membership.Message;
import brassbank.membership.Outbox;
import brassbank.membership.State;
import brassbank.membership.Update;
import brassbank.membership.View;
import brassbank.membership.ViewChange;
import brassbank.membership.wire.Codec;
import brassbank.membership.wire.InvalidDatagramException;
import brassbank.net.EventLoop;
import brassbank.net.Net;
import brassbank.net.Network;
import brassbank.shares.wire.LeaseCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * This process in its fleet. All methods must be called on the event loop's thread. No other
 * component waits for the fleet: a process that reaches no other member is a fleet of one.
 */
public final class Fleet {
  private static final long NANOS_PER_MICRO = 1_000;

  /**
   * Interval of attempts to bind an address that is in use, such as by a predecessor that has not
   * stopped yet.
   */
  private static final long OPEN_RETRY_MICROS = 100_000;

  /** Random low-order bits of the start time, which distinguish starts within one millisecond. */
  private static final int START_TIME_RANDOM_BITS = 12;

  private final Net net;
  private final MembershipConfig config;
  private final String name;
  private final String zone;
  private final RandomGenerator random;
  private final Supplier<Activity> activity;
  private final Codec codec;
  private final FleetLog fleetLog = new FleetLog();
  private final DatagramCounters datagramCounters = new DatagramCounters();
  private final List<Consumer<ViewChange>> listeners = new ArrayList<>();
  private final Outbox outbox = new FleetOutbox();

  /** Null if the budgets are divided evenly by the configured fleet size. */
  private final ShareParticipant shareParticipant;

  private BudgetSharing budgetSharing;
  private Network.Datagrams socket;
  private Membership membership;
  private EventLoop.Timer timer;
  private boolean openRequested;
  private boolean openFailureLogged;

  /**
   * Creates a fleet that {@link #open} joins.
   *
   * @param config with both addresses set
   * @param name unique in the fleet
   * @param activity returns what this process does; called on each tick
   * @param shareParticipant how this process takes part in the division of budgets; null if it does
   *     not
   */
  public Fleet(
      Net net,
      MembershipConfig config,
      String name,
      String zone,
      RandomGenerator random,
      Supplier<Activity> activity,
      ShareParticipant shareParticipant) {
    this.net = net;
    this.config = config;
    this.name = name;
    this.zone = zone;
    this.random = random;
    this.activity = activity;
    this.shareParticipant = shareParticipant;
    codec = new Codec(config.fleet());
  }

  private long now() {
    return net.clock().nanos() / NANOS_PER_MICRO;
  }

  /** Joins the fleet as soon as the address is free; a second call has no effect. */
  public void open() {
    if (!openRequested) {
      openRequested = true;
      tryToOpen();
    }
  }

  private void tryToOpen() {
    if (!openRequested) {
      return;
    }
    try {
      socket = net.datagrams(config.listen(), this::receive);
    } catch (IOException e) {
      if (!openFailureLogged) {
        fleetLog.openFailed(config.listen(), String.valueOf(e.getMessage()));
        openFailureLogged = true;
      }
      timer = net.loop().schedule(OPEN_RETRY_MICROS, this::tryToOpen);
      return;
    }
    openFailureLogged = false;
    long startTime = Math.max(0, net.clock().unixMillis()) << START_TIME_RANDOM_BITS;
    Update self =
        new Update(
            name,
            config.advertised(),
            zone,
            new Incarnation(startTime + random.nextInt(1 << START_TIME_RANDOM_BITS), 0),
            State.ALIVE,
            activity.get(),
            0,
            "");
    membership = new Membership(config.settings(), self, config.seeds(), random, now());
    fleetLog.opened(config.advertised(), config.fleet());
    if (shareParticipant != null) {
      budgetSharing =
          new BudgetSharing(
              shareParticipant,
              config.baseShare(),
              config.fleet(),
              random.nextLong(),
              now(),
              this::send);
    }
    tick();
  }

  /**
   * Closes the socket.
   *
   * @param announceLeave whether to announce that this member leaves, as when the process stops
   *     without a successor
   */
  public void close(boolean announceLeave) {
    openRequested = false;
    if (timer != null) {
      timer.cancel();
    }
    if (membership != null) {
      if (budgetSharing != null) {
        budgetSharing.close(now(), membership.view());
        budgetSharing = null;
      }
      if (announceLeave) {
        membership.leave(now(), outbox);
      }
      fleetLog.closed(announceLeave);
      socket.close();
      membership = null;
      socket = null;
    }
  }

  private void tick() {
    long now = now();
    membership.setActivity(now, activity.get(), outbox);
    membership.tick(now, outbox);
    if (budgetSharing != null) {
      budgetSharing.tick(now, activity.get() == Activity.ACTIVE, membership.view());
    }
    timer = net.loop().schedule(membership.nextTickAtMicros() - now(), this::tick);
  }

  private void receive(InetSocketAddress from, byte[] bytes) {
    if (membership == null) {
      return;
    }
    datagramCounters.received++;
    datagramCounters.receivedBytes += bytes.length;
    try {
      if (budgetSharing != null && LeaseCodec.hasMagic(bytes)) {
        budgetSharing.receive(now(), from, bytes, membership.view());
      } else {
        membership.receive(now(), from, codec.decode(bytes), outbox);
      }
    } catch (InvalidDatagramException e) {
      datagramCounters.dropped.merge(e.reason(), 1L, Long::sum);
      fleetLog.datagramDropped(now(), e.reason(), e.getMessage(), from);
    }
  }

  private void send(InetSocketAddress to, byte[] bytes) {
    datagramCounters.sent++;
    datagramCounters.sentBytes += bytes.length;
    socket.send(to, bytes);
  }

  private final class FleetOutbox implements Outbox {
    @Override
    public void send(InetSocketAddress to, Message message) {
      Fleet.this.send(to, codec.encode(message));
    }

    @Override
    public void viewChanged(ViewChange change) {
      fleetLog.memberChanged(now(), change);
      if (change.before() == null && change.after() == null) {
        View view = membership.view();
        if (view.settled()) {
          fleetLog.settled(view.version(), view.liveMembers().size());
        }
      }
      for (Consumer<ViewChange> listener : listeners) {
        listener.accept(change);
      }
    }

    @Override
    public void nameTaken(InetSocketAddress by, boolean yields) {
      fleetLog.nameTaken(name, by, yields);
    }
  }

  /** Returns whether a drain on an operator's command needs the fleet's permit. */
  public boolean requiresDrainPermit() {
    return budgetSharing != null;
  }

  /**
   * Requests the permit to drain on an operator's command.
   *
   * @param callback receives null if the permit is granted, otherwise the reason in one line,
   *     within a second
   */
  public void requestDrainPermit(Consumer<String> callback) {
    budgetSharing.requestDrainPermit(now(), membership.view(), callback);
  }

  /** Adds a listener that is called for each change of the view, in order. */
  public void addListener(Consumer<ViewChange> listener) {
    listeners.add(listener);
  }

  /** Replaces the addresses of possible members. */
  public void setSeeds(List<InetSocketAddress> seeds) {
    if (membership != null) {
      membership.setSeeds(seeds);
    }
  }

  /** Returns the view and the counters as JSON for operators, in ASCII. */
  public String statusJson() {
    return StatusJson.render(now(), name, membership, budgetSharing, datagramCounters);
  }

  /** Returns the current view; null while this process is not a member. */
  public View view() {
    return membership == null ? null : membership.view();
  }

  /** Returns the protocol state; null while this process is not a member. */
  public Membership membership() {
    return membership;
  }

  public DatagramCounters datagramCounters() {
    return datagramCounters;
  }
}
