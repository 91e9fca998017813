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

/**
 * Makes a proxy a member of its fleet. A proxy that is in no fleet does not load this class, nor
 * the packages that it uses.
 */
final class FleetMember {
  private static final long NANOS_PER_MICRO = 1_000;

  /** A lease end that has always passed. */
  private static final long NO_LEASE_NANOS = Long.MIN_VALUE / 2;

  private final Fleet fleet;

  FleetMember(
      Config config, Decider decider, Dispatcher dispatcher, Net net, MembershipConfig membership) {
    fleet =
        new Fleet(
            net,
            membership.withDefaultAddress(config.listen()),
            config.name(),
            config.settings().zone() == null ? "" : config.settings().zone(),
            new Randomness(config.seed()).stream("fleet of " + config.name()),
            () -> activity(decider),
            membership.sharesBudgets() ? shareParticipant(config, decider, dispatcher) : null);
    if (membership.usesSubsets()) {
      SubsetUpdater subsetUpdater =
          new SubsetUpdater(net, dispatcher, fleet, config.name(), membership.minProxiesPerHost());
      fleet.addListener(change -> subsetUpdater.viewChanged());
    }
  }

  Fleet fleet() {
    return fleet;
  }

  private static ShareParticipant shareParticipant(
      Config config, Decider decider, Dispatcher dispatcher) {
    return new ShareParticipant(
        config.settings().rank(),
        config.settings().nodeCount(),
        decider::newFlowCount,
        share ->
            dispatcher.report(
                new NetworkEvent.BudgetShareChanged(
                    share.fraction(),
                    share.baseFraction(),
                    share.index(),
                    share.participants(),
                    share.hasLease() ? share.leaseEndMicros() * NANOS_PER_MICRO : NO_LEASE_NANOS)));
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
