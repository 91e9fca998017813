package brassbank.gateway.link.frame;

/**
 * The first frame of each side.
 *
 * @param incarnation differs from one start of this gateway to the next: what an earlier one opened
 *     is void
 * @param sessions how many sessions the other side may have open on this link at a time
 */
public record Hello(Version version, GatewayName gateway, long incarnation, int sessions) {}
