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
 * This program in its fleet. Everything is for the loop's thread. Nobody waits for it: a fleet that
 * cannot be met is a fleet of one.
 */
public final class Fleet {
  private static final long NANOS_PER_MICRO = 1_000;

  /** An address that is in use, by a predecessor that has not gone yet, is asked for again. */
  private static final long OPEN_AGAIN = 100_000;

  /** Births of one millisecond differ by chance. */
  private static final int BIRTH_SHIFT = 12;

  private final Net net;
  private final MembershipConfig joining;
  private final String name;
  private final String zone;
  private final RandomGenerator chance;
  private final Supplier<Activity> activity;
  private final Codec codec;
  private final FleetLog journal = new FleetLog();
  private final DatagramCounters traffic = new DatagramCounters();
  private final List<Consumer<ViewChange>> listeners = new ArrayList<>();
  private final Outbox outbox = new Out();

  /** Null where budgets go by the file's numbers. */
  private final ShareParticipant sharer;

  private BudgetSharing sharing;
  private Network.Datagrams socket;
  private Membership membership;
  private EventLoop.Timer timer;
  private boolean wanted;
  private boolean told;

  /**
   * @param joining with both addresses
   * @param name unique in the fleet
   * @param activity what this program does, asked on each beat
   * @param sharer how it shares the fleet's budgets, or null where the file's numbers hold
   */
  public Fleet(
      Net net,
      MembershipConfig joining,
      String name,
      String zone,
      RandomGenerator chance,
      Supplier<Activity> activity,
      ShareParticipant sharer) {
    this.net = net;
    this.joining = joining;
    this.name = name;
    this.zone = zone;
    this.chance = chance;
    this.activity = activity;
    this.sharer = sharer;
    codec = new Codec(joining.fleet());
  }

  private long now() {
    return net.clock().nanos() / NANOS_PER_MICRO;
  }

  /** Joins, as soon as the address is free; the second call does nothing. */
  public void open() {
    if (!wanted) {
      wanted = true;
      tryToOpen();
    }
  }

  private void tryToOpen() {
    if (!wanted) {
      return;
    }
    try {
      socket = net.datagrams(joining.listen(), this::heard);
    } catch (IOException e) {
      if (!told) {
        journal.cannotOpen(joining.listen(), String.valueOf(e.getMessage()));
        told = true;
      }
      timer = net.loop().schedule(OPEN_AGAIN, this::tryToOpen);
      return;
    }
    told = false;
    long birth = Math.max(0, net.clock().unixMillis()) << BIRTH_SHIFT;
    Update self =
        new Update(
            name,
            joining.advertised(),
            zone,
            new Incarnation(birth + chance.nextInt(1 << BIRTH_SHIFT), 0),
            State.ALIVE,
            activity.get(),
            0,
            "");
    membership = new Membership(joining.settings(), self, joining.seeds(), chance, now());
    journal.opened(joining.advertised(), joining.fleet());
    if (sharer != null) {
      sharing =
          new BudgetSharing(
              sharer, joining.baseShare(), joining.fleet(), chance.nextLong(), now(), this::send);
    }
    beat();
  }

  /**
   * Gives the address back: with a goodbye where the program ends, without where another follows.
   */
  public void close(boolean goodbye) {
    wanted = false;
    if (timer != null) {
      timer.cancel();
    }
    if (membership != null) {
      if (sharing != null) {
        sharing.close(now(), membership.view());
        sharing = null;
      }
      if (goodbye) {
        membership.leave(now(), outbox);
      }
      journal.closed(goodbye);
      socket.close();
      membership = null;
      socket = null;
    }
  }

  private void beat() {
    long now = now();
    membership.setActivity(now, activity.get(), outbox);
    membership.tick(now, outbox);
    if (sharing != null) {
      sharing.beat(now, activity.get() == Activity.ACTIVE, membership.view());
    }
    timer = net.loop().schedule(membership.nextTickAtMicros() - now(), this::beat);
  }

  private void heard(InetSocketAddress from, byte[] bytes) {
    if (membership == null) {
      return;
    }
    traffic.received++;
    traffic.receivedBytes += bytes.length;
    try {
      if (sharing != null && LeaseCodec.hasMagic(bytes)) {
        sharing.heard(now(), from, bytes, membership.view());
      } else {
        membership.receive(now(), from, codec.decode(bytes), outbox);
      }
    } catch (InvalidDatagramException e) {
      traffic.dropped.merge(e.reason(), 1L, Long::sum);
      journal.refused(now(), e.reason(), e.getMessage(), from);
    }
  }

  private void send(InetSocketAddress to, byte[] bytes) {
    traffic.sent++;
    traffic.sentBytes += bytes.length;
    socket.send(to, bytes);
  }

  private final class Out implements Outbox {
    @Override
    public void send(InetSocketAddress to, Message message) {
      Fleet.this.send(to, codec.encode(message));
    }

    @Override
    public void viewChanged(ViewChange change) {
      journal.changed(now(), change);
      if (change.before() == null && change.after() == null) {
        View view = membership.view();
        if (view.settled()) {
          journal.settled(view.version(), view.liveMembers().size());
        }
      }
      for (Consumer<ViewChange> listener : listeners) {
        listener.accept(change);
      }
    }

    @Override
    public void nameTaken(InetSocketAddress by, boolean yields) {
      journal.nameTaken(name, by, yields);
    }
  }

  /** Whether the fleet is asked before this program leaves by its operators' call. */
  public boolean requiresDrainPermit() {
    return sharing != null;
  }

  /**
   * Asks the fleet whether this program may leave by its operators' call.
   *
   * @param then hears null where it may, and else in one line why not, within a second
   */
  public void requestDrainPermit(Consumer<String> then) {
    sharing.askToLeave(now(), membership.view(), then);
  }

  /** Has each change told, in order. */
  public void addListener(Consumer<ViewChange> listener) {
    listeners.add(listener);
  }

  /** Other addresses to look for others at, from here on. */
  public void setSeeds(List<InetSocketAddress> seeds) {
    if (membership != null) {
      membership.setSeeds(seeds);
    }
  }

  /** The view and its figures, for operators; in ASCII. */
  public String statusJson() {
    return StatusJson.render(now(), name, membership, sharing, traffic);
  }

  /** Null while this program is no member. */
  public View view() {
    return membership == null ? null : membership.view();
  }

  /** Null while this program is no member. */
  public Membership membership() {
    return membership;
  }

  public DatagramCounters traffic() {
    return traffic;
  }
}
