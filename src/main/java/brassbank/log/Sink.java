package brassbank.log;

/**
 * Receives log events. Implementations must not block for long: the event loop's thread, which
 * serves all connections, calls them.
 */
@FunctionalInterface
public interface Sink {
  /** Receives an event. */
  void accept(Event event);
}
