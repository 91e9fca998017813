package brassbank.discovery;

import static brassbank.log.Field.value;

import brassbank.decide.NetworkEvent;
import brassbank.decide.TargetList;
import brassbank.forward.Dispatcher;
import brassbank.log.Log;
import brassbank.net.EventLoop;
import brassbank.net.Net;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Keeps the target group up to date: a watch that is renewed whenever it ends or falls silent, and
 * fetches of the whole list. While neither works, the list that the module has still holds.
 */
public final class Discovery implements Dispatcher.TargetSource {
  private static final Log LOG = Log.of("discovery");

  /** Far more than a list of targets needs. */
  private static final int LONGEST_LIST = 1 << 20;

  private final Net net;
  private final Dispatcher dispatcher;
  private final RandomGenerator chance;
  private final Asking watching = new Asking(this::watch, true);
  private final Asking listing = new Asking(this::list, false);
  private InetSocketAddress address;
  private long index;

  /** The watch is wanted. */
  private boolean watched;

  /** The whole list is wanted until it has come: what has changed is not known otherwise. */
  private boolean gap;

  /** {@code chance} spreads the calls of proxies that fail at the same moment. */
  public Discovery(
      Net net,
      InetSocketAddress address,
      long index,
      Dispatcher dispatcher,
      RandomGenerator chance) {
    this.net = net;
    this.address = address;
    this.index = index;
    this.dispatcher = dispatcher;
    this.chance = chance;
  }

  @Override
  public void watch(boolean on) {
    watched = on;
    if (on) {
      watching.start();
    } else {
      watching.stop();
    }
  }

  @Override
  public void fetch() {
    listing.start();
  }

  /**
   * Asks at another address from now on. Its versions need not be those of the old one, so that the
   * whole list is taken; what the module has holds until that has come.
   */
  public void changeAddress(InetSocketAddress to) {
    if (to.equals(address)) {
      return;
    }
    LOG.info("discovery-moved", value("from", address), value("to", to));
    address = to;
    watching.stop();
    listing.stop();
    lost();
    watch(watched);
  }

  /** What has changed is not known any longer: the whole list is taken, whatever its index. */
  private void lost() {
    index = 0;
    gap = true;
    fetch();
  }

  private Call watch() {
    return new Call(
        net,
        "/api/targets?follow=1&since=" + index,
        new Call.Listener() {
          private final ObjectLines objects = new ObjectLines();

          @Override
          public void begun(Call call) {
            watching.begun(call);
          }

          @Override
          public void line(Call call, String line) {
            String object = objects.line(line);
            if (object != null) {
              take(call, object);
            }
          }

          @Override
          public void ended(Call call, String why) {
            LOG.warn("watch-ended", value("reason", why));
            watching.ended(call, why);
          }
        });
  }

  private void take(Call call, String object) {
    TargetList list = read(object);
    if (list == null || (!list.isSnapshot() && list.index() < index)) {
      lost();
      call.fail(list == null ? "a line that is no list" : "older than the list");
      return;
    }
    gap &= !list.isSnapshot();
    heard(list);
    watching.worked();
  }

  private void heard(TargetList list) {
    index = list.index();
    dispatcher.report(new NetworkEvent.TargetsListed(list));
  }

  private Call list() {
    StringBuilder body = new StringBuilder();
    return new Call(
        net,
        "/api/targets",
        new Call.Listener() {
          @Override
          public void begun(Call call) {
            listing.begun(call);
          }

          @Override
          public void line(Call call, String line) {
            if (body.length() + line.length() <= LONGEST_LIST) {
              body.append(line);
            }
          }

          @Override
          public void ended(Call call, String why) {
            TargetList list = why.isEmpty() ? read(body.toString()) : null;
            if (list != null && list.index() >= index) {
              gap = false;
              listing.stop();
              heard(list);
              return;
            }
            LOG.warn("list-missing", value("reason", why));
            dispatcher.report(new NetworkEvent.FetchFailed());
            if (gap) {
              listing.ended(call, why);
            } else {
              listing.stop();
            }
          }
        });
  }

  private long now() {
    return TimeUnit.NANOSECONDS.toMicros(net.clock().nanos());
  }

  private static TargetList read(String line) {
    try {
      return TargetList.parse(JsonParser.parseString(line).getAsJsonObject());
    } catch (JsonParseException | IllegalStateException | IllegalArgumentException e) {
      LOG.warn("list-bad", value("reason", e.getMessage()));
      return null;
    }
  }

  /**
   * One kind of call, made again after its failures with growing pauses and some chance, since all
   * proxies share one discovery. Where a call says nothing for long, a second one is made beside it
   * and whichever is answered first goes on; not while discovery itself turns calls away, which it
   * does where too many wait. It owns the calls and the pause.
   */
  private final class Asking {
    private final Supplier<Call> calls;

    /** Whether a call that hangs is worth a second one: what else would bring the news in time. */
    private final boolean twice;

    private Call call;
    private Call beside;
    private EventLoop.Timer pause;
    private EventLoop.Timer hanging;
    private boolean turnedAway;
    private long wait = Waits.FIRST_PAUSE;
    private long opened = Long.MIN_VALUE / 2;

    Asking(Supplier<Call> calls, boolean twice) {
      this.calls = calls;
      this.twice = twice;
    }

    void start() {
      if (call == null && pause == null) {
        long soonest = opened + Waits.APART - now();
        if (soonest <= 0) {
          open();
        } else {
          pause = net.loop().schedule(soonest + chance.nextLong(Waits.FIRST_PAUSE), this::open);
        }
      }
    }

    private void open() {
      pause = null;
      call = made();
      if (twice && !turnedAway) {
        hanging = net.loop().schedule(Waits.BESIDE, () -> beside = made());
      }
    }

    private Call made() {
      opened = now();
      Call made = calls.get();
      made.start(address);
      return made;
    }

    /** The answer to one of the calls has begun: it goes on, and any other is given up. */
    void begun(Call by) {
      notHanging();
      Call other = by == call ? beside : call;
      if (other != null) {
        other.cancel();
      }
      call = by;
      beside = null;
    }

    private void notHanging() {
      if (hanging != null) {
        hanging.cancel();
        hanging = null;
      }
    }

    /** A call has failed; where another is out, that one is waited for. */
    void ended(Call by, String why) {
      turnedAway = why.startsWith("status");
      if (by == call) {
        call = beside;
      }
      beside = null;
      if (call != null) {
        return;
      }
      notHanging();
      long micros = wait / 2 + chance.nextLong(wait);
      wait = Math.min(Waits.LONGEST_PAUSE, 2 * wait);
      pause = net.loop().schedule(micros, this::open);
    }

    void worked() {
      wait = Waits.FIRST_PAUSE;
      turnedAway = false;
    }

    /** The one place where calls and a pause are given up. */
    void stop() {
      notHanging();
      if (beside != null) {
        beside.cancel();
        beside = null;
      }
      if (call != null) {
        call.cancel();
        call = null;
      }
      if (pause != null) {
        pause.cancel();
        pause = null;
      }
      worked();
    }
  }
}
