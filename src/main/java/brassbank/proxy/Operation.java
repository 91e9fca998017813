package brassbank.proxy;

import brassbank.decide.Decider;
import brassbank.decide.NetworkEvent;
import brassbank.fleet.Fleet;
import brassbank.forward.Dispatcher;
import brassbank.lifecycle.State;
import brassbank.management.ManagementOperations;
import brassbank.net.Net;
import java.util.Locale;
import java.util.function.Consumer;

/** What operators ask for, as the facade hears it, and its state, as they do. */
final class Operation implements ManagementOperations {
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
  public String membersJson() {
    return fleet == null ? null : fleet.statusJson();
  }

  /** Of this process: one that another has succeeded takes no clients. */
  @Override
  public Result status() {
    return answer(net.isAcceptingClients() && decider.admitsClients());
  }

  @Override
  public Result enterStandby() {
    dispatcher.report(new NetworkEvent.StandbyRequested());
    return answer(decider.isLeaving());
  }

  @Override
  public boolean requestStandby(Consumer<Result> then) {
    if (fleet == null || !fleet.requiresDrainPermit() || decider.state() != State.ACTIVE) {
      return false;
    }
    fleet.requestDrainPermit(
        why -> then.accept(why == null ? enterStandby() : new Result(false, why)));
    return true;
  }

  /** A proxy that will end takes no clients, whoever asks. */
  @Override
  public Result activate() {
    dispatcher.report(new NetworkEvent.ActivationRequested());
    return answer(decider.state() != State.STOPPING);
  }

  private Result answer(boolean yes) {
    String state = decider.state().name().toLowerCase(Locale.ROOT);
    return new Result(yes, state + " flows=" + decider.openFlowCount());
  }
}
