package ashspar;

import ashspar.limits.LimitsSnapshot;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A module that breaks one rule on purpose, to show that the rules' checks can fail. */
final class FaultyBalancer implements Balancer {
  enum Fault {
    LOSES,
    REPEATS,
    REFUSES,
    DOUBLES,
    IGNORES_DRAINS,
    FLOODS_NEWEST
  }

  private final Fault fault;
  private final Actions actions;
  private final List<String> known = new ArrayList<>();
  private final Map<String, State> states = new HashMap<>();
  private String newest;
  private int turn;

  FaultyBalancer(Fault fault, Settings settings, Actions actions) {
    Balancer.require(settings != null, "settings must be given");
    this.fault = fault;
    this.actions = actions;
  }

  @Override
  public void updateServers(long now, ListKind kind, List<ServerEntry> entries) {
    for (ServerEntry entry : entries) {
      if (!known.contains(entry.id())) {
        known.add(entry.id());
      }
      states.put(entry.id(), entry.state());
      if (entry.state() == State.READY && entry.startedAtMicros() > 0) {
        newest = entry.id();
      }
    }
  }

  private void send(long id) {
    if (fault == Fault.FLOODS_NEWEST && newest != null && states.get(newest) == State.READY) {
      actions.send(id, newest, 0);
      return;
    }
    for (int i = 0; i < known.size(); i++) {
      String server = known.get(turn++ % known.size());
      if (fault == Fault.IGNORES_DRAINS || states.get(server) == State.READY) {
        actions.send(id, server, 0);
        return;
      }
    }
    actions.refuse(id, 0);
  }

  @Override
  public void requestReceived(long now, Request request) {
    if (fault == Fault.LOSES && request.id() % 7 == 0) {
      return;
    }
    send(request.id());
    if (fault == Fault.DOUBLES) {
      send(request.id());
    }
  }

  @Override
  public void attemptEnded(long now, Outcome outcome) {
    if (outcome.closed()) {
      return;
    }
    boolean again = outcome.attempt() == 0 && outcome.status() != Status.TIMEOUT;
    if (fault == Fault.REPEATS && again) {
      send(outcome.id());
    } else if (fault == Fault.REFUSES) {
      actions.refuse(outcome.id(), 0);
    } else {
      actions.fail(outcome.id());
    }
  }

  @Override
  public void connectionResumed(long now, Request request, String server) {}

  @Override
  public void connectionAccepted(long now, long id, int attempt, String server, long elapsed) {}

  @Override
  public void connectionMeasured(
      long now, long id, int attempt, String server, MeasurementKind kind, double value) {}

  @Override
  public void requestWithdrawn(long now, long id) {}

  @Override
  public void answerNow(long now, long id) {}

  @Override
  public void timerExpired(long now, long token) {}

  @Override
  public void probeCompleted(
      long now, String server, Status status, long elapsed, List<Double> report) {}

  @Override
  public void updateSettings(long now, Settings settings) {}

  @Override
  public LimitsSnapshot limits() {
    return new LimitsSnapshot(0, 0, 0, 0, 0, 0, 0, 1);
  }

  @Override
  public void peerMessageReceived(long now, int from, byte[] message) {}
}
