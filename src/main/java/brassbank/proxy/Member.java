package brassbank.proxy;

import brassbank.config.Config;
import brassbank.decide.Decider;
import brassbank.decide.NetworkEvent;
import brassbank.fleet.Fleet;
import brassbank.fleet.ShareParticipant;
import brassbank.forward.Dispatcher;
import brassbank.membership.Activity;
import brassbank.membership.MembershipConfig;
import brassbank.net.Net;
import brassbank.sources.Randomness;

/** What makes a proxy a member of its fleet; loaded only where there is one. */
final class Member {
  private static final long NANOS_PER_MICRO = 1_000;
  private static final long LONG_AGO = Long.MIN_VALUE / 2;

  private final Fleet fleet;

  Member(Config config, Decider decider, Dispatcher dispatcher, Net net, MembershipConfig joining) {
    fleet =
        new Fleet(
            net,
            joining.withDefaultAddress(config.listen()),
            config.name(),
            config.settings().zone() == null ? "" : config.settings().zone(),
            new Randomness(config.seed()).stream("fleet of " + config.name()),
            () -> activity(decider),
            joining.sharesBudgets() ? sharer(config, decider, dispatcher) : null);
    if (joining.usesSubsets()) {
      Peers peers = new Peers(net, dispatcher, fleet, config.name(), joining.minProxiesPerHost());
      fleet.addListener(change -> peers.changed());
    }
  }

  Fleet fleet() {
    return fleet;
  }

  private static ShareParticipant sharer(Config config, Decider decider, Dispatcher dispatcher) {
    return new ShareParticipant(
        config.settings().rank(),
        config.settings().nodeCount(),
        decider::newFlowCount,
        part ->
            dispatcher.report(
                new NetworkEvent.BudgetShareChanged(
                    part.fraction(),
                    part.baseFraction(),
                    part.index(),
                    part.participants(),
                    part.hasLease() ? part.leaseEndMicros() * NANOS_PER_MICRO : LONG_AGO)));
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
