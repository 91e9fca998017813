package brassbank.gateway.link.mux;

/**
 * An attempt of a flow, as it is sent over a link or comes over one. Its identity is the opener
 * with its incarnation, the flow and the attempt's number, so that a gateway which starts anew
 * under the same name means other flows by the same numbers.
 *
 * @param incarnation that of the opener
 * @param flow the opener's own number, never used again in its incarnation
 * @param number which attempt of the flow this is, from 1
 * @param attempts how many attempts the far side may make of it, one after the other
 * @param leaseMicros how long it may be out unless the opener keeps it; on the far side, what is
 *     left of that
 * @param deadlineMicros how long the client waits for its answer; on the far side, what is left
 * @param line the client's first line without its end
 */
public record Attempt(
    long incarnation,
    long flow,
    int number,
    int attempts,
    long leaseMicros,
    long deadlineMicros,
    String line) {}
