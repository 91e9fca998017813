package ashspar.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks which tenants hold more than their share of connections. A node sees only its own
 * connections of a tenant and assumes that the other nodes hold as many. Since clients are not
 * spread evenly over the nodes, a tenant is over its share only beyond a tolerance of {@link
 * #SLACK}.
 *
 * <p>Not thread-safe.
 */
public final class TenantShares {
  /**
   * The multiple of its share that a tenant may hold, since the nodes' counts are small and uneven.
   */
  private static final double SLACK = 1.25;

  /** With fewer own connections, the count is not conclusive. */
  private static final int MIN_CONNECTIONS = 4;

  private static final class Tenant {
    double share;
    double quotaConnections;
    int openConnections;
  }

  private final Map<String, Tenant> tenants = new HashMap<>();
  private double inverseShare = 1;
  private double overShareValue = 1;

  /**
   * Resets the shares but not the connections; new shares follow through {@link #configureTenant}.
   *
   * @param newInverseShare the number of nodes, or the inverse of this node's share
   */
  public void configure(double newInverseShare, double newOverShareValue) {
    inverseShare = newInverseShare;
    overShareValue = newOverShareValue;
    tenants.values().forEach(t -> t.quotaConnections = 0);
  }

  /** Sets the inverse of this node's share of the connections. */
  public void setInverseShare(double newInverseShare) {
    inverseShare = newInverseShare;
  }

  /**
   * Sets a tenant's share of the service, and the corresponding number of connections of all nodes,
   * 0 if unknown.
   */
  public void configureTenant(String name, double share, double connections) {
    Tenant tenant = tenants.computeIfAbsent(name, n -> new Tenant());
    tenant.share = share;
    tenant.quotaConnections = connections;
  }

  /** Records an opened connection; tenants without a configured share are not counted. */
  public void connectionOpened(String name) {
    Tenant tenant = name == null ? null : tenants.get(name);
    if (tenant != null) {
      tenant.openConnections++;
    }
  }

  /** Records a closed connection. */
  public void connectionClosed(String name) {
    Tenant tenant = name == null ? null : tenants.get(name);
    if (tenant != null && tenant.openConnections > 0) {
      tenant.openConnections--;
    }
  }

  /** Returns whether the tenant is configured. Any other name is arbitrary text from a client. */
  public boolean isConfigured(String name) {
    return name != null && tenants.containsKey(name);
  }

  /** Returns whether another connection would put the tenant over its share. */
  public boolean isOverShare(String name) {
    Tenant tenant = name == null ? null : tenants.get(name);
    return tenant != null
        && tenant.quotaConnections > 0
        && tenant.openConnections >= MIN_CONNECTIONS
        && (tenant.openConnections + 1) * inverseShare > SLACK * tenant.quotaConnections;
  }

  /** Returns the tenant's share; for an unknown tenant the smallest configured share, or 1. */
  public double share(String name) {
    Tenant tenant = name == null ? null : tenants.get(name);
    if (tenant != null && tenant.share > 0) {
      return tenant.share;
    }
    double smallest = 1;
    for (Tenant known : tenants.values()) {
      smallest = known.share > 0 ? Math.min(smallest, known.share) : smallest;
    }
    return smallest;
  }

  /** Returns the factor applied to the value of a request of a tenant over its share. */
  public double overShareValue() {
    return overShareValue;
  }
}
