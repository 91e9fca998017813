package brassbank.relay.limits;

/**
 * What a peer on one side of a session may do.
 *
 * @param maxQueuedBytes the most bytes that wait for it; while so many do, the other side is not
 *     read
 * @param kernelBufferBytes bytes that the kernel may keep for it beside those; 0 leaves that to the
 *     kernel
 * @param maxAgeMicros the longest that a byte may wait for it
 * @param minBytesPerSecond the least it must read while bytes wait for it all the time, in bytes a
 *     second; 0 asks for nothing
 * @param windowMicros the span over which {@code rate} is measured
 * @param maxLineMicros the longest it may take for a line that it has begun
 */
public record SideLimits(
    int maxQueuedBytes,
    int kernelBufferBytes,
    long maxAgeMicros,
    long minBytesPerSecond,
    long windowMicros,
    long maxLineMicros) {
  /** Throws IllegalArgumentException where a figure cannot be meant. */
  public SideLimits {
    if (maxQueuedBytes < 1
        || kernelBufferBytes < 0
        || maxAgeMicros < 1
        || minBytesPerSecond < 0
        || windowMicros < 1
        || maxLineMicros < 1) {
      throw new IllegalArgumentException("a limit must be above 0");
    }
  }
}
