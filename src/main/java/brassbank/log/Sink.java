package brassbank.log;

/** Takes events. It may not block for long: the thread that serves all connections calls it. */
@FunctionalInterface
public interface Sink {
  void accept(Event event);
}
