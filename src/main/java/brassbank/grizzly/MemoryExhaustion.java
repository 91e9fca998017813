package brassbank.grizzly;

import brassbank.log.Log;

/**
 * Ends the process after an {@link OutOfMemoryError} on the selector thread. The error may have
 * interrupted any change of state, so that a process that went on would hold connections that it
 * does not serve.
 *
 * <p>The Java runtime itself ends the process when the heap or the metaspace is exhausted
 * (deploy/serve.sh). This class covers the errors that the class library throws, such as that for
 * direct memory, and a runtime that was started without that option.
 */
final class MemoryExhaustion {
  private static final Log LOG = Log.of("net");

  /** The same exit status as that of the Java runtime's {@code ExitOnOutOfMemoryError}. */
  static final int EXIT_STATUS = 3;

  private MemoryExhaustion() {}

  /** Logs the error and ends the process without its shutdown hooks. Does not return. */
  static void endProcess(OutOfMemoryError error) {
    try {
      LOG.error("out-of-memory", error);
    } finally {
      Runtime.getRuntime().halt(EXIT_STATUS);
    }
  }
}
