package brassbank.net;

import brassbank.log.Log;
import java.io.IOException;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;

/**
 * The filter of line connections. It reads straight into the link's own buffer, and so tells a
 * reset from an end, which Grizzly's own reading does not.
 */
final class LinkFilter extends TransportFilter {
  private static final Log LOG = Log.of("link");

  private final Net net;

  LinkFilter(Net net) {
    this.net = net;
  }

  @Override
  public NextAction handleAccept(FilterChainContext ctx) throws IOException {
    net.accepted(ctx.getConnection());
    return ctx.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext ctx) {
    Link link = Link.of(ctx.getConnection());
    if (link != null) {
      Loop.guarded(link::read);
    }
    return ctx.getStopAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext ctx) throws IOException {
    Link link = Link.of(ctx.getConnection());
    if (link != null) {
      Loop.guarded(link::broken);
    }
    return super.handleClose(ctx);
  }

  @Override
  public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
    LOG.error("a connection has failed", error);
  }
}
