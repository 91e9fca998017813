package brassbank.membership;

import java.net.InetSocketAddress;

/**
 * A member as one view has it.
 *
 * @param address where it takes datagrams
 * @param since when its state or what it does last changed here, in microseconds of the caller's
 *     clock
 */
public record Member(
    String name,
    InetSocketAddress address,
    String zone,
    Incarnation incarnation,
    State state,
    Activity activity,
    long changedAtMicros) {}
