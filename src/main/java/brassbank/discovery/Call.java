package brassbank.discovery;

import brassbank.net.LineBuffer;
import brassbank.net.Loop;
import brassbank.net.Net;
import java.net.InetSocketAddress;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.utils.Charsets;

/** One HTTP call whose answer is read line by line, as it comes. It owns its connection. */
final class Call implements Net.Connected<Connection<?>> {
  /** Far more than a list of targets needs, and far less than the memory there is. */
  private static final int LONGEST_LINE = 1 << 20;

  private static final int OK = 200;

  /** Who is told of the answer. */
  interface Listener {
    void line(String line);

    /** The call is over: {@code why} is empty where its answer came whole. Told once. */
    void ended(String why);
  }

  private final Net net;
  private final String path;
  private final LineBuffer buffer = new LineBuffer(LONGEST_LINE);
  private Listener listener;
  private InetSocketAddress address;
  private long silenceMicros;
  private Net.Connecting connecting;
  private Connection<?> connection;
  private Loop.Timer limit;

  Call(Net net, String path, Listener listener) {
    this.net = net;
    this.path = path;
    this.listener = listener;
  }

  void start(InetSocketAddress to, long connectMicros, long answerMicros, long silence) {
    address = to;
    silenceMicros = silence;
    FilterChain chain =
        FilterChainBuilder.stateless()
            .add(new TransportFilter())
            .add(new HttpClientFilter())
            .add(new Answer())
            .build();
    limit = net.loop().after(answerMicros, () -> fail("no answer in time"));
    connecting = net.connect(chain, address, connectMicros, this);
  }

  @Override
  public void up(Connection<?> connected) {
    connection = connected;
    HttpRequestPacket request =
        HttpRequestPacket.builder()
            .method(Method.GET)
            .uri(path.split("\\?")[0])
            .query(path.contains("?") ? path.split("\\?")[1] : null)
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

  void fail(String why) {
    Listener told = listener;
    cancel();
    if (told != null) {
      told.ended(why);
    }
  }

  /** The one place where the call's connection and timer are given back. */
  void cancel() {
    listener = null;
    limit.cancel();
    if (connection != null) {
      connection.terminateSilently();
    } else if (connecting != null) {
      connecting.cancel();
    }
  }

  private void content(HttpContent content) {
    HttpResponsePacket response = (HttpResponsePacket) content.getHttpHeader();
    if (response.getStatus() != OK) {
      fail("status " + response.getStatus());
      return;
    }
    limit.cancel();
    limit = net.loop().after(silenceMicros, () -> fail("silent"));
    buffer.append(content.getContent().toByteBuffer());
    boolean last = content.isLast();
    if (last) {
      buffer.append(Charsets.ASCII_CHARSET.encode("\n"));
    }
    for (String line = buffer.nextLine();
        line != null && listener != null;
        line = buffer.nextLine()) {
      listener.line(line);
    }
    buffer.passFromHere();
    if (buffer.overlong()) {
      fail("a line that is too long");
    } else if (last) {
      fail("");
    }
  }

  /** The end of the chain: takes the parts of the answer as the HTTP filter finds them. */
  private final class Answer extends BaseFilter {
    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      HttpContent content = ctx.getMessage();
      if (listener != null) {
        content(content);
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
