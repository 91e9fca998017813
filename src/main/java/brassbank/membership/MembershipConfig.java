package brassbank.membership;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The configuration of this process as a fleet member.
 *
 * @param fleet the fleet's name; datagrams of other fleets are dropped
 * @param listen the address on which datagrams are received, or null for the client address
 * @param advertised the address that other members send to, or null for {@code listen}
 * @param seeds addresses of possible members; any of them may be unreachable, wrong or this
 *     process's own
 * @param settings the protocol parameters
 * @param baseShare the fraction of the fleet's budgets that is divided evenly by the configured
 *     fleet size; NaN if the whole budget is, and no share depends on the live members
 * @param minProxiesPerHost the minimum number of proxies that probe each host; 0 if all proxies do
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

  /** Creates a configuration without budget shares and subsets. */
  public MembershipConfig(
      String fleet,
      InetSocketAddress listen,
      InetSocketAddress advertised,
      List<InetSocketAddress> seeds,
      Settings settings) {
    this(fleet, listen, advertised, seeds, settings, Double.NaN, 0);
  }

  /** Returns whether budgets are divided among the live members. */
  public boolean sharesBudgets() {
    return !Double.isNaN(baseShare);
  }

  /** Returns a copy with another base share. */
  public MembershipConfig withBaseShare(double share) {
    return new MembershipConfig(
        fleet, listen, advertised, seeds, settings, share, minProxiesPerHost);
  }

  /** Returns whether each proxy probes a subset of the hosts. */
  public boolean usesSubsets() {
    return minProxiesPerHost > 0;
  }

  /** Returns a copy with another minimum number of proxies per host. */
  public MembershipConfig withMinProxiesPerHost(int proxies) {
    return new MembershipConfig(fleet, listen, advertised, seeds, settings, baseShare, proxies);
  }

  /**
   * Returns a copy with both addresses set.
   *
   * @param clients the address on which clients connect, the default for {@code listen}
   */
  public MembershipConfig withDefaultAddress(InetSocketAddress clients) {
    InetSocketAddress listenAddress = listen == null ? clients : listen;
    InetSocketAddress advertisedAddress = advertised == null ? listenAddress : advertised;
    return new MembershipConfig(
        fleet, listenAddress, advertisedAddress, seeds, settings, baseShare, minProxiesPerHost);
  }
}
