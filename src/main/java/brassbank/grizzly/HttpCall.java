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

/** One HTTP call by Grizzly's HTTP filters. It owns its connection. */
final class HttpCall implements Network.Attempt, ConnectAttempt.Handler {
  private final InetSocketAddress address;
  private final String path;
  private final ConnectAttempt dial;

  /** Null once the call is over. */
  private Network.ResponseHandler answer;

  private Connection<?> connection;

  HttpCall(
      EventLoopSelector selector,
      InetSocketAddress address,
      String path,
      Network.ResponseHandler answer) {
    this.address = address;
    this.path = path;
    this.answer = answer;
    dial = new ConnectAttempt(selector, this);
  }

  void start(TCPNIOTransport transport) {
    FilterChain chain =
        FilterChainBuilder.stateless()
            .add(new TransportFilter())
            .add(new ResponseFilter())
            .add(new ContentFilter())
            .build();
    dial.start(transport, chain, address);
  }

  @Override
  public void connected(Connection<?> connected) {
    connection = connected;
    answer.connected();
    if (answer == null) {
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
    Network.ResponseHandler told = answer;
    cancel();
    if (told != null) {
      told.failed(why);
    }
  }

  /** The one place where the call's connection is given back. */
  @Override
  public void cancel() {
    answer = null;
    dial.cancel();
    if (connection != null) {
      connection.terminateSilently();
    }
  }

  private void content(HttpContent content) {
    Network.ResponseHandler told = answer;
    boolean last = content.isLast();
    if (last) {
      answer = null;
    }
    told.contentReceived(
        ((HttpResponsePacket) content.getHttpHeader()).getStatus(),
        content.getContent().toByteBuffer(),
        last);
    if (last) {
      cancel();
    }
  }

  /** The HTTP filter, which by itself tells of an answer only once content has come. */
  private final class ResponseFilter extends HttpClientFilter {
    @Override
    protected boolean onHttpHeaderParsed(HttpHeader head, Buffer buffer, FilterChainContext ctx) {
      if (answer != null) {
        answer.statusReceived(((HttpResponsePacket) head).getStatus());
      }
      return super.onHttpHeaderParsed(head, buffer, ctx);
    }
  }

  /** The end of the chain: takes the parts of the answer as the HTTP filter finds them. */
  private final class ContentFilter extends BaseFilter {
    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      if (answer != null) {
        content(ctx.getMessage());
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
