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

/** Passes operators' requests to the decision facade and reports the state of the proxy. */
final class ProxyOperations implements ManagementOperations {
  private final Decider decider;
  private final Dispatcher dispatcher;
  private final Net net;
  private final Fleet fleet;

  /**
   * @param fleet the fleet that the proxy is a member of, or null if it is in none
   */
  ProxyOperations(Decider decider, Dispatcher dispatcher, Net net, Fleet fleet) {
    this.decider = decider;
    this.dispatcher = dispatcher;
    this.net = net;
    this.fleet = fleet;
  }

  @Override
  public String membersJson() {
    return fleet == null ? null : fleet.statusJson();
  }

  /** Returns the status of this process, which accepts no clients once it has a successor. */
  @Override
  public Result status() {
    return result(net.isAcceptingClients() && decider.admitsClients());
  }

  @Override
  public Result enterStandby() {
    dispatcher.report(new NetworkEvent.StandbyRequested());
    return result(decider.isLeaving());
  }

  @Override
  public boolean requestStandby(Consumer<Result> callback) {
    if (fleet == null || !fleet.requiresDrainPermit() || decider.state() != State.ACTIVE) {
      return false;
    }
    fleet.requestDrainPermit(
        refusal -> callback.accept(refusal == null ? enterStandby() : new Result(false, refusal)));
    return true;
  }

  /** Accepts clients again, unless the proxy is stopping. */
  @Override
  public Result activate() {
    dispatcher.report(new NetworkEvent.ActivationRequested());
    return result(decider.state() != State.STOPPING);
  }

  private Result result(boolean success) {
    String state = decider.state().name().toLowerCase(Locale.ROOT);
    return new Result(success, state + " flows=" + decider.openFlowCount());
  }
}
