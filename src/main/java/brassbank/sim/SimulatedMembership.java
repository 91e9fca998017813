package brassbank.sim;

import brassbank.membership.MembershipConfig;
import brassbank.membership.Settings;
import brassbank.shares.LeaseSettings;
import brassbank.sim.fault.Plan;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;

/**
 * Membership settings of the proxies of a run in virtual time: they join by the addresses of the
 * first two proxies.
 */
final class SimulatedMembership {
  private static final int PORT = 7_070;
  private static final int SEEDS = 2;

  private SimulatedMembership() {}

  /**
   * Returns the settings for a plan. The first proxies' machines are 10.0.0.1 and 10.0.0.2 ({@code
   * World.machine}).
   */
  static MembershipConfig configFor(Plan plan) {
    List<InetSocketAddress> seeds = new ArrayList<>();
    for (int i = 1; i <= SEEDS; i++) {
      try {
        InetAddress address = InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) i});
        seeds.add(new InetSocketAddress(address, PORT));
      } catch (UnknownHostException e) {
        throw new IllegalStateException("four bytes are an address", e);
      }
    }
    MembershipConfig config =
        new MembershipConfig("simulated", null, null, seeds, Settings.DEFAULTS);
    config = plan.sharesBudgets() ? config.withBaseShare(LeaseSettings.DEFAULT_BASE_SHARE) : config;
    return plan.usesSubsets() ? config.withMinProxiesPerHost(plan.minProxiesPerHost()) : config;
  }
}
