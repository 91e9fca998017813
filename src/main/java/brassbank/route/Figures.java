package brassbank.route;

import java.util.Map;

/**
 * What a gateway has done since its start, as plain values.
 *
 * @param routes flows by where they went and why
 * @param ends crossings that ended without service, as the near side was told, by cause
 * @param refusals guests that this side turned away or gave up, by cause
 * @param served crossings that were served
 * @param guests guests that this side admitted
 * @param crossingsOut crossings that await an answer now
 * @param guestsHeld guests that are out or stand here now
 * @param restarts crossings that ended with the far gateway's life
 * @param proved crossings whose lease the far clock was heard to have passed, without another word
 * @param unproved crossings that were answered at the end of their lease, without proof of their
 *     end
 * @param leaseWait microseconds that those two kinds waited, together
 * @param voids answers that came for crossings which had ended
 * @param losses links that were lost unannounced
 * @param suppressed links that are damped now
 */
public record Figures(
    Map<Reason, Long> routes,
    Map<Message.End, Long> ends,
    Map<Message.End, Long> refusals,
    long served,
    long guests,
    int crossingsOut,
    int guestsHeld,
    long restarts,
    long proved,
    long unproved,
    long leaseWait,
    long voids,
    long losses,
    int suppressed) {}
