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
 * Who of the fleet takes clients, told to the decisions a moment after it has changed: in a storm
 * once and not for each member. While this proxy is not among them, what was told last holds. For
 * the loop's thread.
 */
final class Peers {
  private static final long MOMENT = 200_000;

  private final Net net;
  private final Dispatcher dispatcher;
  private final Fleet fleet;
  private final String name;
  private final int askers;
  private List<Peer> told = List.of();
  private boolean due;

  Peers(Net net, Dispatcher dispatcher, Fleet fleet, String name, int askers) {
    this.net = net;
    this.dispatcher = dispatcher;
    this.fleet = fleet;
    this.name = name;
    this.askers = askers;
  }

  void changed() {
    if (!due) {
      due = true;
      net.loop().schedule(MOMENT, this::tell);
    }
  }

  private void tell() {
    due = false;
    View view = fleet.view();
    if (view == null) {
      return;
    }
    List<Peer> peers = view.displaced() ? List.of() : peers(view);
    if (peers.size() < 2) {
      // Alone, it asks as one that knows of no others.
      dispatcher.report(new NetworkEvent.SubsetChanged(null));
      told = List.of();
    } else if (!peers.equals(told)) {
      for (Peer self : peers) {
        if (self.name().equals(name)) {
          told = peers;
          dispatcher.report(new NetworkEvent.SubsetChanged(new Subset(self, peers, askers)));
        }
      }
    }
  }

  private static List<Peer> peers(View view) {
    return view.liveMembers().stream()
        .filter(member -> takesClients(member.activity()))
        .map(member -> new Peer(member.name(), member.zone()))
        .sorted(Comparator.comparing(Peer::name))
        .toList();
  }

  private static boolean takesClients(Activity activity) {
    return activity == Activity.STARTING || activity == Activity.ACTIVE;
  }
}
