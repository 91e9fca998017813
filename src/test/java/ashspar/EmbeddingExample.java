package ashspar;

import ashspar.Balancer.DeduplicationScope;
import ashspar.Balancer.ListKind;
import ashspar.Balancer.Metric;
import ashspar.Balancer.Repeatability;
import ashspar.Balancer.Request;
import ashspar.Balancer.RequestClass;
import ashspar.Balancer.ServerEntry;
import ashspar.Balancer.Settings;
import ashspar.Balancer.SizeMeaning;
import ashspar.Balancer.State;
import java.util.ArrayList;
import java.util.List;

/** A node in miniature, as README.md shows it. */
final class EmbeddingExample {
  // example begins
  /** What this node does when the balancer says so; a real one would use its sockets here. */
  static final class MyActions implements Balancer.Actions {
    final List<String> done = new ArrayList<>();

    @Override
    public void send(long id, String server, long abandonAt) {
      done.add("send " + id + " to " + server);
    }

    @Override
    public void refuse(long id, long retryAfter) {
      done.add("refuse " + id);
    }

    @Override
    public void fail(long id) {
      done.add("fail " + id);
    }

    @Override
    public void cancel(long id, int attempt) {}

    @Override
    public void move(long id) {
      done.add("move " + id);
    }

    @Override
    public void startTimer(long delay, long token) {} // call balancer.timer(now, token) after delay

    @Override
    public void probe(String server) {} // answer with balancer.probed(...)

    @Override
    public void watchDiscovery(boolean on) {}

    @Override
    public void fetchServers() {}

    @Override
    public void sendToPeer(int peer, byte[] message) {}

    @Override
    public void log(String text) {
      done.add(text);
    }
  }

  static MyActions run() {
    Settings settings =
        new Settings(
            0, // this node's rank
            1, // of so many nodes
            "east",
            List.of("east", "west"),
            List.of(
                new RequestClass(
                    "view",
                    300_000,
                    1_800_000,
                    1,
                    Repeatability.FREE,
                    DeduplicationScope.ALL,
                    0,
                    100_000)),
            List.of(), // no tenants
            new Balancer.Permissions(true, false, true, false, false, 4, 0),
            new Balancer.SafetyRules(8_000, 10_000_000, 500_000, 0.3, 8_000_000, 3, 1_500_000),
            new Balancer.Prices(0.01, 0.02, 0.004, 0, 0.03),
            List.of(Metric.LOAD, Metric.BACKLOG_S),
            SizeMeaning.NONE,
            false, // discovery pushes its changes
            true,
            1,
            1_000,
            true); // the network tells of delay
    MyActions actions = new MyActions();
    long now = 1_000_000;
    Balancer balancer = new Policy(now, settings, 42, actions);
    balancer.updateServers(
        now,
        ListKind.CACHED,
        List.of(
            new ServerEntry("10.0.0.1:443", "east", "std", 0, State.READY, 1, 0),
            new ServerEntry("10.0.0.2:443", "west", "std", 0, State.READY, 1, 0)));
    balancer.requestReceived(
        now + 500, new Request(7, "reader-7", "view", null, 1_800_000, 9_000, false, false, false));
    return actions; // done holds "send 7 to 10.0.0.…:443"
  }
  // example ends
}
