package brassbank.decide;

/**
 * A client's request for a connection, independent of the client protocol.
 *
 * @param id a number that is unique in this proxy process
 * @param group the name of the group of flows that share work on a target, or null
 * @param remainingMicros how much longer the client waits for an answer
 * @param loadHint the client's estimate of its load, 0 for none
 * @param isRetry whether the client repeats a request that was not served
 * @param isReconnecting whether the client reconnects after it was moved
 * @param resumeTarget the target that held the connection before this proxy started, or null
 */
public record Flow(
    long id,
    String key,
    String flowClass,
    String tenant,
    String group,
    long remainingMicros,
    double loadHint,
    boolean isRetry,
    boolean isReconnecting,
    String resumeTarget) {}
