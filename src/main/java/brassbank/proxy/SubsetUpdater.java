package brassbank.proxy;

import brassbank.decide.NetworkEvent;
import brassbank.fleet.Fleet;
import brassbank.forward.Dispatcher;
import brassbank.membership.Activity;
import brassbank.membership.View;
import brassbank.net.Net;
import brassbank.subsets.Peer;
import brassbank.subsets.Subset;
import java.util.Comparator;
import java.util.List;

/**
 * Reports to the decision facade which members of the fleet accept clients, from which the proxy's
 * subset of the stream hosts follows.
 *
 * <p>A change is reported after a short delay, so that a burst of membership changes causes one
 * report. While this proxy itself is not among the members that accept clients, the last report
 * stays in effect. Confined to the event loop's thread.
 */
final class SubsetUpdater {
  private static final long UPDATE_DELAY_MICROS = 200_000;

  private final Net net;
  private final Dispatcher dispatcher;
  private final Fleet fleet;
  private final String name;
  private final int minProxiesPerHost;
  private List<Peer> reportedPeers = List.of();
  private boolean updateScheduled;

  /**
   * @param name the name of this proxy
   * @param minProxiesPerHost how many proxies query each stream host
   */
  SubsetUpdater(Net net, Dispatcher dispatcher, Fleet fleet, String name, int minProxiesPerHost) {
    this.net = net;
    this.dispatcher = dispatcher;
    this.fleet = fleet;
    this.name = name;
    this.minProxiesPerHost = minProxiesPerHost;
  }

  /** Schedules an update unless one is scheduled already. */
  void viewChanged() {
    if (!updateScheduled) {
      updateScheduled = true;
      net.loop().schedule(UPDATE_DELAY_MICROS, this::update);
    }
  }

  private void update() {
    updateScheduled = false;
    View view = fleet.view();
    if (view == null) {
      return;
    }
    List<Peer> peers = view.displaced() ? List.of() : peers(view);
    if (peers.size() < 2) {
      // A proxy without peers uses all stream hosts.
      dispatcher.report(new NetworkEvent.SubsetChanged(null));
      reportedPeers = List.of();
    } else if (!peers.equals(reportedPeers)) {
      for (Peer self : peers) {
        if (self.name().equals(name)) {
          reportedPeers = peers;
          dispatcher.report(
              new NetworkEvent.SubsetChanged(new Subset(self, peers, minProxiesPerHost)));
        }
      }
    }
  }

  private static List<Peer> peers(View view) {
    return view.liveMembers().stream()
        .filter(member -> acceptsClients(member.activity()))
        .map(member -> new Peer(member.name(), member.zone()))
        .sorted(Comparator.comparing(Peer::name))
        .toList();
  }

  private static boolean acceptsClients(Activity activity) {
    return activity == Activity.STARTING || activity == Activity.ACTIVE;
  }
}
