package brassbank.load;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** The real proxy as a child process, with a configuration that lists the stub hosts. */
final class ProxyProcess implements AutoCloseable {
  private static final long READY_TIMEOUT_SECONDS = 30;
  private static final long STOP_TIMEOUT_SECONDS = 8;

  private final Path folder;
  private final Process process;
  private final InetSocketAddress address;

  /**
   * Starts the proxy and waits until it answers {@code PING} on its client address.
   *
   * @param command the shell command that starts the proxy; it must replace the shell by {@code
   *     exec}, so that the child's process id is that of the proxy
   * @param base the configuration to start from; its addresses, hosts and limits are replaced
   * @param discovery the stub discovery service whose hosts the proxy uses
   * @param memoryMib the memory limit of the configuration
   * @param sockets the socket limit of the configuration
   * @throws LoadException if the proxy cannot be started or does not answer in time
   */
  ProxyProcess(
      String command, JsonObject base, StubDiscovery discovery, int memoryMib, int sockets) {
    try {
      address = findFreeAddress();
      folder = Files.createTempDirectory("brassbank-load");
      JsonObject config = base.deepCopy();
      config.addProperty("listen", "127.0.0.2:" + address.getPort());
      config.addProperty("discovery", discovery.address());
      config.add("known", discovery.snapshot());
      JsonObject limits = new JsonObject();
      limits.addProperty("cores", 1.0);
      limits.addProperty("memory_mb", memoryMib);
      limits.addProperty("sockets", sockets);
      config.add("limits", limits);
      Path file = folder.resolve("config.json");
      Files.writeString(file, config.toString());
      ProcessBuilder builder = new ProcessBuilder("sh", "-c", command);
      builder.environment().put("LB_CONFIG", file.toString());
      process =
          builder
              .redirectErrorStream(true)
              .redirectOutput(folder.resolve("log").toFile())
              .redirectInput(ProcessBuilder.Redirect.from(file.toFile()))
              .start();
    } catch (IOException e) {
      throw new LoadException("cannot start the proxy: " + e.getMessage(), e);
    }
    // Stops the proxy also when the tool is interrupted by Ctrl-C.
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroy));
    awaitReady();
  }

  static JsonObject readConfiguration(Path file) {
    try {
      return JsonParser.parseString(Files.readString(file)).getAsJsonObject();
    } catch (IOException | JsonParseException | IllegalStateException e) {
      throw new LoadException("cannot read the configuration " + file + ": " + e.getMessage(), e);
    }
  }

  /**
   * Returns a free port on 127.0.0.2. On 127.0.0.1 a client that connects to a port without a
   * listener may be assigned that port as its source, connect to itself and so occupy the port.
   */
  static InetSocketAddress findFreeAddress() throws IOException {
    InetAddress loopback = InetAddress.getByName("127.0.0.2");
    try (ServerSocket socket = new ServerSocket(0, 1, loopback)) {
      return new InetSocketAddress(loopback, socket.getLocalPort());
    }
  }

  private void awaitReady() {
    long deadlineNanos = Reactor.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS);
    while (Reactor.nanoTime() < deadlineNanos && process.isAlive()) {
      try (Socket socket = new Socket()) {
        socket.connect(address, 1_000);
        socket.setSoTimeout(2_000);
        socket.getOutputStream().write("PING\r\n".getBytes(StandardCharsets.US_ASCII));
        if ("PONG"
            .equals(
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))
                    .readLine())) {
          return;
        }
      } catch (ConnectException e) {
        sleepBeforeRetry();
      } catch (IOException e) {
        // The proxy is not ready yet; the next iteration retries.
      }
    }
    String log = logTail();
    close();
    throw new LoadException("the proxy did not answer PING; end of its log: " + log);
  }

  private static void sleepBeforeRetry() {
    try {
      Thread.sleep(20);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new LoadException("interrupted", e);
    }
  }

  InetSocketAddress address() {
    return address;
  }

  long pid() {
    return process.pid();
  }

  /** Returns up to 2,000 characters from the end of the proxy's log. */
  String logTail() {
    try {
      String log = Files.readString(folder.resolve("log"), StandardCharsets.ISO_8859_1);
      return log.substring(Math.max(0, log.length() - 2_000));
    } catch (IOException e) {
      return "the log cannot be read: " + e.getMessage();
    }
  }

  /** Stops the proxy gracefully, and forcibly if it is still running after 8 s. */
  @Override
  public void close() {
    process.destroy();
    try {
      if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly().waitFor();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
    try {
      Files.deleteIfExists(folder.resolve("log"));
      Files.deleteIfExists(folder.resolve("config.json"));
      Files.deleteIfExists(folder);
    } catch (IOException e) {
      throw new LoadException("cannot remove " + folder + ": " + e.getMessage(), e);
    }
  }
}
