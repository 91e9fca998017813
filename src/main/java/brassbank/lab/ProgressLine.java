package brassbank.lab;

import java.io.PrintStream;
import java.util.Locale;

/** On a terminal, what happens now: one line with a bar, a few times a second. */
final class ProgressLine implements Lab.ProgressListener {
  private static final long INTERVAL_MICROS = 250_000;
  private static final int WIDTH = 24;

  private final PrintStream notes;
  private final boolean isTerminal = System.console() != null;
  private long lastShownMicros = -INTERVAL_MICROS;

  ProgressLine(PrintStream notes) {
    this.notes = notes;
  }

  @Override
  public void onProgress(Lab lab, long now) {
    long end = lab.scene().end();
    boolean last = now >= end;
    if (!isTerminal || (!last && now - lastShownMicros < INTERVAL_MICROS)) {
      return;
    }
    lastShownMicros = now;
    int full = (int) Math.min(WIDTH, WIDTH * now / end);
    notes.printf(
        Locale.ROOT,
        "\r[%s%s] %5.1f of %.0f s  %d of %d proxies  %d times served  %d breaches  late %.1f ms ",
        "#".repeat(full),
        ".".repeat(WIDTH - full),
        Lab.seconds(now),
        Lab.seconds(end),
        lab.proxies().values().stream().filter(RealProxy::isListening).count(),
        lab.proxies().size(),
        lab.clientStatistics().served(),
        lab.scene().checks().breaches().size(),
        lab.maxLatenessMicros() / 1e3);
    if (last) {
      notes.println();
    }
    notes.flush();
  }
}
