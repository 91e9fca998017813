package brassbank.discovery;

import brassbank.decide.Happening;
import brassbank.decide.TargetList;
import brassbank.log.Log;
import brassbank.net.Loop;
import brassbank.net.Net;
import brassbank.target.Dispatcher;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Keeps the target group up to date: a watch that is renewed whenever it ends or falls silent, and
 * single fetches. While neither works, the list that the module has still holds.
 */
public final class Discovery implements Dispatcher.Group {
  private static final Log LOG = Log.of("discovery");

  /** An empty line comes every 2 s: a watch that is silent for longer than this is lost. */
  private static final long SILENCE_MICROS = 3_000_000;

  /** Discovery itself fails a call that has waited for 3 s; a half-open one never answers. */
  private static final long ANSWER_MICROS = 3_500_000;

  private static final long CONNECT_MICROS = 1_000_000;
  private static final long FIRST_PAUSE_MICROS = 100_000;
  private static final long LONGEST_PAUSE_MICROS = 2_000_000;

  private final Net net;
  private final InetSocketAddress address;
  private final Dispatcher dispatcher;
  private long index;
  private boolean watching;
  private Call watch;
  private Loop.Timer again;
  private long pause = FIRST_PAUSE_MICROS;

  public Discovery(Net net, InetSocketAddress address, long index, Dispatcher dispatcher) {
    this.net = net;
    this.address = address;
    this.index = index;
    this.dispatcher = dispatcher;
  }

  @Override
  public void watch(boolean on) {
    watching = on;
    if (on && watch == null && again == null) {
      open();
    } else if (!on) {
      if (watch != null) {
        watch.cancel();
        watch = null;
      }
      if (again != null) {
        again.cancel();
        again = null;
      }
    }
  }

  private void open() {
    again = null;
    watch =
        new Call(
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
                watch = null;
                renew(why);
              }
            });
    watch.start(address, CONNECT_MICROS, ANSWER_MICROS, SILENCE_MICROS);
  }

  /** Asks again, with growing pauses and some chance, since all proxies share one discovery. */
  private void renew(String why) {
    if (watching) {
      LOG.warn("the watch has ended, asking again: " + why);
      long wait = pause / 2 + ThreadLocalRandom.current().nextLong(pause);
      pause = Math.min(LONGEST_PAUSE_MICROS, 2 * pause);
      again = net.loop().after(wait, this::open);
    }
  }

  private void take(String line) {
    TargetList list = read(line);
    if (list == null) {
      gap("a line that is no list");
      return;
    }
    if (!list.whole() && list.index() < index) {
      gap("changes older than the list");
      return;
    }
    pause = FIRST_PAUSE_MICROS;
    index = list.index();
    dispatcher.report(new Happening.Listed(list));
  }

  /** What has changed is not known any longer: the whole list is taken, whatever its index. */
  private void gap(String why) {
    index = 0;
    watch.fail(why);
    fetch();
  }

  private static TargetList read(String line) {
    try {
      return TargetList.parse(JsonParser.parseString(line).getAsJsonObject());
    } catch (JsonParseException | IllegalStateException | IllegalArgumentException e) {
      LOG.warn("a bad line: " + e.getMessage());
      return null;
    }
  }

  @Override
  public void fetch() {
    StringBuilder body = new StringBuilder();
    new Call(
            net,
            "/api/targets",
            new Call.Listener() {
              @Override
              public void line(String line) {
                body.append(line);
              }

              @Override
              public void ended(String why) {
                TargetList list = why.isEmpty() ? read(body.toString()) : null;
                if (list == null || list.index() < index) {
                  dispatcher.report(new Happening.FetchFailed());
                } else {
                  index = list.index();
                  dispatcher.report(new Happening.Listed(list));
                }
              }
            })
        .start(address, CONNECT_MICROS, ANSWER_MICROS, SILENCE_MICROS);
  }
}
