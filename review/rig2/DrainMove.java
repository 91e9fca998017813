import java.util.ArrayList;
import java.util.List;

/**
 * A stream host that sends no MOVE itself drains, completes what it has for 10 s, and leaves. Are
 * its clients told to move before?
 */
final class DrainMove extends Rig {
  public static void main(String[] args) {
    play(DrainMove::run);
  }

  static List<String> run() throws Exception {
    Host leaving = new Host("s-1");
    Host staying = new Host("s-2");
    Discovery discovery = new Discovery();
    discovery.set(leaving.name, leaving.address, "SERVING");
    discovery.set(staying.name, staying.address, "SERVING");
    ProxyProcess proxy = startProxy(discovery, 192, "ask");
    sleep(3_000);
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      clients.add(new Client(proxy, "preview", 4_800));
      sleep(100);
    }
    for (Client client : clients) {
      client.await(5_000);
    }
    List<Client> there =
        clients.stream().filter(c -> c.isUp() && c.answer.startsWith("UP r-s-1-")).toList();
    say(there.size() + " clients are on the host that will leave");
    if (there.isEmpty()) {
      throw new CannotRun("no client is on the host that will leave");
    }
    if (TROUBLE) {
      leaving.draining = true;
      discovery.set(leaving.name, leaving.address, "DRAINING");
    }
    sleep(10_000);
    if (TROUBLE) {
      discovery.set(leaving.name, leaving.address, "DELETED");
      leaving.stop();
    }
    sleep(1_500);
    List<String> broken = new ArrayList<>();
    for (Client client : there) {
      if (client.end != null && !client.moved) {
        broken.add("client " + client.id + " was cut off (" + client.end + ") and never got MOVE");
      }
    }
    return broken;
  }
}
