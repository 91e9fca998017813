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
  public void servers(long now, ListKind kind, List<ServerEntry> entries) {
    for (ServerEntry entry : entries) {
      if (!known.contains(entry.id())) {
        known.add(entry.id());
      }
      states.put(entry.id(), entry.state());
      if (entry.state() == State.READY && entry.since() > 0) {
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
  public void request(long now, Request request) {
    if (fault == Fault.LOSES && request.id() % 7 == 0) {
      return;
    }
    send(request.id());
    if (fault == Fault.DOUBLES) {
      send(request.id());
    }
  }

  @Override
  public void outcome(long now, Outcome outcome) {
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
  public void resumed(long now, Request request, String server) {}

  @Override
  public void accepted(long now, long id, int attempt, String server, long elapsed) {}

  @Override
  public void note(long now, long id, int attempt, String server, NoteKind kind, double value) {}

  @Override
  public void lapsed(long now, long id) {}

  @Override
  public void giveUp(long now, long id) {}

  @Override
  public void timer(long now, long token) {}

  @Override
  public void probed(long now, String server, Status status, long elapsed, List<Double> report) {}

  @Override
  public void settings(long now, Settings settings) {}

  @Override
  public LimitsSnapshot limits() {
    return new LimitsSnapshot(0, 0, 0, 0, 0, 0, 0, 1);
  }

  @Override
  public void peer(long now, int from, byte[] message) {}
}
