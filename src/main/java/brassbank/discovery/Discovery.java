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
 * Keeps the target group up to date by a watch for changes, which is renewed whenever it ends or
 * falls silent, and by fetches of the whole list. While neither works, the module continues with
 * its current list. Runs on the event loop.
 */
public final class Discovery implements Dispatcher.TargetSource {
  private static final Log LOG = Log.of("discovery");

  /** Far more than a target list needs. */
  private static final int MAX_LIST_CHARS = 1 << 20;

  private final Net net;
  private final Dispatcher dispatcher;
  private final RandomGenerator random;
  private final RetriedCall watchCalls = new RetriedCall(this::watchCall, true);
  private final RetriedCall listCalls = new RetriedCall(this::listCall, false);
  private InetSocketAddress address;

  /** The version of the last list or change that was applied. */
  private long index;

  /** Whether the watch is to be kept up. */
  private boolean isWatchWanted;

  /** Whether the whole list must be fetched, since changes may have been missed. */
  private boolean isListWanted;

  /**
   * Creates a client of discovery, which makes no call yet.
   *
   * @param index the version of the target list that the module starts with
   * @param random spreads the calls of proxies whose calls fail at the same moment
   */
  public Discovery(
      Net net,
      InetSocketAddress address,
      long index,
      Dispatcher dispatcher,
      RandomGenerator random) {
    this.net = net;
    this.address = address;
    this.index = index;
    this.dispatcher = dispatcher;
    this.random = random;
  }

  @Override
  public void watch(boolean enabled) {
    isWatchWanted = enabled;
    if (enabled) {
      watchCalls.start();
    } else {
      watchCalls.stop();
    }
  }

  @Override
  public void fetch() {
    listCalls.start();
  }

  /**
   * Directs all further calls to another address. Its list versions need not match those of the old
   * address, so that the whole list is fetched; the module keeps its list until then.
   */
  public void changeAddress(InetSocketAddress to) {
    if (to.equals(address)) {
      return;
    }
    LOG.info("discovery-moved", value("from", address), value("to", to));
    address = to;
    watchCalls.stop();
    listCalls.stop();
    requireFullList();
    watch(isWatchWanted);
  }

  /** Fetches the whole list and accepts any version of it, since changes may have been missed. */
  private void requireFullList() {
    index = 0;
    isListWanted = true;
    fetch();
  }

  private HttpCall watchCall() {
    return new HttpCall(
        net,
        "/api/targets?follow=1&since=" + index,
        new HttpCall.Listener() {
          private final JsonObjectAssembler objects = new JsonObjectAssembler();

          @Override
          public void begun(HttpCall call) {
            watchCalls.begun(call);
          }

          @Override
          public void line(HttpCall call, String line) {
            String object = objects.add(line);
            if (object != null) {
              handleObject(call, object);
            }
          }

          @Override
          public void ended(HttpCall call, String reason) {
            LOG.warn("watch-ended", value("reason", reason));
            watchCalls.ended(call, reason);
          }
        });
  }

  private void handleObject(HttpCall call, String object) {
    TargetList list = parse(object);
    if (list == null || (!list.isSnapshot() && list.index() < index)) {
      requireFullList();
      call.fail(list == null ? "malformed target list" : "older than the current target list");
      return;
    }
    isListWanted &= !list.isSnapshot();
    applyList(list);
    watchCalls.resetRetryDelay();
  }

  private void applyList(TargetList list) {
    index = list.index();
    dispatcher.report(new NetworkEvent.TargetsListed(list));
  }

  private HttpCall listCall() {
    StringBuilder body = new StringBuilder();
    return new HttpCall(
        net,
        "/api/targets",
        new HttpCall.Listener() {
          @Override
          public void begun(HttpCall call) {
            listCalls.begun(call);
          }

          @Override
          public void line(HttpCall call, String line) {
            if (body.length() + line.length() <= MAX_LIST_CHARS) {
              body.append(line);
            }
          }

          @Override
          public void ended(HttpCall call, String reason) {
            TargetList list = reason.isEmpty() ? parse(body.toString()) : null;
            if (list != null && list.index() >= index) {
              isListWanted = false;
              listCalls.stop();
              applyList(list);
              return;
            }
            LOG.warn("list-missing", value("reason", reason));
            dispatcher.report(new NetworkEvent.FetchFailed());
            if (isListWanted) {
              listCalls.ended(call, reason);
            } else {
              listCalls.stop();
            }
          }
        });
  }

