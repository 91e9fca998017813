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

/** A test bed that runs the proxy on the simulated network. Each wait advances virtual time. */
final class SimulatedTestBed implements TestBed {
  private static final long TIMEOUT_MICROS = 10 * Agenda.SECOND;

  private final Agenda agenda = new Agenda();
  private final Fabric fabric =
      new Fabric(
          agenda,
          new RandomStreams(1),
          new Fabric.Latency(30, 60, 700, 1_300, 0.2),
          new Fabric.Buffers(64 * 1024, 64 * 1024, 100_000_000));
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final Program clientProgram = program("clients", 9);
  private final Program proxyProgram = program("n0", 1);
  private final JsonObject config;
  private Proxy proxy;
  private int clientCount;

  SimulatedTestBed() throws IOException {
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

  /** Listens at a port and passes each connection to the handler. */
  private static ListeningSocket listen(Program program, int number, Consumer<Endpoint> handler) {
    ListeningSocket[] port = new ListeningSocket[1];
    try {
      port[0] = program.listen(number, 50, () -> handler.accept(port[0].accept()));
      return port[0];
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A connection that is read only when a line is requested, as by a blocking program. */
  private final class EndpointConnection implements Connection {
    private final Endpoint endpoint;
    private final StringBuilder buffered = new StringBuilder();
    private String end;

    EndpointConnection(Endpoint endpoint) {
      this.endpoint = endpoint;
    }

    @Override
    public Connection send(String text) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
      long until = agenda.now() + TIMEOUT_MICROS;
      for (int from = 0; from < bytes.length; ) {
        from += endpoint.write(bytes, from, bytes.length - from);
        if (from < bytes.length && !agenda.step(until)) {
          throw new IOException("the peer does not read");
        }
      }
      return this;
    }

    @Override
    public String line() throws IOException {
      long until = agenda.now() + TIMEOUT_MICROS;
      while (buffered.indexOf("\n") < 0 && end == null) {
        readAvailable();
        if (buffered.indexOf("\n") < 0 && end == null && !agenda.step(until)) {
          throw new IOException("no line was received in time");
        }
      }
      int at = buffered.indexOf("\n");
      if (at < 0) {
        return end;
      }
      String line = buffered.substring(0, at).replaceAll("\r$", "");
      buffered.delete(0, at + 1);
      return line;
    }

    private void readAvailable() {
      byte[] bytes = new byte[4_096];
      try {
        int count = endpoint.read(bytes, 0, bytes.length);
        end = count < 0 ? "END" : null;
        buffered.append(new String(bytes, 0, Math.max(0, count), StandardCharsets.ISO_8859_1));
      } catch (IOException e) {
        end = "RESET";
      }
    }

    @Override
    public void shutdownOutput() throws IOException {
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

  /**
   * A target that behaves as one of {@link ProcessTestBed}: it answers probes, and a first line
   * with the line that the test has set.
   */
  private final class Host {
    private final Program program;
    private final Deque<Connection> flows = new ArrayDeque<>();
    private final ListeningSocket port;
    private String openResponse = "UP r-1";

    Host(String name, int number) {
      program = program(name, number);
      port = listen(program, 7070, this::accept);
    }

    private void accept(Endpoint endpoint) {
      EndpointConnection connection = new EndpointConnection(endpoint);
      endpoint.handler(
          () -> {
            connection.readAvailable();
            while (connection.buffered.indexOf("\n") >= 0 && !flows.contains(connection)) {
              answerLine(connection);
            }
            if (connection.end != null) {
              endpoint.close();
            }
          });
    }

    private void answerLine(EndpointConnection connection) {
      try {
        if (connection.line().startsWith("OPEN")) {
          connection.endpoint.reading(false);
          connection.send(openResponse.isEmpty() ? "" : openResponse + "\r\n");
          flows.add(connection);
        } else {
          connection.send("PONG x0=0.1,x1=0,throughput=2,errors_per_s=0\r\n");
        }
      } catch (IOException e) {
        connection.end = "RESET";
      }
    }

    private String listEntry() {
      return "{\"name\":\""
          + program.name()
          + "\",\"address\":\""
          + program.machine().address().getHostAddress()
          + ":7070\",\"status\":\"SERVING\",\"since_ms\":0}";
    }
  }

  private String targetList(long index, String... names) {
    List<String> entries = new ArrayList<>();
    for (String name : names) {
      entries.add(hosts.get(name).listEntry());
    }
    return "{\"index\":"
        + index
        + ",\"snapshot\":true,\"endpoints\":["
        + String.join(",", entries)
        + "]}";
  }

  /** Starts a discovery server that answers every call with the list and keeps watches open. */
  private void startDiscovery(Program program, String list) {
    listen(
        program,
        8500,
        endpoint -> {
          EndpointConnection connection = new EndpointConnection(endpoint);
          endpoint.handler(
              () -> {
                connection.readAvailable();
                if (connection.end != null) {
                  endpoint.close();
                }
                if (connection.buffered.indexOf("\r\n\r\n") < 0) {
                  return;
                }
                boolean watch = connection.buffered.indexOf("follow=1") >= 0;
                connection.buffered.setLength(0);
                try {
                  String chunk = Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n";
                  connection.send(
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
  public void setOpenResponse(String target, String line) {
    hosts.get(target).openResponse = line;
  }

  @Override
  public void start(String... known) throws Exception {
    config.add("known", JsonParser.parseString(targetList(1, known)));
    startDiscovery(program("discovery", 5), targetList(2, known));
    SimNetwork network =
        new SimNetwork(proxyProgram, new SimClock(agenda, 0, 1_000), descriptors -> {});
    proxy = new Proxy(Config.of(config.toString()), network);
    proxy.start();
    agenda.step(Agenda.MILLI);
  }

  @Override
  public Connection connectClient() throws Exception {
    EndpointConnection[] connection = new EndpointConnection[1];
    clientProgram.connect(
        new InetSocketAddress(proxyProgram.machine().address(), 7070),
        new Program.ConnectHandler() {
          @Override
          public void connected(Endpoint endpoint) {
            connection[0] = new EndpointConnection(endpoint);
          }

          @Override
          public void failed(IOException cause) {
            throw new IllegalStateException(cause);
          }
        });
    long until = agenda.now() + TIMEOUT_MICROS;
    while (connection[0] == null && agenda.step(until)) {
      // The connection is being set up.
    }
    return connection[0].send(
        "OPEN c" + clientCount++ + " key-1 c=preview,t=kelvin-stone,d=4000\r\n");
  }

  @Override
  public Connection nextFlow(String target) throws Exception {
    Host host = hosts.get(target);
    long until = agenda.now() + TIMEOUT_MICROS;
    while (host.flows.isEmpty() && agenda.step(until)) {
      // The connection is being set up.
    }
    return host.flows.remove();
  }

  @Override
  public void closeListener(String target) {
    hosts.get(target).port.close();
  }

  @Override
  public void moveDiscovery(String... listed) throws Exception {
    startDiscovery(program("discovery-2", 6), targetList(3, listed));
    config.addProperty("discovery", "10.0.0.6:8500");
    proxy.reload(Config.of(config.toString()));
  }

  @Override
  public void terminate() {
    proxy.drain(proxyProgram::exit);
  }

  @Override
  public long elapsedMillis() {
    return agenda.now() / Agenda.MILLI;
  }

  @Override
  public void close() {}
}
