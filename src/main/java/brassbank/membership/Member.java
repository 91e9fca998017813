package brassbank.membership;

import java.net.InetSocketAddress;

/**
 * A member in one {@link View}.
 *
 * @param address the address on which the member receives datagrams
 * @param changedAtMicros when the state or the activity last changed in this process, in
 *     microseconds of the caller's clock
 */
public record Member(
    String name,
    InetSocketAddress address,
    String zone,
    Incarnation incarnation,
    State state,
    Activity activity,
    long changedAtMicros) {}
