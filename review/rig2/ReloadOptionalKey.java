import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A new configuration moves discovery and adds a class without the key that may be absent. Then a
 * stream host drains. Does it get new flows after the grace?
 */
final class ReloadOptionalKey extends Rig {
  private static final long GRACE_MILLIS = 400 + 50;

  /** A change counts as told so long after discovery had it and could be reached. */
  private static final long TOLD_MILLIS = 6_000;

  /** For a look at the cause: the new class gets the key as well. */
  private static final boolean KEY_GIVEN = "1".equals(System.getenv("KEY_GIVEN"));

  public static void main(String[] args) {
    play(ReloadOptionalKey::run);
  }

  private static String requestClass(String name, String stretch) {
    return "{\"name\":\""
        + name
        + "\",\"aim\":800000,"
        + stretch
        + "\"give-up\":3000000,\"effect\":\"free\",\"group\":\"all\",\"late-worth\":0.0,"
        + "\"streamed\":true,\"value\":1.0,\"window\":5000000}";
  }

  static List<String> run() throws Exception {
    Host draining = new Host("s-1");
    Host staying = new Host("s-2");
    Discovery before = new Discovery();
    Discovery after = new Discovery();
    for (Discovery discovery : List.of(before, after)) {
      discovery.set(draining.name, draining.address, "SERVING");
      discovery.set(staying.name, staying.address, "SERVING");
    }
    String stretch = "\"aim-stretch\":0.5,";
    String classes = requestClass("preview", stretch) + "," + requestClass("presentation", stretch);
    int port = freePort();
    String listen = "127.0.0.1:" + port;
    Path file = temp.resolve("config.json");
    Files.writeString(file, config(listen, before.address, 192, before.snapshot(), "ask", classes));
    ProxyProcess proxy = new ProxyProcess(port, file, Map.of("LB_NAME", "n0", "LB_LISTEN", listen));
    proxy.awaitReady();
    sleep(4_000);
    String added = classes + "," + requestClass("draft", KEY_GIVEN ? stretch : "");
    if (TROUBLE) {
      Path next = temp.resolve("next.json");
      Files.writeString(next, config(listen, after.address, 192, after.snapshot(), "ask", added));
      Files.move(next, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
      proxy.signal("HUP");
      sleep(1_500);
      before.close();
    } else {
      sleep(1_500);
    }
    sleep(1_000);
    draining.draining = true;
    (TROUBLE ? after : before).set(draining.name, draining.address, "DRAINING");
    long told = nowMillis() + TOLD_MILLIS;
    List<Client> clients = new ArrayList<>();
    List<Client> drafts = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      clients.add(new Client(proxy, "preview", 3_000));
      if (TROUBLE && i % 10 == 0) {
        drafts.add(new Client(proxy, "draft", 3_000));
      }
      sleep(100);
      if (clients.size() > 10) {
        clients.remove(0).leave();
      }
    }
    say("the new class: " + drafts.stream().filter(Client::isUp).count() + " of " + drafts.size() + " served");
    List<String> broken = new ArrayList<>();
    for (Map.Entry<Long, String> open : draining.opens) {
      if (open.getKey() > told + GRACE_MILLIS) {
        broken.add(
            "request " + open.getValue() + " came " + (open.getKey() - told) + " ms after the drain counted as told");
      }
    }
    return broken;
  }
}