  private long now() {
    return TimeUnit.NANOSECONDS.toMicros(net.clock().nanos());
  }

  private static TargetList parse(String line) {
    try {
      return TargetList.parse(JsonParser.parseString(line).getAsJsonObject());
    } catch (JsonParseException | IllegalStateException | IllegalArgumentException e) {
      LOG.warn("list-bad", value("reason", e.getMessage()));
      return null;
    }
  }

  /**
   * A kind of call that is retried after failures, with exponential backoff and jitter, since all
   * proxies share one discovery service. If a hedged call gets no answer for a while, a second one
   * (the hedge) is made beside it, and the first to be answered continues. No hedge is made while
   * discovery rejects calls, as it does when too many are waiting. Owns the calls and the timers.
   */
  private final class RetriedCall {
    private final Supplier<HttpCall> callFactory;

    /** Whether a hanging call gets a hedge, because nothing else would bring updates in time. */
    private final boolean isHedged;

    private HttpCall call;
    private HttpCall hedge;
    private EventLoop.Timer retryTimer;
    private EventLoop.Timer hedgeTimer;

    /** Whether discovery answered the last failed call with an error status. */
    private boolean isRejected;

    private long meanRetryDelayMicros = DiscoveryTimeouts.MIN_RETRY_DELAY_MICROS;
    private long lastCallAtMicros = Long.MIN_VALUE / 2;

    RetriedCall(Supplier<HttpCall> callFactory, boolean isHedged) {
      this.callFactory = callFactory;
      this.isHedged = isHedged;
    }

    /** Starts a call, unless one is in progress or scheduled. */
    void start() {
      if (call == null && retryTimer == null) {
        long delayMicros = lastCallAtMicros + DiscoveryTimeouts.MIN_CALL_INTERVAL_MICROS - now();
        if (delayMicros <= 0) {
          startCall();
        } else {
          retryTimer =
              net.loop()
                  .schedule(
                      delayMicros + random.nextLong(DiscoveryTimeouts.MIN_RETRY_DELAY_MICROS),
                      this::startCall);
        }
      }
    }

    private void startCall() {
      retryTimer = null;
      call = newCall();
      if (isHedged && !isRejected) {
        hedgeTimer = net.loop().schedule(DiscoveryTimeouts.HEDGE_MICROS, () -> hedge = newCall());
      }
    }

    private HttpCall newCall() {
      lastCallAtMicros = now();
      HttpCall newCall = callFactory.get();
      newCall.start(address);
      return newCall;
    }

    /**
     * Continues with the call whose answer has begun, and cancels the other one if there is one.
     */
    void begun(HttpCall answered) {
      cancelHedgeTimer();
      HttpCall other = answered == call ? hedge : call;
      if (other != null) {
        other.cancel();
      }
      call = answered;
      hedge = null;
    }

    private void cancelHedgeTimer() {
      if (hedgeTimer != null) {
        hedgeTimer.cancel();
        hedgeTimer = null;
      }
    }

    /** Waits for the other call if there is one, and otherwise schedules a retry. */
    void ended(HttpCall failed, String reason) {
      isRejected = reason.startsWith("status");
      if (failed == call) {
        call = hedge;
      }
      hedge = null;
      if (call != null) {
        return;
      }
      cancelHedgeTimer();
      long delayMicros = meanRetryDelayMicros / 2 + random.nextLong(meanRetryDelayMicros);
      meanRetryDelayMicros =
          Math.min(DiscoveryTimeouts.MAX_RETRY_DELAY_MICROS, 2 * meanRetryDelayMicros);
      retryTimer = net.loop().schedule(delayMicros, this::startCall);
    }

    /** Resets the backoff after a success. */
    void resetRetryDelay() {
      meanRetryDelayMicros = DiscoveryTimeouts.MIN_RETRY_DELAY_MICROS;
      isRejected = false;
    }

    /** Cancels all calls and timers. */
    void stop() {
      cancelHedgeTimer();
      if (hedge != null) {
        hedge.cancel();
        hedge = null;
      }
      if (call != null) {
        call.cancel();
        call = null;
      }
      if (retryTimer != null) {
        retryTimer.cancel();
        retryTimer = null;
      }
      resetRetryDelay();
    }
  }
}
