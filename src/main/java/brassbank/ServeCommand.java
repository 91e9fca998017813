package brassbank;

import static brassbank.log.Field.value;

import brassbank.cli.ExitStatus;
import brassbank.config.Config;
import brassbank.config.ConfigException;
import brassbank.grizzly.GrizzlyNetwork;
import brassbank.handover.Handover;
import brassbank.handover.HandoverState;
import brassbank.log.Console;
import brassbank.log.Format;
import brassbank.log.Log;
import brassbank.net.InheritedSocketException;
import brassbank.proxy.Proxy;
import brassbank.sources.Clock;
import brassbank.sources.SystemClock;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The proxy, from its start to its planned stop. The thread that calls it waits for SIGHUP; sockets
 * and decisions have the selector thread.
 */
@Command(
    name = "serve",
    description = "Run one proxy in the foreground until SIGTERM.",
    footer = {
      "",
      "LB_CONFIG names the configuration, a JSON file; LB_NAME, LB_LISTEN and LB_DISCOVERY go"
          + " before its values. The log goes to standard error.",
      "",
      "SIGHUP reads the files again while connections stand. SIGTERM is a planned stop: clients are"
          + " moved late, one after the other, then the program ends with status 0.",
      "LB_LISTEN_FD=0 takes clients from the listening socket inherited as descriptor 0, see"
          + " docs/handover.md.",
      "A configuration that cannot be used ends it with status 2, an address that cannot be"
          + " listened on with status 1."
    })
final class ServeCommand implements Callable<Integer> {
  private static final Log LOG = Log.of("main");

  /** The variable that names the log's form where no option does. */
  private static final String FORMAT = "BRASSBANK_LOG";

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description =
          "A TOML file of what the platform's JSON does not know, see docs/configuration.md;"
              + " 'check FILE' tells all that is wrong with one.")
  private Path options;

  @Option(
      names = "--log",
      paramLabel = "FORMAT",
      description =
          "The form of the log's lines: ${COMPLETION-CANDIDATES}; else as BRASSBANK_LOG"
              + " says, else text.")
  private Format log;

  /** Serves until the program is told to stop, which ends it from another thread. */
  @Override
  public Integer call() {
    Hangup hangup = Hangup.taken();
    Format format = log == null ? Format.named(named()) : log;
    if (format == null) {
      System.err.println("brassbank: " + FORMAT + " is neither text nor json: '" + named() + "'");
      return ExitStatus.USAGE;
    }
    Clock clock = new SystemClock();
    Log.install(new Console(System.err, format, clock));
    OwnOptions own = new OwnOptions(options);
    Config config;
    OwnOptions.Said said;
    try {
      config = Config.read(System.getenv());
      said = own.read(config);
    } catch (ConfigException e) {
      System.err.println("brassbank: " + e.getMessage());
      return ExitStatus.USAGE;
    } catch (OwnOptions.UnusableException e) {
      e.problems().forEach(System.err::println);
      return ExitStatus.USAGE;
    }
    if (!System.getProperty("java.vm.info", "").contains("sharing")) {
      LOG.warn("archive-unused");
    }
    if (hangup.ignored()) {
      LOG.warn("hangup-ignored");
    }
    Proxy proxy = new Proxy(config, said.relay(), said.joining(), new GrizzlyNetwork(clock));
    // Before the first client can come: a signal between the two would end the program at once.
    Thread stop = new Thread(() -> stop(proxy), "stop");
    Runtime.getRuntime().addShutdownHook(stop);
    try {
      proxy.start();
    } catch (InheritedSocketException e) {
      withdraw(stop);
      System.err.println("brassbank: LB_LISTEN_FD: " + e.getMessage());
      return ExitStatus.USAGE;
    } catch (IOException | RuntimeException e) {
      withdraw(stop);
      System.err.println("brassbank: cannot serve on " + config.listen() + ": " + e.getMessage());
      return ExitStatus.FAILED;
    }
    LOG.info("serving", value("name", config.name()), value("listen", config.listen()));
    if (config.handover() != null) {
      succeed(proxy, config, clock);
    }
    try {
      while (true) {
        hangup.await();
        config = reload(proxy, own, config);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return ExitStatus.OK;
  }

  /** A program that could not start has nobody to send away. */
  private static void withdraw(Thread stop) {
    try {
      Runtime.getRuntime().removeShutdownHook(stop);
    } catch (IllegalStateException e) {
      // The signal has come meanwhile: the end is under way.
      LOG.info("stopping-unstarted");
    }
  }

  /** Without the file of locks the proxy serves all the same, and no upgrade is seen. */
  private static void succeed(Proxy proxy, Config config, Clock clock) {
    try {
      Handover.start(
          config.handover(),
          new Handover.Process() {
            @Override
            public boolean isReadyToServe(boolean first) {
              return proxy.isReadyToServe(first);
            }

            @Override
            public void setAccepting(boolean on, Runnable done) {
              proxy.setAccepting(on, done);
            }

            @Override
            public void captureState(Consumer<HandoverState> told) {
              proxy.captureState(told);
            }

            @Override
            public void updatePredecessor(long number, HandoverState holding) {
              proxy.updatePredecessor(number, holding);
            }
          },
          clock);
    } catch (IOException e) {
      LOG.error("handover-impossible", e);
      proxy.setAccepting(true, () -> {});
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String named() {
    return System.getenv().getOrDefault(FORMAT, "text");
  }

  /**
   * SIGHUP: the file is read here, so that the selector thread never waits for a disk.
   *
   * @return the configuration that holds from here on
   */
  private static Config reload(Proxy proxy, OwnOptions own, Config inForce) {
    try {
      Config next = Config.reread(System.getenv(), inForce);
      OwnOptions.Said said = own.read(next);
      proxy.reload(next, said.relay(), said.joining());
      return next;
    } catch (ConfigException e) {
      LOG.warn("reload-refused", value("reason", e.getMessage()));
    } catch (OwnOptions.UnusableException e) {
      e.problems().forEach(problem -> LOG.warn("reload-refused", value("reason", problem)));
    } catch (RuntimeException e) {
      // Whatever a file holds, it must not end a program that serves.
      LOG.warn("reload-refused", value("reason", e));
    }
    return inForce;
  }

  /** SIGTERM: the runtime waits for this hook, while the selector thread goes on serving. */
  private static void stop(Proxy proxy) {
    try {
      LOG.info("stopping");
      proxy.drain();
      LOG.info("stopped");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    // The status of a stop as planned, where the signal's own would look like a failure.
    Runtime.getRuntime().halt(ExitStatus.OK);
  }
}
