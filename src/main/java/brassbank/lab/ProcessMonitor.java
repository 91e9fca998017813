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
final class ProcessMonitor implements AutoCloseable {
  private static final long INTERVAL_MILLIS = 250;
  private static final int MAX_LOG_BYTES_PER_READ = 256 * 1024;

  /** Of one proxy, over all its processes so far. */
  static final class ResourceUsage {
    double processorSeconds;
    long peakResidentKib;
    int peakDescriptors;
    long coreWaitMicros;
  }

  /** Who hears of a line that a process has logged; on the turner's thread. */
  interface LogListener {
    void onLogLine(String proxy, String line);
  }

  /** What a process had used when it was last looked at. */
  private record Sample(double processorSeconds, long coreWaitMicros) {}

  private final Map<String, RealProxy> proxies;
  private final RealTimeDriver driver;
  private final LogListener logListener;
  private final Map<String, ResourceUsage> usage = new TreeMap<>();
  private final Map<Long, Sample> lastSamples = new HashMap<>();
  private final Map<Path, Long> readOffsets = new HashMap<>();
  private final Thread thread = new Thread(this::run, "lab-meter");
  private volatile boolean closed;

  ProcessMonitor(Map<String, RealProxy> proxies, RealTimeDriver turner, LogListener logged) {
    this.proxies = proxies;
    this.driver = turner;
    this.logListener = logged;
    proxies.keySet().forEach(name -> usage.put(name, new ResourceUsage()));
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  private void run() {
    while (!closed) {
      sample();
      BackgroundTasks.sleep(INTERVAL_MILLIS);
    }
  }

  private synchronized void sample() {
    for (RealProxy proxy : proxies.values()) {
      ResourceUsage use = usage.get(proxy.name());
      int descriptors = 0;
      for (ProxyProcess process : proxy.processes()) {
        int held = process.openDescriptors();
        descriptors += held;
        use.peakDescriptors = Math.max(use.peakDescriptors, held);
        use.peakResidentKib = Math.max(use.peakResidentKib, process.peakResidentKib());
        Sample last = lastSamples.getOrDefault(process.pid(), new Sample(0, 0));
        Sample now =
            new Sample(
                Math.max(last.processorSeconds(), process.processorSeconds()),
                Math.max(last.coreWaitMicros(), process.coreWaitMicros()));
        use.processorSeconds += now.processorSeconds() - last.processorSeconds();
        use.coreWaitMicros += now.coreWaitMicros() - last.coreWaitMicros();
        lastSamples.put(process.pid(), now);
      }
      proxy.descriptors(descriptors);
      for (Path log : proxy.logs()) {
        readNewLines(proxy.name(), log);
      }
    }
  }

  private void readNewLines(String proxy, Path log) {
    long from = readOffsets.getOrDefault(log, 0L);
    try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "r")) {
      byte[] bytes = new byte[(int) Math.min(MAX_LOG_BYTES_PER_READ, file.length() - from)];
      file.seek(from);
      file.readFully(bytes);
      String text = new String(bytes, StandardCharsets.UTF_8);
      int end = text.lastIndexOf('\n') + 1;
      List<String> lines = new ArrayList<>(text.substring(0, end).lines().toList());
      readOffsets.put(log, from + text.substring(0, end).getBytes(StandardCharsets.UTF_8).length);
      if (!lines.isEmpty()) {
        driver.post(() -> lines.forEach(line -> logListener.onLogLine(proxy, line)));
      }
    } catch (IOException e) {
      // It has not been made yet.
    }
  }

  /** What each proxy has used so far, by name; looks once more. */
  Map<String, ResourceUsage> usage() {
    sample();
    return usage;
  }

  @Override
  public void close() {
    closed = true;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
