package brassbank.proxy;

import brassbank.config.Config;
import brassbank.decide.Decider;
import brassbank.decide.NetworkEvent;
import brassbank.fleet.Fleet;
import brassbank.fleet.Sharer;
import brassbank.forward.Dispatcher;
import brassbank.membership.Activity;
import brassbank.membership.Joining;
import brassbank.net.Net;
import brassbank.sources.Randomness;

/** What makes a proxy a member of its fleet; loaded only where there is one. */
final class Member {
  private static final long NANOS_PER_MICRO = 1_000;
  private static final long LONG_AGO = Long.MIN_VALUE / 2;

  private final Fleet fleet;

  Member(Config config, Decider decider, Dispatcher dispatcher, Net net, Joining joining) {
    fleet =
        new Fleet(
            net,
            joining.at(config.listen()),
            config.name(),
            config.settings().zone() == null ? "" : config.settings().zone(),
            new Randomness(config.seed()).stream("fleet of " + config.name()),
            () -> activity(decider),
            joining.shares() ? sharer(config, decider, dispatcher) : null);
    if (joining.subsets()) {
      Peers peers = new Peers(net, dispatcher, fleet, config.name(), joining.askers());
      fleet.listen(change -> peers.changed());
    }
  }

  Fleet fleet() {
    return fleet;
  }

  private static Sharer sharer(Config config, Decider decider, Dispatcher dispatcher) {
    return new Sharer(
        config.settings().rank(),
        config.settings().nodeCount(),
        decider::newFlowCount,
        part ->
            dispatcher.report(
                new NetworkEvent.BudgetShareChanged(
                    part.part(),
                    part.base(),
                    part.turn(),
                    part.of(),
                    part.seated() ? part.until() * NANOS_PER_MICRO : LONG_AGO)));
  }

  private static Activity activity(Decider decider) {
    return switch (decider.state()) {
      case STARTING -> Activity.STARTING;
      case ACTIVE -> Activity.ACTIVE;
      case DRAINING -> Activity.DRAINING;
      case STANDBY -> Activity.STANDBY;
      case STOPPING -> Activity.STOPPING;
    };
  }
}
