package brassbank.load;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The {@link ReferenceRelay} as a child process, with the JVM flags that the proxy runs with. */
final class ReferenceRelayProcess implements AutoCloseable {
  private static final long READY_TIMEOUT_NANOS = 10_000_000_000L;

  private final InetSocketAddress address;
  private final Process process;

  /**
   * Starts the relay and waits until it accepts connections.
   *
   * @throws LoadException if the relay cannot be started or does not listen within 10 s
   */
  ReferenceRelayProcess(List<InetSocketAddress> hosts) {
    try {
      address = ProxyProcess.findFreeAddress();
      List<String> command =
          new ArrayList<>(
              List.of(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-XX:+UseSerialGC",
                  "-XX:TieredStopAtLevel=1",
                  "-Xmx64m",
                  "-cp",
                  System.getProperty("java.class.path"),
                  ReferenceRelay.class.getName(),
                  format(address)));
      hosts.forEach(host -> command.add(format(host)));
      // The relay exits when its standard input closes, so it does not outlive this process.
      process = new ProcessBuilder(command).redirectErrorStream(true).start();
    } catch (IOException e) {
      throw new LoadException("cannot start the reference relay: " + e.getMessage(), e);
    }
    awaitReady();
  }

  private static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private void awaitReady() {
    long deadlineNanos = Reactor.nanoTime() + READY_TIMEOUT_NANOS;
    while (Reactor.nanoTime() < deadlineNanos && process.isAlive()) {
      try (Socket probe = new Socket()) {
        probe.connect(address, 1_000);
        return;
      } catch (ConnectException e) {
        TestBed.sleep(20);
      } catch (IOException e) {
        break;
      }
    }
    close();
    throw new LoadException("the reference relay does not listen");
  }

  Route route() {
    return new Route("bare", List.of(address), new ProcessStats(process.pid()));
  }

  @Override
  public void close() {
    process.destroy();
    try {
      if (!process.waitFor(2, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
