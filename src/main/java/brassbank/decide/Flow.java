package brassbank.decide;

/**
 * A client's request for a connection, in no front's own form.
 *
 * @param id this proxy's own number for it, never used twice
 * @param group what the flow shares work with, or null
 * @param remainingMicros how long the client will still wait
 * @param loadHint a guess at its load, 0 for none
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
