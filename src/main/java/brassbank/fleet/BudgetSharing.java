package brassbank.fleet;

import brassbank.membership.Member;
import brassbank.membership.View;
import brassbank.membership.wire.InvalidDatagramException;
import brassbank.shares.BudgetShare;
import brassbank.shares.DrainPermit;
import brassbank.shares.LeaseOutbox;
import brassbank.shares.LeaseParticipant;
import brassbank.shares.LeaseSettings;
import brassbank.shares.wire.LeaseCodec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Runs the lease protocol for this process. It uses only the addresses of the membership's view.
 * All methods must be called on the event loop's thread.
 */
final class BudgetSharing {
  private final LeaseParticipant leases;
  private final LeaseCodec codec;
  private final LongSupplier clientsAccepted;
  private final Consumer<BudgetShare> shareListener;
  private final LeaseOutbox outbox;
  private BudgetShare lastShare;
  private Consumer<String> permitCallback;

  /**
   * Creates the protocol state, without a lease.
   *
   * @param baseShare the fraction of the budgets that is divided evenly by the number of ranks
   * @param process identifies this process start: a random number
   * @param send sends a datagram to an address
   */
  BudgetSharing(
      ShareParticipant participant,
      double baseShare,
      String fleet,
      long process,
      long now,
      BiConsumer<InetSocketAddress, byte[]> send) {
    leases =
        new LeaseParticipant(
            LeaseSettings.withBaseShare(baseShare),
            participant.rank(),
            participant.rankCount(),
            process,
            now);
    codec = new LeaseCodec(fleet);
    clientsAccepted = participant.clientsAccepted();
    shareListener = participant.shareListener();
    outbox = (to, message) -> send.accept(to, codec.encode(message));
  }

  private static List<InetSocketAddress> others(View view) {
    List<InetSocketAddress> others = new ArrayList<>();
    for (Member member : view.liveMembers()) {
      if (!member.name().equals(view.self())) {
        others.add(member.address());
      }
    }
    return others;
  }

  void tick(long now, boolean wantsLease, View view) {
    leases.recordClients(now, clientsAccepted.getAsLong());
    leases.tick(now, wantsLease && !view.displaced(), others(view), outbox);
    notifyShareChange(now);
    pollDrainPermit(now, view);
  }

  void receive(long now, InetSocketAddress from, byte[] bytes, View view)
      throws InvalidDatagramException {
    leases.receive(now, from, codec.decode(bytes), outbox);
    notifyShareChange(now);
    pollDrainPermit(now, view);
  }

  /**
   * Requests the permit to drain.
   *
   * @param callback receives null if the permit is granted, otherwise the reason in one line,
   *     within a second
   */
  void requestDrainPermit(long now, View view, Consumer<String> callback) {
    if (permitCallback != null) {
      callback.accept("put off: asked already");
      return;
    }
    permitCallback = callback;
    completePermitRequest(leases.requestDrainPermit(now, others(view), outbox), view);
  }

  private void pollDrainPermit(long now, View view) {
    if (permitCallback != null) {
      completePermitRequest(leases.pollDrainPermit(now, others(view), outbox), view);
    }
  }

  private void completePermitRequest(DrainPermit permit, View view) {
    if (permit.status() != DrainPermit.Status.PENDING) {
      Consumer<String> callback = permitCallback;
      permitCallback = null;
      callback.accept(refusal(permit, view));
    }
  }

  /** Returns the reason in one line; null if the permit is granted. */
  private String refusal(DrainPermit permit, View view) {
    return switch (permit.status()) {
      case OTHER_DRAINS -> "put off: " + memberName(permit.otherRank(), view) + " leaves";
      case TOO_FEW_LEASES -> "put off: too few others could carry its clients";
      case NO_MAJORITY -> "put off: no majority of the fleet answers";
      default -> null;
    };
  }

  private String memberName(int rank, View view) {
    InetSocketAddress address = leases.addressOfRank(rank);
    for (Member member : view.members()) {
      if (member.address().equals(address)) {
        return member.name();
      }
    }
    return "rank " + rank;
  }

  void close(long now, View view) {
    if (permitCallback != null) {
      permitCallback.accept("put off: it ends");
      permitCallback = null;
    }
    leases.close(now, others(view), outbox);
    notifyShareChange(now);
  }

  private void notifyShareChange(long now) {
    BudgetShare share = leases.share(now);
    if (!share.equals(lastShare)) {
      lastShare = share;
      shareListener.accept(share);
    }
  }

  /** Returns the share that may be spent now. */
  BudgetShare share(long now) {
    return leases.share(now);
  }

  LeaseParticipant leases() {
    return leases;
  }
}
