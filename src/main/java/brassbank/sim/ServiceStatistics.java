package brassbank.sim;

import brassbank.sim.event.Event;
import brassbank.sim.event.Trace;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Statistics of the service that regular clients received in a run: the share of the requested
 * seconds that was served, how long clients waited, and how often they were moved. No rule depends
 * on it.
 */
public final class ServiceStatistics implements Trace.Listener {
  private final Map<String, Long> waitingSince = new LinkedHashMap<>();
  private final Map<String, Long> servedSince = new LinkedHashMap<>();
  private final List<Long> waits = new ArrayList<>();
  private long served;
  private long waited;
  private long lost;
  private int unservedClients;
  private int moves;
  private int reconnects;

  @Override
  public void onEvent(long now, Event event) {
    if (event instanceof Event.ClientCame came) {
      waitingSince.put(came.client(), now);
      reconnects += came.again() ? 1 : 0;
    } else if (event instanceof Event.ClientServed client) {
      long wait = now - waitingSince.remove(client.client());
      waits.add(wait);
      waited += wait;
      servedSince.put(client.client(), now);
    } else if (event instanceof Event.ClientOver over) {
      Long since = servedSince.remove(over.client());
      if (since == null) {
        // The client closed its connection before it was answered.
        waitingSince.remove(over.client());
        return;
      }
      served += now - since;
      moves += over.moved() ? 1 : 0;
    } else if (event instanceof Event.ClientGaveUp client) {
      waited += now - waitingSince.remove(client.client());
      lost += client.lost();
      unservedClients++;
    }
  }

  /** Adds the time of clients that are still served or still wait at the end of the run. */
  public void finish(long now) {
    servedSince.values().forEach(since -> served += now - since);
    waitingSince.values().forEach(since -> waited += now - since);
  }

  /** Returns the number of clients that were not served in any of their tries. */
  public int unservedClients() {
    return unservedClients;
  }

  /** Returns the share of the requested seconds that was served. */
  public double servedShare() {
    long all = served + waited + lost;
    return all == 0 ? 1 : served / (double) all;
  }

  private double waitMillis(double quantile) {
    List<Long> sorted = waits.stream().sorted().toList();
    return sorted.isEmpty()
        ? 0
        : sorted.get((int) Math.min(sorted.size() - 1.0, quantile * sorted.size())) / 1e3;
  }

  /** Returns a one-line summary. */
  public String summary() {
    return String.format(
        Locale.ROOT,
        "%.2f%% of the wanted seconds served; %d times served after a wait of %.1f ms (median),"
            + " %.0f ms (95%%), %.0f ms (most); %d moved, %d came again, %d gave up",
        100 * servedShare(),
        waits.size(),
        waitMillis(0.5),
        waitMillis(0.95),
        waitMillis(1),
        moves,
        reconnects,
        unservedClients);
  }
}
