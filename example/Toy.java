import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/** Two stub stream hosts and a stub discovery service for the example: java example/Toy.java */
public final class Toy {
  private static final int[] PORTS = {7071, 7072};
  private static final int DISCOVERY_PORT = 8500;
  private static int openedFlows;

  public static void main(String[] args) throws IOException {
    for (int port : PORTS) {
      ServerSocket host = new ServerSocket();
      host.bind(new InetSocketAddress("127.0.0.1", port));
      new Thread(() -> accept(host)).start();
    }
    HttpServer discovery = HttpServer.create(new InetSocketAddress("127.0.0.1", DISCOVERY_PORT), 0);
    discovery.setExecutor(Executors.newCachedThreadPool());
    discovery.createContext(
        "/api/targets",
        exchange -> {
          exchange.sendResponseHeaders(200, 0);
          try (OutputStream body = exchange.getResponseBody()) {
            body.write((snapshot() + "\n").getBytes(StandardCharsets.UTF_8));
            String query = exchange.getRequestURI().getQuery();
            while (query != null && query.contains("follow=1")) {
              body.flush();
              Thread.sleep(2000);
              body.write('\n');
            }
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    discovery.start();
    System.out.println("stream hosts on 7071 and 7072, discovery on 8500");
  }

  /** Returns the constant list of the hosts, as discovery sends it. */
  private static String snapshot() {
    StringBuilder entries = new StringBuilder();
    for (int port : PORTS) {
      entries.append(entries.isEmpty() ? "" : ",");
      entries.append("{\"name\":\"s-").append(port - 7070);
      entries.append("\",\"address\":\"127.0.0.1:").append(port);
      entries.append("\",\"zone\":\"leith\",\"type\":\"fast-box\",\"group\":0,");
      entries.append("\"status\":\"SERVING\",\"weight\":1.0,\"since_ms\":0}");
    }
    return "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + entries + "]}";
  }

  private static void accept(ServerSocket host) {
    try {
      while (true) {
        Socket connection = host.accept();
        new Thread(() -> serve(connection)).start();
      }
    } catch (IOException e) {
      System.out.println("a stream host has stopped: " + e.getMessage());
    }
  }

  /** Answers PING and STATS, accepts every flow, and returns each other line unchanged. */
  private static void serve(Socket connection) {
    try (connection) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        String answer = line;
        if (line.equals("PING")) {
          answer = "PONG";
        } else if (line.equals("STATS")) {
          answer = "PONG x0=0.1,x1=0,throughput=1,errors_per_s=0";
        } else if (line.startsWith("OPEN ")) {
          System.out.println(connection.getLocalPort() + " takes " + line);
          answer = "UP r-" + ++openedFlows;
        }
        connection
            .getOutputStream()
            .write((answer + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        if (line.equals("BYE")) {
          return;
        }
      }
    } catch (IOException e) {
      System.out.println("a connection has failed: " + e.getMessage());
    }
  }
}
