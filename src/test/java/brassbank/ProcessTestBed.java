package brassbank;

import com.google.gson.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A test bed that runs the real program as a process, on the loopback interface. */
final class ProcessTestBed implements TestBed {
  private final ProxyFixture fixture = new ProxyFixture();
  private final Map<String, ProxyFixture.Target> targets = new LinkedHashMap<>();
  private final List<Peer> peers = new ArrayList<>();
  private long startNanos;

  ProcessTestBed() throws IOException {
    for (String name : List.of("s-1", "s-2")) {
      targets.put(name, fixture.addTarget(name));
    }
  }

  private final class PeerConnection implements Connection {
    private final Peer peer;

    PeerConnection(Peer peer) {
      this.peer = peer;
      peers.add(peer);
    }

    @Override
    public Connection send(String text) throws IOException {
      peer.send(text);
      return this;
    }

    @Override
    public String line() throws IOException {
      String line = peer.line();
      return line == null ? "END" : line;
    }

    @Override
    public void shutdownOutput() throws IOException {
      peer.socket.shutdownOutput();
    }

    @Override
    public void reset() throws IOException {
      peer.reset();
    }

    @Override
    public void close() throws IOException {
      peer.close();
    }
  }

  private ProxyFixture.Target[] targetsNamed(String... names) {
    return java.util.Arrays.stream(names).map(targets::get).toArray(ProxyFixture.Target[]::new);
  }

  @Override
  public void setOpenResponse(String target, String line) {
    targets.get(target).openResponse = openingLine -> line.isEmpty() ? "" : line + "\r\n";
  }

  @Override
  public void start(String... known) throws Exception {
    fixture.start(targetsNamed(known));
    startNanos = System.nanoTime();
    ProxyFixture.sendLine(
        fixture.nextWatch(), ProxyFixture.targetList(2, true, "SERVING", targetsNamed(known)));
  }

  @Override
  public Connection connectClient() throws Exception {
    return new PeerConnection(fixture.connectClient("d=4000"));
  }

  @Override
  public Connection nextFlow(String target) throws Exception {
    return new PeerConnection(targets.get(target).nextFlow());
  }

  @Override
  public void closeListener(String target) throws Exception {
    targets.get(target).close();
  }

  @Override
  public void moveDiscovery(String... listed) throws Exception {
    BlockingQueue<HttpExchange> calls = new LinkedBlockingQueue<>();
    JsonObject next = fixture.config.deepCopy();
    next.addProperty("discovery", fixture.startDiscovery(calls));
    fixture.reload(next.toString());
    for (int i = 0; i < 2; i++) {
      HttpExchange call = ProxyFixture.nextCall(calls);
      ProxyFixture.sendLine(
          call, ProxyFixture.targetList(3, true, "SERVING", targetsNamed(listed)));
      if (call.getRequestURI().getQuery() == null) {
        call.close();
      }
    }
  }

  @Override
  public void terminate() {
    fixture.process.destroy();
  }

  @Override
  public long elapsedMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  @Override
  public void close() throws Exception {
    for (Peer peer : peers) {
      peer.close();
    }
    fixture.close();
  }
}
