package brassbank.grizzly;

import brassbank.log.Log;
import brassbank.net.Channel;
import brassbank.net.EventLoop;
import brassbank.net.InheritedSocketException;
import brassbank.net.Network;
import brassbank.sources.Clock;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.function.Consumer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.memory.ThreadLocalPool;
import org.glassfish.grizzly.memory.ThreadLocalPoolProvider;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.threadpool.DefaultWorkerThread;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * The operating system's sockets by Grizzly. Its one selector thread is the event loop's thread.
 */
public final class GrizzlyNetwork implements Network {
  private static final Log LOG = Log.of("net");

  private static final int READ_BUFFER_BYTES = 8 * 1024;
  private static final int ACCEPT_BACKLOG = 1024;

  private final Clock clock;
  private final EventLoopSelector selector;
  private final TCPNIOTransport transport;
  private final FilterChain connectedChain = chain(false, channel -> {});

  public GrizzlyNetwork(Clock clock) {
    this.clock = clock;
    selector = new EventLoopSelector(clock);
    transport =
        TCPNIOTransportBuilder.newInstance()
            .setSelectorRunnersCount(1)
            .setIOStrategy(new EventLoopIoStrategy(selector))
            .setSelectorHandler(selector)
            .setReuseAddress(true)
            .setTcpNoDelay(true)
            .setServerConnectionBackLog(ACCEPT_BACKLOG)
            .setReadBufferSize(READ_BUFFER_BYTES)
            .setSelectorThreadPoolConfig(oneThread())
            .build();
    transport.setName("net");
  }

  /**
   * Returns the configuration of the selector's thread. Grizzly's own thread factory builds the
   * name by string concatenation, whose first use in a process costs a tenth of the start-up time.
   */
  private static ThreadPoolConfig oneThread() {
    ThreadLocalPool<?> pool =
        MemoryManager.DEFAULT_MEMORY_MANAGER instanceof ThreadLocalPoolProvider provider
            ? provider.createThreadLocalPool()
            : null;
    return ThreadPoolConfig.defaultConfig()
        .setCorePoolSize(1)
        .setMaxPoolSize(1)
        .setThreadFactory(
            task -> new DefaultWorkerThread(Grizzly.DEFAULT_ATTRIBUTE_BUILDER, "net", pool, task));
  }

  private static FilterChain chain(boolean first, Consumer<Channel> accepted) {
    return FilterChainBuilder.stateless().add(new ChannelFilter(first, accepted)).build();
  }

  @Override
  public void start(EventLoop loop) throws IOException {
    selector.loop(loop);
    transport.start();
  }

  @Override
  public Listener listen(InetSocketAddress address, boolean first, Consumer<Channel> accepted)
      throws IOException {
    TCPNIOServerConnection server =
        TCPNIOBindingHandler.builder(transport)
            .processor(chain(first, accepted))
            .build()
            .bind(address);
    if (first) {
      EventLoopSelector.prioritize(server);
    }
    return on -> accepting(server, on);
  }

  private static void accepting(TCPNIOServerConnection server, boolean on) {
    try {
      if (on) {
        server.enableIOEvent(IOEvent.SERVER_ACCEPT);
      } else {
        server.disableIOEvent(IOEvent.SERVER_ACCEPT);
      }
    } catch (IOException e) {
      LOG.error("listener-failed", e);
    }
  }

  @Override
  public Listener inherit(Consumer<Channel> accepted) throws IOException {
    if (!(System.inheritedChannel() instanceof ServerSocketChannel)) {
      throw new InheritedSocketException("descriptor 0 is no listening socket");
    }
    return new InheritedListener(accepted);
  }

  /**
   * The listener on the inherited socket. Grizzly accepts from the moment it binds, so that binding
   * is deferred until the listener is first turned on. The socket is never closed: closing it would
   * make the runtime open /dev/null in place of descriptors 0 to 2.
   */
  private final class InheritedListener implements Listener {
    private final Consumer<Channel> accepted;
    private TCPNIOServerConnection server;

    InheritedListener(Consumer<Channel> accepted) {
      this.accepted = accepted;
    }

    @Override
    public void accepting(boolean on) {
      if (server != null) {
        GrizzlyNetwork.accepting(server, on);
      } else if (on) {
        try {
          server =
              TCPNIOBindingHandler.builder(transport)
                  .processor(chain(false, accepted))
                  .build()
                  .bindToInherited();
        } catch (IOException e) {
          LOG.error("listener-failed", e);
        }
      }
    }
  }

  @Override
  public Attempt connect(InetSocketAddress address, ConnectHandler handler) {
    ConnectAttempt attempt =
        new ConnectAttempt(
            selector,
            new ConnectAttempt.Handler() {
              @Override
              public void connected(Connection<?> connection) {
                handler.connected(GrizzlyChannel.create(connection));
              }

              @Override
              public void failed(Throwable cause) {
                handler.failed(cause instanceof IOException e ? e : new IOException(cause));
              }
            });
    attempt.start(transport, connectedChain, address);
    return attempt;
  }

  @Override
  public Attempt get(InetSocketAddress address, String path, ResponseHandler handler) {
    HttpCall call = new HttpCall(selector, address, path, handler);
    call.start(transport);
    return call;
  }

  /**
   * Does not use Grizzly's UDP transport, which would start threads of its own: datagrams are
   * received on the one selector thread.
   */
  @Override
  public Datagrams datagrams(InetSocketAddress address, DatagramHandler handler)
      throws IOException {
    return NioDatagrams.open(selector, address, handler);
  }

  @Override
  public void execute(Runnable task) {
    selector.execute(task);
  }

  @Override
  public int descriptors() {
    String[] open = new File("/proc/self/fd").list();
    return open == null ? -1 : open.length;
  }

  @Override
  public Clock clock() {
    return clock;
  }
}
