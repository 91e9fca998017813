import java.io.FileDescriptor;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A day with upgrades at the smallest memory limit: the platform holds the clients' listening
 * socket and starts the proxy with it. Does the proxy start and answer?
 */
final class UpgradeSmallMemory extends Rig {
  private static final int MEMORY_MB = 32;
  private static final long DEADLINE_MILLIS = 3_000;
  private static final long LATEST_MILLIS = DEADLINE_MILLIS + 500 + 50;

  public static void main(String[] args) {
    play(UpgradeSmallMemory::run);
  }

  /** Returns an input redirect with which a started process inherits the socket as descriptor 0. */
  private static ProcessBuilder.Redirect inherit(ServerSocketChannel socket) throws Exception {
    Method number = socket.getClass().getMethod("getFDVal");
    number.setAccessible(true);
    Constructor<?> pipe =
        Class.forName("java.lang.ProcessBuilder$RedirectPipeImpl").getDeclaredConstructor();
    pipe.setAccessible(true);
    ProcessBuilder.Redirect redirect = (ProcessBuilder.Redirect) pipe.newInstance();
    Method holder = redirect.getClass().getDeclaredMethod("getFd");
    holder.setAccessible(true);
    Field value = FileDescriptor.class.getDeclaredField("fd");
    value.setAccessible(true);
    value.setInt(holder.invoke(redirect), (int) number.invoke(socket));
    return redirect;
  }

  static List<String> run() throws Exception {
    Host host = new Host("s-1");
    Discovery discovery = new Discovery();
    discovery.set(host.name, host.address, "SERVING");
    ServerSocketChannel platform = ServerSocketChannel.open();
    int port;
    if (TROUBLE) {
      platform.bind(new InetSocketAddress("127.0.0.1", 0), 1_024);
      port = ((InetSocketAddress) platform.getLocalAddress()).getPort();
    } else {
      port = freePort();
    }
    String listen = "127.0.0.1:" + port;
    Path file = temp.resolve("config.json");
    Files.writeString(
        file, config(listen, discovery.address, MEMORY_MB, discovery.snapshot(), "ask", CLASSES));
    Map<String, String> env = new HashMap<>(Map.of("LB_NAME", "n0", "LB_LISTEN", listen));
    if (TROUBLE) {
      env.put("LB_LISTEN_FD", "0");
    }
    ProxyProcess proxy =
        new ProxyProcess(
            port, file, env, TROUBLE ? inherit(platform) : ProcessBuilder.Redirect.PIPE);
    // Clients come once all proxies are ready, or after 30 s; a process that has ended is not
    // waited for.
    for (long until = nowMillis() + 30_000; nowMillis() < until && !isReady(proxy); ) {
      if (!proxy.process.isAlive()) {
        break;
      }
    }
    List<String> broken = new ArrayList<>();
    List<Client> clients = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      try {
        clients.add(new Client(proxy, "presentation", DEADLINE_MILLIS));
      } catch (IOException e) {
        throw new CannotRun("a client cannot connect: " + e);
      }
      sleep(100);
    }
    sleep(LATEST_MILLIS);
    if (!proxy.process.isAlive()) {
      broken.add("the proxy has ended by itself with status " + proxy.process.exitValue());
    }
    for (Client client : clients) {
      if (client.answer == null) {
        broken.add("request " + client.id + " got no answer");
      }
    }
    say(clients.stream().filter(Client::isUp).count() + " of " + clients.size() + " requests served");
    return broken;
  }

  private static boolean isReady(ProxyProcess proxy) throws InterruptedException {
    try (java.net.Socket socket = new java.net.Socket("127.0.0.1", proxy.port)) {
      socket.setSoTimeout(500);
      write(socket, "PING");
      boolean ready = "PONG".equals(reader(socket).readLine());
      if (ready) {
        note("the proxy is ready");
      }
      return ready;
    } catch (IOException e) {
      sleep(50);
      return false;
    }
  }
}
