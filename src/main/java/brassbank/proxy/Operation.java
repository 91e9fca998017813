package brassbank.proxy;

import brassbank.decide.Decider;
import brassbank.decide.NetworkEvent;
import brassbank.fleet.Fleet;
import brassbank.forward.Dispatcher;
import brassbank.lifecycle.State;
import brassbank.management.Operators;
import brassbank.net.Net;
import java.util.Locale;
import java.util.function.Consumer;

/** What operators ask for, as the facade hears it, and its state, as they do. */
final class Operation implements Operators {
  private final Decider decider;
  private final Dispatcher dispatcher;
  private final Net net;
  private final Fleet fleet;

  Operation(Decider decider, Dispatcher dispatcher, Net net, Fleet fleet) {
    this.decider = decider;
    this.dispatcher = dispatcher;
    this.net = net;
    this.fleet = fleet;
  }

  @Override
  public String members() {
    return fleet == null ? null : fleet.json();
  }

  /** Of this process: one that another has succeeded takes no clients. */
  @Override
  public Answer status() {
    return answer(net.isAcceptingClients() && decider.admitsClients());
  }

  @Override
  public Answer standby() {
    dispatcher.report(new NetworkEvent.StandbyRequested());
    return answer(decider.isLeaving());
  }

  @Override
  public boolean standby(Consumer<Answer> then) {
    if (fleet == null || !fleet.leavesInTurn() || decider.state() != State.ACTIVE) {
      return false;
    }
    fleet.askToLeave(why -> then.accept(why == null ? standby() : new Answer(false, why)));
    return true;
  }

  /** A proxy that will end takes no clients, whoever asks. */
  @Override
  public Answer active() {
    dispatcher.report(new NetworkEvent.ActivationRequested());
    return answer(decider.state() != State.STOPPING);
  }

  private Answer answer(boolean yes) {
    String state = decider.state().name().toLowerCase(Locale.ROOT);
    return new Answer(yes, state + " flows=" + decider.openFlowCount());
  }
}
