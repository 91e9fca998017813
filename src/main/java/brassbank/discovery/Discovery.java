package brassbank.discovery;

import static brassbank.log.Field.value;

import brassbank.decide.Happening;
import brassbank.decide.TargetList;
import brassbank.forward.Dispatcher;
import brassbank.log.Log;
import brassbank.net.Loop;
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
public final class Discovery implements Dispatcher.Group {
  private static final Log LOG = Log.of("discovery");

  /** An empty line comes every 2 s: a watch that is silent for longer than this is lost. */
  private static final long SILENCE_MICROS = 3_000_000;

  /** Discovery itself fails a call that has waited for 3 s; a half-open one never answers. */
  private static final long ANSWER_MICROS = 3_500_000;

  private static final long CONNECT_MICROS = 1_000_000;
  private static final long FIRST_PAUSE_MICROS = 100_000;

  /** Short against the 6 s after which a change counts as told, whether it arrived or not. */
  private static final long LONGEST_PAUSE_MICROS = 1_000_000;

  /**
   * Calls of one kind begin no sooner after one another, but for the pauses after failures: where
   * operators say twice within a moment that discovery has moved, and an upgrade is under way, the
   * proxy called it nine times within a second.
   */
  private static final long APART_MICROS = 600_000;

  /** Far more than a list of targets needs. */
  private static final int LONGEST_LIST = 1 << 20;

  private final Net net;
  private final Dispatcher dispatcher;
  private final RandomGenerator chance;
  private final Asking watching = new Asking(this::watch);
  private final Asking listing = new Asking(this::list);
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
  public void move(InetSocketAddress to) {
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
          @Override
          public void line(String line) {
            if (!line.isBlank()) {
              take(line);
            }
          }

          @Override
          public void ended(String why) {
            LOG.warn("watch-ended", value("reason", why));
            watching.again();
          }
        });
  }

  private void take(String line) {
    TargetList list = read(line);
    if (list == null || (!list.whole() && list.index() < index)) {
      lost();
      watching.call.fail(list == null ? "a line that is no list" : "older than the list");
      return;
    }
    gap &= !list.whole();
    heard(list);
    watching.worked();
  }

  private void heard(TargetList list) {
    index = list.index();
    dispatcher.report(new Happening.Listed(list));
  }

  private Call list() {
    StringBuilder body = new StringBuilder();
    return new Call(
        net,
        "/api/targets",
        new Call.Listener() {
          @Override
          public void line(String line) {
            if (body.length() + line.length() <= LONGEST_LIST) {
              body.append(line);
            }
          }

          @Override
          public void ended(String why) {
            TargetList list = why.isEmpty() ? read(body.toString()) : null;
            if (list != null && list.index() >= index) {
              gap = false;
              listing.stop();
              heard(list);
              return;
            }
            LOG.warn("list-missing", value("reason", why));
            dispatcher.report(new Happening.FetchFailed());
            if (gap) {
              listing.again();
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
   * One kind of call, never two at once, made again after its failures with growing pauses and some
   * chance, since all proxies share one discovery. It owns the call and the pause.
   */
  private final class Asking {
    private final Supplier<Call> calls;
    private Call call;
    private Loop.Timer pause;
    private long wait = FIRST_PAUSE_MICROS;
    private long opened = Long.MIN_VALUE / 2;

    Asking(Supplier<Call> calls) {
      this.calls = calls;
    }

    void start() {
      if (call == null && pause == null) {
        long soonest = opened + APART_MICROS - now();
        if (soonest <= 0) {
          open();
        } else {
          pause = net.loop().after(soonest + chance.nextLong(FIRST_PAUSE_MICROS), this::open);
        }
      }
    }

    private void open() {
      pause = null;
      opened = now();
      call = calls.get();
      call.start(address, CONNECT_MICROS, ANSWER_MICROS, SILENCE_MICROS);
    }

    void again() {
      call = null;
      long micros = wait / 2 + chance.nextLong(wait);
      wait = Math.min(LONGEST_PAUSE_MICROS, 2 * wait);
      pause = net.loop().after(micros, this::open);
    }

    void worked() {
      wait = FIRST_PAUSE_MICROS;
    }

    /** The one place where a call and a pause are given up. */
    void stop() {
      if (call != null) {
        call.cancel();
        call = null;
      }
      if (pause != null) {
        pause.cancel();
        pause = null;
      }
      wait = FIRST_PAUSE_MICROS;
    }
  }
}
