package brassbank.membership;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * How a program becomes a member.
 *
 * @param fleet its name; what comes from another fleet is dropped
 * @param listen where datagrams are taken, or null for the address that clients come to
 * @param advertised where the others meet it, or null for the same
 * @param seeds where others may be; all of them may be down, wrong or the program's own
 */
public record Joining(
    String fleet,
    InetSocketAddress listen,
    InetSocketAddress advertised,
    List<InetSocketAddress> seeds,
    Settings settings) {
  public Joining {
    seeds = List.copyOf(seeds);
  }

  /** The same for a program whose clients come to this address. */
  public Joining at(InetSocketAddress clients) {
    InetSocketAddress here = listen == null ? clients : listen;
    return new Joining(fleet, here, advertised == null ? here : advertised, seeds, settings);
  }
}
