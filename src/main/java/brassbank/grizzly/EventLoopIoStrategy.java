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
 * Grizzly's strategy of one thread, but for two things. A filter chain never sees that a socket can
 * be written again, since Grizzly keeps that for its own write queue: a channel is told here. And
 * timers have their turn between two events, however many there are.
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
    selector.beforeEvent();
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
