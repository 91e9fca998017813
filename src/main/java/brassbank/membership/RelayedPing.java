package brassbank.membership;

import java.net.InetSocketAddress;

/**
 * A ping sent on behalf of another member.
 *
 * @param requester the address of the member that requested it
 * @param requesterSequence the sequence number of the request
 * @param nackAtMicros when a nack is sent unless the target has answered, in active time
 */
record RelayedPing(
    InetSocketAddress requester, int requesterSequence, String target, long nackAtMicros) {}
