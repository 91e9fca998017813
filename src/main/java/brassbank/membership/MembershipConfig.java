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
 * @param base the part of the fleet's budgets that goes by the file's numbers; NaN where all of it
 *     does, and nothing is shared by who is there
 * @param askers how many proxies ask a host at least; 0 where all do
 */
public record MembershipConfig(
    String fleet,
    InetSocketAddress listen,
    InetSocketAddress advertised,
    List<InetSocketAddress> seeds,
    Settings settings,
    double baseShare,
    int minProxiesPerHost) {
  public MembershipConfig {
    seeds = List.copyOf(seeds);
  }

  /** Without shares and subsets. */
  public MembershipConfig(
      String fleet,
      InetSocketAddress listen,
      InetSocketAddress advertised,
      List<InetSocketAddress> seeds,
      Settings settings) {
    this(fleet, listen, advertised, seeds, settings, Double.NaN, 0);
  }

  /** Whether budgets are shared by who is there. */
  public boolean sharesBudgets() {
    return !Double.isNaN(baseShare);
  }

  /** The same with another base. */
  public MembershipConfig withBaseShare(double part) {
    return new MembershipConfig(
        fleet, listen, advertised, seeds, settings, part, minProxiesPerHost);
  }

  /** Whether each proxy asks a subset of the hosts. */
  public boolean usesSubsets() {
    return minProxiesPerHost > 0;
  }

  /** The same with so many proxies that ask a host at least. */
  public MembershipConfig withMinProxiesPerHost(int proxies) {
    return new MembershipConfig(fleet, listen, advertised, seeds, settings, baseShare, proxies);
  }

  /** The same for a program whose clients come to this address. */
  public MembershipConfig withDefaultAddress(InetSocketAddress clients) {
    InetSocketAddress here = listen == null ? clients : listen;
    InetSocketAddress met = advertised == null ? here : advertised;
    return new MembershipConfig(fleet, here, met, seeds, settings, baseShare, minProxiesPerHost);
  }
}
