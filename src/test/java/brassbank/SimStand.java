package brassbank;

import brassbank.config.Config;
import brassbank.proxy.Proxy;
import brassbank.sim.net.Endpoint;
import brassbank.sim.net.Fabric;
import brassbank.sim.net.ListeningSocket;
import brassbank.sim.net.Machine;
import brassbank.sim.net.Program;
import brassbank.sim.proxy.SimClock;
import brassbank.sim.proxy.SimNetwork;
import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The same proxy on the simulated network: each wait lets virtual time go by. */
final class SimStand implements Stand {
  private static final long LIMIT = 10 * Agenda.SECOND;

  private final Agenda agenda = new Agenda();
  private final Fabric fabric =
      new Fabric(
          agenda,
          new RandomStreams(1),
          new Fabric.Latency(30, 60, 700, 1_300, 0.2),
          new Fabric.Buffers(64 * 1024, 64 * 1024, 100_000_000));
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Program clients = program("clients", 9);
  private final Program node = program("n0", 1);
  private final JsonObject config;
  private Proxy proxy;
  private int count;

  SimStand() throws IOException {
    config =
        JsonParser.parseString(Files.readString(Path.of("example/config.json"))).getAsJsonObject();
    config.addProperty("listen", "10.0.0.1:7070");
    config.addProperty("discovery", "10.0.0.5:8500");
    hosts.put("s-1", new Host("s-1", 11));
    hosts.put("s-2", new Host("s-2", 12));
  }

