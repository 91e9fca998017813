import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A planned restart of a proxy while half of the stream hosts hang: does each request that the new
 * process has taken get its final answer?
 */
final class RestartAmongHungHosts extends Rig {
  private static final int HOSTS = 480;
  private static final int SOCKETS = 256;
  private static final int HANGING = HOSTS / 2;
  private static final long DEADLINE_MILLIS = 3_000;

  /** An answer counts until half a second after the deadline, and 50 ms more on sockets. */
  private static final long LATEST_MILLIS = DEADLINE_MILLIS + 500 + 50;

  public static void main(String[] args) {
    play(RestartAmongHungHosts::run);
  }

  static List<String> run() throws Exception {
    ManyHosts hosts = new ManyHosts(HOSTS);
    Discovery discovery = new Discovery();
    for (int i = 0; i < HOSTS; i++) {
      discovery.set(String.format("s-%08x", RANDOM.nextInt()), hosts.addresses.get(i), "SERVING", 0);
    }
    int port = freePort();
    Path file = temp.resolve("config.json");
    Files.writeString(
        file,
        config("127.0.0.1:" + port, discovery.address, 192, discovery.snapshot(), "ask", CLASSES)
            .replace("\"sockets\":1024", "\"sockets\":" + SOCKETS));
    ProxyProcess first = new ProxyProcess(port, file, Map.of("LB_NAME", "n0"));
    first.awaitReady();
    sleep(6_000);
    if (TROUBLE) {
      note(HANGING + " of " + HOSTS + " stream hosts hang from here on");
      hosts.hanging.addAll(hosts.addresses.subList(0, HANGING));
    }
    first.signal("TERM");
    if (!first.process.waitFor(3_700, java.util.concurrent.TimeUnit.MILLISECONDS)) {
      first.process.destroyForcibly().waitFor();
    }
    note("the first process has ended");
    ProxyProcess proxy = new ProxyProcess(port, file, Map.of("LB_NAME", "n0"));
    thread("descriptors", () -> watchDescriptors(proxy));
    proxy.awaitReady();
    List<Client> clients = new ArrayList<>();
    long until = nowMillis() + 8_000;
    while (nowMillis() < until) {
      clients.add(new Client(proxy, "presentation", DEADLINE_MILLIS));
      sleep(50);
      // Clients leave after a second, so that they never hold a third of the descriptors.
      for (Client client : clients) {
        if (client.end == null && client.answerMillis >= 0 && nowMillis() > client.answerMillis + 1_000) {
          client.leave();
        }
      }
    }
    sleep(LATEST_MILLIS);
    note("the hang ends");
    hosts.resume();
    List<String> broken = new ArrayList<>();
    for (Client client : clients) {
      if (client.answer == null) {
        broken.add("request " + client.id + " had no answer " + (nowMillis() - client.sentMillis) + " ms after it was written");
      } else if (client.answerMillis - client.sentMillis > LATEST_MILLIS) {
        broken.add("request " + client.id + " was answered after " + (client.answerMillis - client.sentMillis) + " ms");
      }
    }
    say(
        clients.size() + " requests: " + clients.stream().filter(Client::isUp).count() + " served, "
            + clients.stream().filter(c -> c.answer != null && !c.isUp()).count() + " refused or failed, "
            + broken.size() + " lost");
    return broken;
  }

  private static void watchDescriptors(ProxyProcess proxy) {
    try {
      while (proxy.process.isAlive()) {
        String[] open = new File("/proc/" + proxy.process.pid() + "/fd").list();
        if (open != null) {
          note("the proxy holds " + open.length + " descriptors of " + SOCKETS);
        }
        sleep(250);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
