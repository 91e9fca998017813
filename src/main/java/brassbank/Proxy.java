package brassbank;

import ashspar.Balancer;
import brassbank.config.Config;
import brassbank.decide.Decider;
import brassbank.decide.FlowClock;
import brassbank.decide.Happening;
import brassbank.discovery.Discovery;
import brassbank.front.Front;
import brassbank.net.Net;
import brassbank.target.Dispatcher;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** The parts of one proxy, wired together. */
final class Proxy {
  private static final long MILLI = 1_000;

  /** PROTOCOL, Figures: SIGKILL comes after the longest deadline, 3 s at most, and this. */
  private static final long LONGEST_DEADLINE = 3_000 * MILLI;

  private static final long STOP_TIME = 700 * MILLI;

  /** New connections may keep coming for 0.4 s after SIGTERM, so that an idle proxy waits. */
  private static final long STILL_COMING = 600 * MILLI;

  private static final long LOOK_AGAIN = 20 * MILLI;

  private final Config config;
  private final FlowClock clock = new FlowClock();
  private final Net net;
  private final Decider decider;
  private final Dispatcher dispatcher;

  Proxy(Config config) {
    this.config = config;
    net = new Net(config.sockets());
    decider = new Decider(config.settings(), config.seed(), config.known(), clock);
    dispatcher =
        new Dispatcher(
            decider,
            clock,
            net,
            config.connectTimeoutMicros(),
            config.idleTimeoutMicros(),
            config.reportFields());
  }

  void start() throws IOException {
    net.start();
    Front front = new Front(net, dispatcher);
    net.listen(config.listen(), front::accept);
    Discovery discovery =
        new Discovery(net, config.discovery(), config.known().index(), dispatcher);
    net.execute(() -> dispatcher.start(discovery));
  }

  /** Sends the standing clients away and answers the rest; returns once none is left. */
  void drain() throws InterruptedException {
    long longest = LONGEST_DEADLINE;
    long deadline =
        config.settings().classes().stream()
            .mapToLong(Balancer.RequestClass::deadline)
            .max()
            .orElse(longest);
    long left = Math.min(longest, deadline) + STOP_TIME;
    long start = clock.now();
    CountDownLatch empty = new CountDownLatch(1);
    net.execute(
        () -> {
          dispatcher.report(new Happening.Stopping(start + left));
          awaitEmpty(start, empty);
        });
    empty.await(left, TimeUnit.MICROSECONDS);
  }

  private void awaitEmpty(long start, CountDownLatch empty) {
    if (decider.open() == 0 && !net.closing() && clock.now() - start >= STILL_COMING) {
      empty.countDown();
    } else {
      net.loop().after(LOOK_AGAIN, () -> awaitEmpty(start, empty));
    }
  }
}
