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
 * This program among those that share the fleet's budgets. It takes nothing from membership but
 * addresses. For the loop's thread.
 */
final class BudgetSharing {
  private final LeaseParticipant seats;
  private final LeaseCodec codec;
  private final LongSupplier taken;
  private final Consumer<BudgetShare> told;
  private final LeaseOutbox outbox;
  private BudgetShare last;
  private Consumer<String> leaving;

  /**
   * @param base the part of the budgets that goes by the file's numbers
   * @param process by chance, new with each start
   * @param send a datagram to an address
   */
  BudgetSharing(
      ShareParticipant sharer,
      double base,
      String fleet,
      long process,
      long now,
      BiConsumer<InetSocketAddress, byte[]> send) {
    seats =
        new LeaseParticipant(
            LeaseSettings.withBaseShare(base), sharer.rank(), sharer.rankCount(), process, now);
    codec = new LeaseCodec(fleet);
    taken = sharer.clientsAccepted();
    told = sharer.shareListener();
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

  void beat(long now, boolean wants, View view) {
    seats.recordClients(now, taken.getAsLong());
    seats.tick(now, wants && !view.displaced(), others(view), outbox);
    tell(now);
    leave(now, view);
  }

  void heard(long now, InetSocketAddress from, byte[] bytes, View view)
      throws InvalidDatagramException {
    seats.receive(now, from, codec.decode(bytes), outbox);
    tell(now);
    leave(now, view);
  }

  /**
   * Asks the fleet whether this process may leave.
   *
   * @param then hears null where it may, and else in one line why not, within a second
   */
  void askToLeave(long now, View view, Consumer<String> then) {
    if (leaving != null) {
      then.accept("put off: asked already");
      return;
    }
    leaving = then;
    answer(seats.requestDrainPermit(now, others(view), outbox), view);
  }

  private void leave(long now, View view) {
    if (leaving != null) {
      answer(seats.pollDrainPermit(now, others(view), outbox), view);
    }
  }

  private void answer(DrainPermit known, View view) {
    if (known.status() != DrainPermit.Status.PENDING) {
      Consumer<String> then = leaving;
      leaving = null;
      then.accept(text(known, view));
    }
  }

  private String text(DrainPermit known, View view) {
    return switch (known.status()) {
      case OTHER_DRAINS -> "put off: " + name(known.otherRank(), view) + " leaves";
      case TOO_FEW_LEASES -> "put off: too few others could carry its clients";
      case NO_MAJORITY -> "put off: no majority of the fleet answers";
      default -> null;
    };
  }

  private String name(int rank, View view) {
    InetSocketAddress address = seats.addressOfRank(rank);
    for (Member member : view.members()) {
      if (member.address().equals(address)) {
        return member.name();
      }
    }
    return "rank " + rank;
  }

  void close(long now, View view) {
    if (leaving != null) {
      leaving.accept("put off: it ends");
      leaving = null;
    }
    seats.close(now, others(view), outbox);
    tell(now);
  }

  private void tell(long now) {
    BudgetShare part = seats.share(now);
    if (!part.equals(last)) {
      last = part;
      told.accept(part);
    }
  }

  /** What may be spent now. */
  BudgetShare part(long now) {
    return seats.share(now);
  }

  LeaseParticipant seats() {
    return seats;
  }
}
