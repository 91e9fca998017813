package brassbank.proxy;

import brassbank.config.Config;
import brassbank.decide.Decider;
import brassbank.fleet.Fleet;
import brassbank.membership.Activity;
import brassbank.membership.Joining;
import brassbank.net.Net;
import brassbank.sources.Randomness;

/** What makes a proxy a member of its fleet; loaded only where there is one. */
final class Member {
  private final Fleet fleet;

  Member(Config config, Decider decider, Net net, Joining joining) {
    fleet =
        new Fleet(
            net,
            joining.at(config.listen()),
            config.name(),
            config.settings().zone() == null ? "" : config.settings().zone(),
            new Randomness(config.seed()).part("fleet of " + config.name()),
            () -> activity(decider));
  }

  Fleet fleet() {
    return fleet;
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
