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
 * Samples the resource usage of each proxy process and reads the log files as they grow, on a
 * thread of its own. Log lines are posted to the driver's thread.
 */
final class ProcessMonitor implements AutoCloseable {
  private static final long INTERVAL_MILLIS = 250;
  private static final int MAX_LOG_BYTES_PER_READ = 256 * 1024;

  /** Resource usage of one proxy, over all its processes so far. */
  static final class ResourceUsage {
    double processorSeconds;
    long peakResidentKib;
    int peakDescriptors;
    long coreWaitMicros;
  }

  /** Receives each line that a process has logged, on the driver's thread. */
  interface LogListener {
    void onLogLine(String proxy, String line);
  }

  /** The totals of a process when it was last sampled. */
  private record Sample(double processorSeconds, long coreWaitMicros) {}

  private final Map<String, RealProxy> proxies;
  private final RealTimeDriver driver;
  private final LogListener logListener;
  private final Map<String, ResourceUsage> usage = new TreeMap<>();
  private final Map<Long, Sample> lastSamples = new HashMap<>();
  private final Map<Path, Long> readOffsets = new HashMap<>();
  private final Thread thread = new Thread(this::run, "lab-meter");
  private volatile boolean closed;

  ProcessMonitor(Map<String, RealProxy> proxies, RealTimeDriver driver, LogListener logListener) {
    this.proxies = proxies;
    this.driver = driver;
    this.logListener = logListener;
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
      ResourceUsage total = usage.get(proxy.name());
      int descriptors = 0;
      for (ProxyProcess process : proxy.processes()) {
        int open = process.openDescriptors();
        descriptors += open;
        total.peakDescriptors = Math.max(total.peakDescriptors, open);
        total.peakResidentKib = Math.max(total.peakResidentKib, process.peakResidentKib());
        Sample previous = lastSamples.getOrDefault(process.pid(), new Sample(0, 0));
        Sample current =
            new Sample(
                Math.max(previous.processorSeconds(), process.processorSeconds()),
                Math.max(previous.coreWaitMicros(), process.coreWaitMicros()));
        total.processorSeconds += current.processorSeconds() - previous.processorSeconds();
        total.coreWaitMicros += current.coreWaitMicros() - previous.coreWaitMicros();
        lastSamples.put(process.pid(), current);
      }
      proxy.descriptors(descriptors);
      for (Path log : proxy.logs()) {
        readNewLines(proxy.name(), log);
      }
    }
  }

  private void readNewLines(String proxy, Path log) {
    long offset = readOffsets.getOrDefault(log, 0L);
    try (RandomAccessFile file = new RandomAccessFile(log.toFile(), "r")) {
      byte[] bytes = new byte[(int) Math.min(MAX_LOG_BYTES_PER_READ, file.length() - offset)];
      file.seek(offset);
      file.readFully(bytes);
      String text = new String(bytes, StandardCharsets.UTF_8);
      int end = text.lastIndexOf('\n') + 1;
      List<String> lines = new ArrayList<>(text.substring(0, end).lines().toList());
      readOffsets.put(log, offset + text.substring(0, end).getBytes(StandardCharsets.UTF_8).length);
      if (!lines.isEmpty()) {
        driver.post(() -> lines.forEach(line -> logListener.onLogLine(proxy, line)));
      }
    } catch (IOException e) {
      // The process has not created its log file yet.
    }
  }

  /** Takes one more sample and returns the usage of each proxy so far, by name. */
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
