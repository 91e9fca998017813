package brassbank.lab;

import java.io.PrintStream;
import java.util.Locale;

/** Shows the progress of a run on a terminal: one line with a bar, four times a second. */
final class ProgressLine implements Lab.ProgressListener {
  private static final long INTERVAL_MICROS = 250_000;
  private static final int WIDTH = 24;

  private final PrintStream output;
  private final boolean isTerminal = System.console() != null;
  private long lastShownMicros = -INTERVAL_MICROS;

  ProgressLine(PrintStream output) {
    this.output = output;
  }

  @Override
  public void onProgress(Lab lab, long now) {
    long end = lab.scenarioRun().end();
    boolean last = now >= end;
    if (!isTerminal || (!last && now - lastShownMicros < INTERVAL_MICROS)) {
      return;
    }
    lastShownMicros = now;
    int filled = (int) Math.min(WIDTH, WIDTH * now / end);
    output.printf(
        Locale.ROOT,
        "\r[%s%s] %5.1f of %.0f s  %d of %d proxies  %d times served  %d breaches  late %.1f ms ",
        "#".repeat(filled),
        ".".repeat(WIDTH - filled),
        Lab.seconds(now),
        Lab.seconds(end),
        lab.proxies().values().stream().filter(RealProxy::isListening).count(),
        lab.proxies().size(),
        lab.clientStatistics().served(),
        lab.scenarioRun().checks().breaches().size(),
        lab.maxLatenessMicros() / 1e3);
    if (last) {
      output.println();
    }
    output.flush();
  }
}
