package brassbank.load;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A stub discovery service with a constant list of hosts. Its watches send a blank line every 2 s,
 * which reports that nothing has changed.
 */
final class StubDiscovery implements AutoCloseable {
  private static final long KEEP_ALIVE_MILLIS = 2_000;

  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "discovery");
            thread.setDaemon(true);
            return thread;
          });
  private final HttpServer server;
  private final JsonObject snapshot;

  /**
   * Starts the service on 127.0.0.1.
   *
   * @param port the listening port, or 0 for a free one
   * @throws LoadException if the port cannot be bound
   */
  StubDiscovery(int port, List<StubHost> hosts, String zone, String type) {
    snapshot = snapshot(hosts, zone, type);
    try {
      server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 0);
    } catch (IOException e) {
      throw new LoadException("discovery cannot listen on port " + port + ": " + e.getMessage(), e);
    }
    server.setExecutor(threads);
    server.createContext("/api/targets", this::handle);
    server.start();
  }

  private static JsonObject snapshot(List<StubHost> hosts, String zone, String type) {
    JsonArray endpoints = new JsonArray();
    for (StubHost host : hosts) {
      JsonObject entry = new JsonObject();
      entry.addProperty("name", host.name());
      entry.addProperty("address", "127.0.0.1:" + host.address().getPort());
      entry.addProperty("zone", zone);
      entry.addProperty("type", type);
      entry.addProperty("group", 0);
      entry.addProperty("status", "SERVING");
      entry.addProperty("weight", 1.0);
      entry.addProperty("since_ms", 0);
      endpoints.add(entry);
    }
    JsonObject list = new JsonObject();
    list.addProperty("index", 1);
    list.addProperty("snapshot", true);
    list.add("endpoints", endpoints);
    return list;
  }

  JsonObject snapshot() {
    return snapshot;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private void handle(HttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(200, 0);
    String query = exchange.getRequestURI().getQuery();
    try (OutputStream body = exchange.getResponseBody()) {
      body.write((snapshot + "\n").getBytes(StandardCharsets.UTF_8));
      while (query != null && query.contains("follow=1")) {
        body.flush();
        Thread.sleep(KEEP_ALIVE_MILLIS);
        body.write('\n');
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
