package brassbank.lab;

import java.io.PrintStream;
import java.util.Locale;

/** On a terminal, what happens now: one line with a bar, a few times a second. */
final class LiveLine implements Lab.Watcher {
  private static final long EVERY = 250_000;
  private static final int WIDTH = 24;

  private final PrintStream notes;
  private final boolean shown = System.console() != null;
  private long toldAt = -EVERY;

  LiveLine(PrintStream notes) {
    this.notes = notes;
  }

  @Override
  public void at(Lab lab, long now) {
    long end = lab.scene().end();
    boolean last = now >= end;
    if (!shown || (!last && now - toldAt < EVERY)) {
      return;
    }
    toldAt = now;
    int full = (int) Math.min(WIDTH, WIDTH * now / end);
    notes.printf(
        Locale.ROOT,
        "\r[%s%s] %5.1f of %.0f s  %d of %d proxies  %d times served  %d breaches  late %.1f ms ",
        "#".repeat(full),
        ".".repeat(WIDTH - full),
        Lab.seconds(now),
        Lab.seconds(end),
        lab.proxies().values().stream().filter(RealProxy::listening).count(),
        lab.proxies().size(),
        lab.tally().served(),
        lab.scene().checks().breaches().size(),
        lab.late() / 1e3);
    if (last) {
      notes.println();
    }
    notes.flush();
  }
}
