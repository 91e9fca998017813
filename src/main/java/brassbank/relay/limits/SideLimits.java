package brassbank.relay.limits;

/**
 * The limits of a peer on one side of a session.
 *
 * @param maxQueuedBytes the most bytes queued for the peer; while that many are queued, the other
 *     side is not read
 * @param kernelBufferBytes the size of the kernel's send buffer, in addition to the queued bytes; 0
 *     leaves the size to the kernel
 * @param maxAgeMicros the longest time for which a byte may be queued
 * @param minBytesPerSecond the rate at which the peer must read while bytes are queued throughout;
 *     0 for no minimum
 * @param windowMicros the window over which the rate is measured
 * @param maxLineMicros the longest time from the start of a line until its end
 */
public record SideLimits(
    int maxQueuedBytes,
    int kernelBufferBytes,
    long maxAgeMicros,
    long minBytesPerSecond,
    long windowMicros,
    long maxLineMicros) {
  /**
   * @throws IllegalArgumentException if a limit is out of range
   */
  public SideLimits {
    if (maxQueuedBytes < 1
        || kernelBufferBytes < 0
        || maxAgeMicros < 1
        || minBytesPerSecond < 0
        || windowMicros < 1
        || maxLineMicros < 1) {
      throw new IllegalArgumentException(
          "a limit must be above 0; the kernel buffer and the rate may be 0");
    }
  }
}
