import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Lists are pushed: a stream host begins to drain. Does it get new flows after the grace? */
final class PushedDrain extends Rig {
  public static void main(String[] args) {
    play(PushedDrain::run);
  }

  static List<String> run() throws Exception {
    Host draining = new Host("s-1");
    Host staying = new Host("s-2");
    Discovery discovery = new Discovery();
    discovery.set(draining.name, draining.address, "SERVING");
    discovery.set(staying.name, staying.address, "SERVING");
    ProxyProcess proxy = startProxy(discovery, 192, "push");
    sleep(5_000);
    long told = Long.MAX_VALUE;
    if (TROUBLE) {
      draining.draining = true;
      discovery.set(draining.name, draining.address, "DRAINING");
      told = nowMillis() + 6_000;
    }
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < 250; i++) {
      Client client = new Client(proxy, "preview", 4_800);
      clients.add(client);
      sleep(100);
      if (clients.size() > 10) {
        clients.remove(0).leave();
      }
    }
    List<String> broken = new ArrayList<>();
    for (Map.Entry<Long, String> open : draining.opens) {
      if (TROUBLE && open.getKey() > told + 400 + 50) {
        broken.add("request " + open.getValue() + " came " + (open.getKey() - told) + " ms after it counted as told");
      }
    }
    say("calls at discovery: " + discovery.lists + " lists, " + discovery.watchCalls + " watches; requests at s-1: "
        + draining.opens.size() + ", at s-2: " + staying.opens.size());
    return broken;
  }
}