  private Program program(String name, int number) {
    try {
      InetAddress address = InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) number});
      Machine machine = fabric.addMachine(name, "leith", address);
      return new Program(machine, name, 20, 1_024);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Takes all that comes at a port. */
  private static ListeningSocket listen(Program program, int number, Consumer<Endpoint> taker) {
    ListeningSocket[] port = new ListeningSocket[1];
    try {
      port[0] = program.listen(number, 50, () -> taker.accept(port[0].accept()));
      return port[0];
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** An end whose bytes are read only when a line is asked for, as a blocking program does. */
  private final class Wire implements End {
    private final Endpoint endpoint;
    private final StringBuilder read = new StringBuilder();
    private String end;

    Wire(Endpoint endpoint) {
      this.endpoint = endpoint;
    }

    @Override
    public End send(String text) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
      long until = agenda.now() + LIMIT;
      for (int from = 0; from < bytes.length; ) {
        from += endpoint.write(bytes, from, bytes.length - from);
        if (from < bytes.length && !agenda.step(until)) {
          throw new IOException("nobody reads");
        }
      }
      return this;
    }

    @Override
    public String line() throws IOException {
      long until = agenda.now() + LIMIT;
      while (read.indexOf("\n") < 0 && end == null) {
        pull();
        if (read.indexOf("\n") < 0 && end == null && !agenda.step(until)) {
          throw new IOException("no line came");
        }
      }
      int at = read.indexOf("\n");
      if (at < 0) {
        return end;
      }
      String line = read.substring(0, at).replaceAll("\r$", "");
      read.delete(0, at + 1);
      return line;
    }

    private void pull() {
      byte[] bytes = new byte[4_096];
      try {
        int count = endpoint.read(bytes, 0, bytes.length);
        end = count < 0 ? "END" : null;
        read.append(new String(bytes, 0, Math.max(0, count), StandardCharsets.ISO_8859_1));
      } catch (IOException e) {
        end = "RESET";
      }
    }

    @Override
    public void finish() throws IOException {
      endpoint.shutdownOutput();
    }

    @Override
    public void reset() {
      endpoint.reset();
    }

    @Override
    public void close() {
      endpoint.close();
    }
  }

  /** A target as the real stand's: probes are answered, a first line gets the answer set. */
  private final class Host {
    private final Program program;
    private final Deque<End> opened = new ArrayDeque<>();
    private final ListeningSocket port;
    private String answer = "UP r-1";

    Host(String name, int number) {
      program = program(name, number);
      port = listen(program, 7070, this::accept);
    }

    private void accept(Endpoint endpoint) {
      Wire wire = new Wire(endpoint);
      endpoint.handler(
          () -> {
            wire.pull();
            while (wire.read.indexOf("\n") >= 0 && !opened.contains(wire)) {
              first(wire);
            }
            if (wire.end != null) {
              endpoint.close();
            }
          });
    }

    private void first(Wire wire) {
      try {
        if (wire.line().startsWith("OPEN")) {
          wire.endpoint.reading(false);
          wire.send(answer.isEmpty() ? "" : answer + "\r\n");
          opened.add(wire);
        } else {
          wire.send("PONG x0=0.1,x1=0,throughput=2,errors_per_s=0\r\n");
        }
      } catch (IOException e) {
        wire.end = "RESET";
      }
    }

    private String entry() {
      return "{\"name\":\""
          + program.name()
          + "\",\"address\":\""
          + program.machine().address().getHostAddress()
          + ":7070\",\"status\":\"SERVING\",\"since_ms\":0}";
    }
  }

  private String list(long index, String... names) {
    List<String> entries = new ArrayList<>();
    for (String name : names) {
      entries.add(hosts.get(name).entry());
    }
    return "{\"index\":"
        + index
        + ",\"snapshot\":true,\"endpoints\":["
        + String.join(",", entries)
        + "]}";
  }

  /** Answers every call with the list; a watch then stays open. */
  private void discovery(Program program, String list) {
    listen(
        program,
        8500,
        endpoint -> {
          Wire wire = new Wire(endpoint);
          endpoint.handler(
              () -> {
                wire.pull();
                if (wire.end != null) {
                  endpoint.close();
                }
                if (wire.read.indexOf("\r\n\r\n") < 0) {
                  return;
                }
                boolean watch = wire.read.indexOf("follow=1") >= 0;
                wire.read.setLength(0);
                try {
                  String chunk = Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n";
                  wire.send(
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                          + chunk
                          + (watch ? "" : "0\r\n\r\n"));
                } catch (IOException e) {
                  endpoint.close();
                }
              });
        });
  }

  @Override
  public void answer(String target, String line) {
    hosts.get(target).answer = line;
  }

  @Override
  public void start(String... known) throws Exception {
    config.add("known", JsonParser.parseString(list(1, known)));
    discovery(program("discovery", 5), list(2, known));
    SimNetwork network = new SimNetwork(node, new SimClock(agenda, 0, 1_000), held -> {});
    proxy = new Proxy(Config.of(config.toString()), network);
    proxy.start();
    agenda.step(Agenda.MILLI);
  }

  @Override
  public End client() throws Exception {
    Wire[] wire = new Wire[1];
    clients.connect(
        new InetSocketAddress(node.machine().address(), 7070),
        new Program.ConnectHandler() {
          @Override
          public void connected(Endpoint endpoint) {
            wire[0] = new Wire(endpoint);
          }

          @Override
          public void failed(IOException cause) {
            throw new IllegalStateException(cause);
          }
        });
    long until = agenda.now() + LIMIT;
    while (wire[0] == null && agenda.step(until)) {
      // It is on its way.
    }
    return wire[0].send("OPEN c" + count++ + " key-1 c=preview,t=kelvin-stone,d=4000\r\n");
  }

  @Override
  public End opened(String target) throws Exception {
    Host host = hosts.get(target);
    long until = agenda.now() + LIMIT;
    while (host.opened.isEmpty() && agenda.step(until)) {
      // It is on its way.
    }
    return host.opened.remove();
  }

  @Override
  public void gone(String target) {
    hosts.get(target).port.close();
  }

  @Override
  public void move(String... listed) throws Exception {
    discovery(program("discovery-2", 6), list(3, listed));
    config.addProperty("discovery", "10.0.0.6:8500");
    proxy.reload(Config.of(config.toString()));
  }

  @Override
  public void terminate() {
    proxy.drain(node::exit);
  }

  @Override
  public long millis() {
    return agenda.now() / Agenda.MILLI;
  }

  @Override
  public void end() {}
}
