package brassbank.grizzly;

import brassbank.net.Network;
import java.net.InetSocketAddress;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** One HTTP request and its response, by Grizzly's HTTP filters, on a connection of its own. */
final class HttpCall implements Network.Attempt, ConnectAttempt.Handler {
  private final InetSocketAddress address;
  private final String path;
  private final ConnectAttempt connect;

  /** Null once the call is over. */
  private Network.ResponseHandler handler;

  private Connection<?> connection;

  HttpCall(
      EventLoopSelector selector,
      InetSocketAddress address,
      String path,
      Network.ResponseHandler handler) {
    this.address = address;
    this.path = path;
    this.handler = handler;
    connect = new ConnectAttempt(selector, this);
  }

  void start(TCPNIOTransport transport) {
    FilterChain chain =
        FilterChainBuilder.stateless()
            .add(new TransportFilter())
            .add(new ResponseFilter())
            .add(new ContentFilter())
            .build();
    connect.start(transport, chain, address);
  }

  @Override
  public void connected(Connection<?> connected) {
    connection = connected;
    handler.connected();
    if (handler == null) {
      return;
    }
    String[] parts = path.split("\\?", 2);
    HttpRequestPacket request =
        HttpRequestPacket.builder()
            .method(Method.GET)
            .uri(parts[0])
            .query(parts.length > 1 ? parts[1] : null)
            .protocol(Protocol.HTTP_1_1)
            .header("Host", address.getAddress().getHostAddress() + ":" + address.getPort())
            .header("Accept", "application/json")
            .build();
    connection.write(request);
  }

  @Override
  public void failed(Throwable cause) {
    fail(String.valueOf(cause.getMessage()));
  }

  private void fail(String why) {
    Network.ResponseHandler last = handler;
    cancel();
    if (last != null) {
      last.failed(why);
    }
  }

  /** Closes the call's connection; the only place that does so. */
  @Override
  public void cancel() {
    handler = null;
    connect.cancel();
    if (connection != null) {
      connection.terminateSilently();
    }
  }

  private void deliver(HttpContent content) {
    Network.ResponseHandler receiver = handler;
    boolean last = content.isLast();
    if (last) {
      handler = null;
    }
    receiver.contentReceived(
        ((HttpResponsePacket) content.getHttpHeader()).getStatus(),
        content.getContent().toByteBuffer(),
        last);
    if (last) {
      cancel();
    }
  }

  /**
   * Grizzly's HTTP filter, which by itself passes a response on only once content has arrived: this
   * one reports the status as soon as the head is parsed.
   */
  private final class ResponseFilter extends HttpClientFilter {
    @Override
    protected boolean onHttpHeaderParsed(HttpHeader head, Buffer buffer, FilterChainContext ctx) {
      if (handler != null) {
        handler.statusReceived(((HttpResponsePacket) head).getStatus());
      }
      return super.onHttpHeaderParsed(head, buffer, ctx);
    }
  }

  /** The last filter of the chain: receives the pieces of the response from the HTTP filter. */
  private final class ContentFilter extends BaseFilter {
    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      if (handler != null) {
        deliver(ctx.getMessage());
      }
      return ctx.getStopAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      fail("the connection has ended");
      return ctx.getStopAction();
    }

    @Override
    public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
      fail(String.valueOf(error));
    }
  }
}
