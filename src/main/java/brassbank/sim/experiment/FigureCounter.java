package brassbank.sim.experiment;

import brassbank.sim.ServiceStatistics;
import brassbank.sim.event.Event;
import brassbank.sim.event.Trace;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Computes the figures of a run from events at hosts and clients. Data that a proxy reports about
 * itself is not used.
 */
final class FigureCounter implements Trace.Listener {
  private static final double SECOND = 1_000_000;

  private record Session(String host, String model) {}

  private final Map<String, Double> capacities;
  private final Map<String, String> zones;
  private final ServiceStatistics all = new ServiceStatistics();
  private final Map<String, ServiceStatistics> byClass = new TreeMap<>();
  private final Map<String, ServiceStatistics> byPractice = new TreeMap<>();
  private final Map<String, Event.ClientCame> clients = new HashMap<>();
  private final Map<String, Integer> probes = new HashMap<>();
  private final Map<String, Integer> connects = new HashMap<>();
  private final Map<String, String> proxyOf = new HashMap<>();
  private final Map<String, Session> sessions = new HashMap<>();
  private final Map<String, Double> sessionSeconds = new HashMap<>();
  private final Map<String, Integer> openSessions = new HashMap<>();
  private double pairSeconds;
  private double modelSeconds;
  private long integratedUntilMicros;
  private int refusals;
  private int sessionsStarted;
  private int crossZoneSessions;
  private int setups;
  private int listCalls;

  /**
   * @param capacities capacities of the hosts by name, in sessions of mean load
   * @param zones zones of hosts and proxies by name
   */
  FigureCounter(Map<String, Double> capacities, Map<String, String> zones) {
    this.capacities = capacities;
    this.zones = zones;
  }

  @Override
  public void onEvent(long now, Event event) {
    all.onEvent(now, event);
    String client = client(event);
    if (event instanceof Event.ClientCame came) {
      clients.put(came.client(), came);
    }
    if (client != null) {
      Event.ClientCame who = clients.get(client);
      byClass.computeIfAbsent(who.kind(), k -> new ServiceStatistics()).onEvent(now, event);
      byPractice.computeIfAbsent(who.practice(), p -> new ServiceStatistics()).onEvent(now, event);
    }
    if (event instanceof Event.ProbeArrived probe) {
      probes.merge(probe.host(), 1, Integer::sum);
    } else if (event instanceof Event.HostConnected connected) {
      connects.merge(connected.host(), 1, Integer::sum);
    } else if (event instanceof Event.AttemptArrived arrived) {
      setups++;
      proxyOf.put(arrived.flow(), arrived.proxy());
    } else if (event instanceof Event.AttemptAnswered answer && answer.line().startsWith("UP ")) {
      onSessionStart(now, answer.flow(), answer.host());
    } else if (event instanceof Event.ProxyEnded ended) {
      onSessionEnd(now, ended.flow(), ended.host());
    } else if (event instanceof Event.HostEnded ended) {
      onSessionEnd(now, ended.flow(), ended.host());
    } else if (event instanceof Event.FlowAnswered answer && answer.line().startsWith("BUSY")) {
      refusals++;
    } else if (event instanceof Event.ListCalled) {
      listCalls++;
    }
  }

  private static String client(Event event) {
    if (event instanceof Event.ClientCame came) {
      return came.client();
    } else if (event instanceof Event.ClientServed served) {
      return served.client();
    } else if (event instanceof Event.ClientOver over) {
      return over.client();
    } else if (event instanceof Event.ClientGaveUp gone) {
      return gone.client();
    }
    return null;
  }

  private void onSessionStart(long now, String flow, String host) {
    integrate(now);
    sessionsStarted++;
    String proxy = proxyOf.get(flow);
    crossZoneSessions += zones.get(host).equals(zones.get(proxy)) ? 0 : 1;
    Event.ClientCame who = clients.get(flow.substring(0, flow.indexOf('.')));
    if (who != null) {
      sessions.put(flow, new Session(host, who.model()));
      openSessions.merge(host, 1, Integer::sum);
    }
  }

  private void onSessionEnd(long now, String flow, String host) {
    Session session = sessions.get(flow);
    if (session != null && session.host().equals(host)) {
      integrate(now);
      sessions.remove(flow);
      openSessions.merge(host, -1, Integer::sum);
    }
  }

  /**
   * Adds the time since the last call to the totals: the sessions that are open now have been open
   * since then. Calls less than 50 ms apart are combined.
   */
  private void integrate(long now) {
    double seconds = (now - integratedUntilMicros) / SECOND;
    if (seconds < 0.05) {
      return;
    }
    integratedUntilMicros = now;
    Set<Session> pairs = new HashSet<>(sessions.values());
    Set<String> models = new HashSet<>();
    pairs.forEach(pair -> models.add(pair.model()));
    pairSeconds += seconds * pairs.size();
    modelSeconds += seconds * models.size();
    openSessions.forEach((host, count) -> sessionSeconds.merge(host, seconds * count, Double::sum));
  }

  Map<Figure, Double> figures(long now, boolean sound) {
    integrate(now);
    all.finish(now);
    double seconds = now / SECOND;
    int hosts = capacities.size();
    Map<Figure, Double> figures = new EnumMap<>(Figure.class);
    figures.put(Figure.SERVED, 100 * all.servedShare());
    figures.put(Figure.WORST_CLASS, worst(now, byClass));
    figures.put(Figure.WORST_PRACTICE, worst(now, byPractice));
    figures.put(Figure.GAVE_UP, (double) all.unservedClients());
    figures.put(Figure.REFUSALS, (double) refusals);
    figures.put(
        Figure.CROSSINGS, sessionsStarted == 0 ? 0 : 100.0 * crossZoneSessions / sessionsStarted);
    figures.put(Figure.SETUPS, (double) setups);
    figures.put(Figure.PROBES, sum(probes) / hosts / seconds);
    figures.put(Figure.PROBES_TOP, maxOverMean(probes));
    figures.put(Figure.CONNECTS, sum(connects) / hosts / seconds);
    figures.put(Figure.CONNECTS_TOP, maxOverMean(connects));
    Map<String, Double> filled = new HashMap<>();
    sessionSeconds.forEach((host, held) -> filled.put(host, held / capacities.get(host)));
    figures.put(Figure.SESSIONS_TOP, maxOverMean(filled));
    figures.put(Figure.MODEL_HOSTS, modelSeconds == 0 ? 0 : pairSeconds / modelSeconds);
    figures.put(Figure.LIST_CALLS, (double) listCalls);
    figures.put(Figure.BROKEN, sound ? 0.0 : 1.0);
    return figures;
  }

  private static double worst(long now, Map<String, ServiceStatistics> parts) {
    parts.values().forEach(part -> part.finish(now));
    return parts.values().stream().mapToDouble(part -> 100 * part.servedShare()).min().orElse(100);
  }

  private static double sum(Map<String, ? extends Number> counts) {
    return counts.values().stream().mapToDouble(Number::doubleValue).sum();
  }

  private double maxOverMean(Map<String, ? extends Number> counts) {
    double mean = sum(counts) / capacities.size();
    double most = counts.values().stream().mapToDouble(Number::doubleValue).max().orElse(0);
    return mean == 0 ? 1 : most / mean;
  }
}
