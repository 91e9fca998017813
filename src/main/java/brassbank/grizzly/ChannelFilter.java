package brassbank.grizzly;

import brassbank.log.Log;
import brassbank.net.Channel;
import java.io.IOException;
import java.util.function.Consumer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;

/**
 * The filter of connections that are {@link Channel}s. It reports events without reading: the
 * channel's handler reads straight into its own buffer and can tell a reset from an end of stream,
 * which Grizzly's own read does not.
 */
final class ChannelFilter extends TransportFilter {
  private static final Log LOG = Log.of("channel");

  private final boolean first;
  private final Consumer<Channel> accepted;

  /**
   * @param first whether events of the accepted connections are delivered before others
   * @param accepted receives the connections that a listener with this filter accepts
   */
  ChannelFilter(boolean first, Consumer<Channel> accepted) {
    this.first = first;
    this.accepted = accepted;
  }

  @Override
  public NextAction handleAccept(FilterChainContext ctx) throws IOException {
    if (first) {
      EventLoopSelector.prioritize(ctx.getConnection());
    }
    accepted.accept(GrizzlyChannel.create(ctx.getConnection()));
    return ctx.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext ctx) {
    GrizzlyChannel channel = GrizzlyChannel.of(ctx.getConnection());
    if (channel != null) {
      channel.readable();
    }
    return ctx.getStopAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext ctx) throws IOException {
    GrizzlyChannel channel = GrizzlyChannel.of(ctx.getConnection());
    if (channel != null) {
      channel.broken();
    }
    return super.handleClose(ctx);
  }

  @Override
  public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
    LOG.error("connection-failed", error);
  }
}
