package brassbank.grizzly;

import java.io.IOException;
import java.util.concurrent.Executor;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.IOStrategy;
import org.glassfish.grizzly.Transport;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Grizzly's same-thread strategy with two additions. Grizzly does not pass writable events to
 * filter chains, since it uses them for its own write queue; this strategy reports them to the
 * channel. And it lets timers run between two events when many events are ready at once.
 */
final class EventLoopIoStrategy implements IOStrategy {
  private final IOStrategy filterChains = SameThreadIOStrategy.getInstance();
  private final EventLoopSelector selector;

  EventLoopIoStrategy(EventLoopSelector selector) {
    this.selector = selector;
  }

  @Override
  @SuppressWarnings("rawtypes")
  public boolean executeIoEvent(Connection connection, IOEvent event) throws IOException {
    return executeIoEvent(connection, event, true);
  }

  @Override
  @SuppressWarnings("rawtypes")
  public boolean executeIoEvent(Connection connection, IOEvent event, boolean enabled)
      throws IOException {
    try {
      selector.beforeEvent();
      return deliver(connection, event, enabled);
    } catch (OutOfMemoryError e) {
      MemoryExhaustion.endProcess(e);
      throw e;
    }
  }

  @SuppressWarnings("rawtypes")
  private boolean deliver(Connection connection, IOEvent event, boolean enabled)
      throws IOException {
    GrizzlyChannel channel =
        event == IOEvent.WRITE ? GrizzlyChannel.of((Connection<?>) connection) : null;
    if (channel == null) {
      return filterChains.executeIoEvent(connection, event, enabled);
    }
    channel.writable();
    return true;
  }

  @Override
  @SuppressWarnings("rawtypes")
  public Executor getThreadPoolFor(Connection connection, IOEvent event) {
    return filterChains.getThreadPoolFor(connection, event);
  }

  @Override
  public ThreadPoolConfig createDefaultWorkerPoolConfig(Transport transport) {
    return filterChains.createDefaultWorkerPoolConfig(transport);
  }
}
