package brassbank.fleet;

import brassbank.membership.Member;
import brassbank.membership.View;
import brassbank.membership.wire.RefusedException;
import brassbank.shares.Leave;
import brassbank.shares.Part;
import brassbank.shares.SeatOutbox;
import brassbank.shares.SeatSettings;
import brassbank.shares.Seats;
import brassbank.shares.wire.SeatCodec;
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
final class Sharing {
  private final Seats seats;
  private final SeatCodec codec;
  private final LongSupplier taken;
  private final Consumer<Part> told;
  private final SeatOutbox outbox;
  private Part last;
  private Consumer<String> leaving;

  /**
   * @param base the part of the budgets that goes by the file's numbers
   * @param process by chance, new with each start
   * @param send a datagram to an address
   */
  Sharing(
      Sharer sharer,
      double base,
      String fleet,
      long process,
      long now,
      BiConsumer<InetSocketAddress, byte[]> send) {
    seats = new Seats(SeatSettings.of(base), sharer.rank(), sharer.of(), process, now);
    codec = new SeatCodec(fleet);
    taken = sharer.taken();
    told = sharer.told();
    outbox = (to, message) -> send.accept(to, codec.write(message));
  }

  private static List<InetSocketAddress> others(View view) {
    List<InetSocketAddress> others = new ArrayList<>();
    for (Member member : view.live()) {
      if (!member.name().equals(view.self())) {
        others.add(member.address());
      }
    }
    return others;
  }

  void beat(long now, boolean wants, View view) {
    seats.taken(now, taken.getAsLong());
    seats.beat(now, wants && !view.displaced(), others(view), outbox);
    tell(now);
    leave(now, view);
  }

  void heard(long now, InetSocketAddress from, byte[] bytes, View view) throws RefusedException {
    seats.receive(now, from, codec.read(bytes), outbox);
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
    answer(seats.askToLeave(now, others(view), outbox), view);
  }

  private void leave(long now, View view) {
    if (leaving != null) {
      answer(seats.leave(now, others(view), outbox), view);
    }
  }

  private void answer(Leave known, View view) {
    if (known.answer() != Leave.Answer.ASKED) {
      Consumer<String> then = leaving;
      leaving = null;
      then.accept(text(known, view));
    }
  }

  private String text(Leave known, View view) {
    return switch (known.answer()) {
      case OTHER_LEAVES -> "put off: " + name(known.other(), view) + " leaves";
      case TOO_FEW -> "put off: too few others could carry its clients";
      case NOBODY_ANSWERS -> "put off: no majority of the fleet answers";
      default -> null;
    };
  }

  private String name(int rank, View view) {
    InetSocketAddress address = seats.address(rank);
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
    Part part = seats.part(now);
    if (!part.equals(last)) {
      last = part;
      told.accept(part);
    }
  }

  /** What may be spent now. */
  Part part(long now) {
    return seats.part(now);
  }

  Seats seats() {
    return seats;
  }
}
