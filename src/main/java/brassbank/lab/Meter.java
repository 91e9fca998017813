package brassbank.lab;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads from the system what each process holds and uses, and the logs as they grow, on a thread of
 * its own; what it finds it hands to the turner.
 */
final class Meter implements AutoCloseable {
  private static final long EVERY_MILLIS = 250;
  private static final int MOST_LOG_BYTES = 256 * 1024;

  /** Of one proxy, over all its processes so far. */
  static final class Use {
    double processorSeconds;
    long mostResidentKib;
    int mostDescriptors;
    long waitedMicros;
  }

  /** Who hears of a line that a process has logged; on the turner's thread. */
  interface Logged {
    void line(String proxy, String line);
  }

  /** What a process had used when it was last looked at. */
  private record Last(double processorSeconds, long waitedMicros) {}

  private final Map<String, RealProxy> proxies;
  private final Turner turner;
  private final Logged logged;
  private final Map<String, Use> uses = new TreeMap<>();
  private final Map<Long, Last> seen = new HashMap<>();
  private final Map<Path, Long> read = new HashMap<>();
  private final Thread thread = new Thread(this::run, "lab-meter");
  private volatile boolean over;

  Meter(Map<String, RealProxy> proxies, Turner turner, Logged logged) {
    this.proxies = proxies;
    this.turner = turner;
    this.logged = logged;
    proxies.keySet().forEach(name -> uses.put(name, new Use()));
    thread.setDaemon(true);
  }

  void begin() {
    thread.start();
  }

  private void run() {
    while (!over) {
      look();
      Helpers.pause(EVERY_MILLIS);
    }
  }

  private synchronized void look() {
    for (RealProxy proxy : proxies.values()) {
      Use use = uses.get(proxy.name());
      int descriptors = 0;
      for (ProxyProcess process : proxy.processes()) {
        int held = process.descriptors();
        descriptors += held;
        use.mostDescriptors = Math.max(use.mostDescriptors, held);
        use.mostResidentKib = Math.max(use.mostResidentKib, process.mostResident());
        Last last = seen.getOrDefault(process.pid(), new Last(0, 0));
        Last now =
            new Last(
                Math.max(last.processorSeconds(), process.processorSeconds()),
                Math.max(last.waitedMicros(), process.waitedForCore()));
        use.processorSeconds += now.processorSeconds() - last.processorSeconds();
        use.waitedMicros += now.waitedMicros() - last.waitedMicros();
        seen.put(process.pid(), now);
      }
      proxy.descriptors(descriptors);
      for (Path log : proxy.logs()) {
        follow(proxy.name(), log);
      }
    }
  }

  private void follow(String proxy, Path log) {
    long from = read.getOrDefault(log, 0L);
    try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "r")) {
      byte[] bytes = new byte[(int) Math.min(MOST_LOG_BYTES, file.length() - from)];
      file.seek(from);
      file.readFully(bytes);
      String text = new String(bytes, StandardCharsets.UTF_8);
      int end = text.lastIndexOf('\n') + 1;
      List<String> lines = new ArrayList<>(text.substring(0, end).lines().toList());
      read.put(log, from + text.substring(0, end).getBytes(StandardCharsets.UTF_8).length);
      if (!lines.isEmpty()) {
        turner.post(() -> lines.forEach(line -> logged.line(proxy, line)));
      }
    } catch (IOException e) {
      // It has not been made yet.
    }
  }

  /** What each proxy has used so far, by name; looks once more. */
  Map<String, Use> uses() {
    look();
    return uses;
  }

  @Override
  public void close() {
    over = true;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
