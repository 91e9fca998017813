package brassbank.management;

import java.util.function.Consumer;

/**
 * The operations that operators can request of the proxy. All methods run on the event loop's
 * thread and must not block.
 */
public interface ManagementOperations {
  /**
   * The result of an operation.
   *
   * @param success whether the queried condition holds, or the operation is being carried out
   * @param text one line for a person
   */
  record Result(boolean success, String text) {}

  /** Returns whether this process accepts clients. */
  Result status();

  /** Moves the clients away and enters standby. Has no effect on a proxy that already does so. */
  Result enterStandby();

  /**
   * Enters standby once the other members of the fleet permit it.
   *
   * @param callback receives the result within a second, on the event loop's thread
   * @return whether the fleet was asked for permission; if false, the callback is not used and
   *     {@link #enterStandby} gives the result
   */
  default boolean requestStandby(Consumer<Result> callback) {
    return false;
  }

  /**
   * Returns the membership view of this process as JSON in ASCII, or null if the proxy is in no
   * fleet.
   */
  default String membersJson() {
    return null;
  }

  /** Accepts clients again. Has no effect on a proxy that already does so. */
  Result activate();
}
