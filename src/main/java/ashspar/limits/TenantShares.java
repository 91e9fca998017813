package ashspar.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Which tenants hold more than their share. A node sees its own part of a tenant's connections and
 * takes the others to see as much; since the fronts spread clients unevenly, a tenant is over only
 * where it passes its share by {@link #SLACK}.
 *
 * <p>For one thread at a time.
 */
public final class TenantShares {
  /** Own counts are small and the nodes' parts uneven: so many times the share is still within. */
  private static final double SLACK = 1.25;

  /** Below so many own connections a count says nothing. */
  private static final int MIN_CONNECTIONS = 4;

  private static final class Tenant {
    double share;
    double connections;
    int open;
  }

  private final Map<String, Tenant> tenants = new HashMap<>();
  private double inverseShare = 1;
  private double overShareValue = 1;

  /**
   * Forgets the shares, not the connections: new ones follow through {@link #configureTenant}.
   *
   * @param nodeCount how many nodes share, or the inverse of this one's part
   */
  public void configure(double nodeCount, double worthOverShare) {
    inverseShare = nodeCount;
    overShareValue = worthOverShare;
    tenants.values().forEach(t -> t.connections = 0);
  }

  /** This node's part of what tenants may hold has changed, to the inverse of this. */
  public void setInverseShare(double nodeCount) {
    inverseShare = nodeCount;
  }

  /**
   * A tenant's share of the service, and what that is in connections of all nodes; 0: not known.
   */
  public void configureTenant(String name, double share, double connections) {
    Tenant tenant = tenants.computeIfAbsent(name, n -> new Tenant());
    tenant.share = share;
    tenant.connections = connections;
  }

  /** A connection of the tenant stands from here on. One that is not known is counted nowhere. */
  public void connectionOpened(String name) {
    Tenant tenant = name == null ? null : tenants.get(name);
    if (tenant != null) {
      tenant.open++;
    }
  }

  /** A connection of the tenant has ended. */
  public void connectionClosed(String name) {
    Tenant tenant = name == null ? null : tenants.get(name);
    if (tenant != null && tenant.open > 0) {
      tenant.open--;
    }
  }

  /** Whether the settings name the tenant: any other name is but text of some client's. */
  public boolean isConfigured(String name) {
    return name != null && tenants.containsKey(name);
  }

  /** Whether one more connection of the tenant would be over its share. */
  public boolean isOverShare(String name) {
    Tenant tenant = name == null ? null : tenants.get(name);
    return tenant != null
        && tenant.connections > 0
        && tenant.open >= MIN_CONNECTIONS
        && (tenant.open + 1) * inverseShare > SLACK * tenant.connections;
  }

  /** The tenant's share; an unknown one's is that of the smallest known, or 1. */
  public double share(String name) {
    Tenant tenant = name == null ? null : tenants.get(name);
    if (tenant != null && tenant.share > 0) {
      return tenant.share;
    }
    double least = 1;
    for (Tenant known : tenants.values()) {
      least = known.share > 0 ? Math.min(least, known.share) : least;
    }
    return least;
  }

  /** What a connection over its tenant's share is worth, as a part of its class's worth. */
  public double overShareValue() {
    return overShareValue;
  }
}
