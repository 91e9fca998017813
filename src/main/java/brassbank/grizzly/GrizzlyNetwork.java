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

/** The kernel's sockets by Grizzly, with one selector thread, which is the loop's. */
public final class GrizzlyNetwork implements Network {
  private static final Log LOG = Log.of("net");

  private static final int READ_SIZE = 8 * 1024;
  private static final int BACKLOG = 1024;

  private final Clock clock;
  private final EventLoopSelector selector;
  private final TCPNIOTransport transport;
  private final FilterChain connected = chain(false, channel -> {});

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
            .setServerConnectionBackLog(BACKLOG)
            .setReadBufferSize(READ_SIZE)
            .setSelectorThreadPoolConfig(oneThread())
            .build();
    transport.setName("net");
  }

  /**
   * The selector's thread. Grizzly's own factory puts its name together, and the first such
   * concatenation in a program costs a tenth of the start.
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
    return new Inherited(accepted);
  }

  /**
   * Grizzly begins to accept as it binds: that is left until the listener is first turned on. It is
   * never closed, which would put /dev/null in the place of descriptors 0 to 2.
   */
  private final class Inherited implements Listener {
    private final Consumer<Channel> accepted;
    private TCPNIOServerConnection server;

    Inherited(Consumer<Channel> accepted) {
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
  public Attempt connect(InetSocketAddress address, ConnectHandler then) {
    ConnectAttempt dial =
        new ConnectAttempt(
            selector,
            new ConnectAttempt.Handler() {
              @Override
              public void connected(Connection<?> connection) {
                then.connected(GrizzlyChannel.on(connection));
              }

              @Override
              public void failed(Throwable cause) {
                then.failed(cause instanceof IOException e ? e : new IOException(cause));
              }
            });
    dial.start(transport, connected, address);
    return dial;
  }

  @Override
  public Attempt get(InetSocketAddress address, String path, ResponseHandler answer) {
    HttpCall call = new HttpCall(selector, address, path, answer);
    call.start(transport);
    return call;
  }

  /** Grizzly's own transport for datagrams has threads of its own: this has the one selector's. */
  @Override
  public Datagrams datagrams(InetSocketAddress address, DatagramHandler heard) throws IOException {
    return NioDatagrams.open(selector, address, heard);
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
