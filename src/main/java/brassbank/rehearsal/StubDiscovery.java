package brassbank.rehearsal;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** A discovery that serves the whole list, and a watch that reports one draining target. */
final class StubDiscovery {
  private static final int EMPTY_LINE_MILLIS = 500;

  private final HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
  private final CountDownLatch changed = new CountDownLatch(1);

  /** Never counted down: waiting on it always lasts for the time-out. */
  private final CountDownLatch neverReleased = new CountDownLatch(1);

  private volatile String list;
  private volatile String change;

  StubDiscovery() throws IOException {
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/api/targets", this::handleRequest);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  void setList(String json) {
    list = json;
  }

  /** Reports to the watch that a target drains. */
  void reportDraining(JsonObject entry) {
    JsonObject draining = entry.deepCopy();
    draining.addProperty("status", "DRAINING");
    JsonArray entries = new JsonArray();
    entries.add(draining);
    JsonObject delta = new JsonObject();
    delta.addProperty("index", 2);
    delta.addProperty("snapshot", false);
    delta.add("endpoints", entries);
    change = delta.toString();
    changed.countDown();
  }

  private void handleRequest(HttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(200, 0);
    try (OutputStream body = exchange.getResponseBody()) {
      writeLine(body, list);
      String query = exchange.getRequestURI().getQuery();
      if (query == null || !query.contains("follow=1")) {
        return;
      }
      while (!changed.await(EMPTY_LINE_MILLIS, TimeUnit.MILLISECONDS)) {
        writeLine(body, "");
      }
      writeLine(body, change);
      // The watch stays open until the proxy closes it.
      while (!neverReleased.await(EMPTY_LINE_MILLIS, TimeUnit.MILLISECONDS)) {
        writeLine(body, "");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void writeLine(OutputStream body, String line) throws IOException {
    body.write((line + "\n").getBytes(StandardCharsets.UTF_8));
    body.flush();
  }
}
