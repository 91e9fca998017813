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
import brassbank.relay.limits.QueueMemory;
import brassbank.sources.Clock;
import brassbank.sources.SystemClock;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs one proxy from its start to its planned stop. The calling thread waits for SIGHUP; sockets
 * and decisions are handled on the selector thread.
 */
@Command(
    name = "serve",
    description = "Run one proxy in the foreground until SIGTERM.",
    footer = {
      "",
      "LB_CONFIG names the configuration, a JSON file; LB_NAME, LB_LISTEN and LB_DISCOVERY"
          + " override its values. The log goes to standard error.",
      "",
      "SIGHUP reloads the files; connections stay open. SIGTERM starts a planned stop: clients are"
          + " moved one after another, as late as possible, then the program ends with status 0.",
      "LB_LISTEN_FD=0 accepts clients on the listening socket inherited as descriptor 0, see"
          + " docs/handover.md.",
      "An unusable configuration ends it with status 2, an address that cannot be listened on"
          + " with status 1."
    })
final class ServeCommand implements Callable<Integer> {
  private static final Log LOG = Log.of("main");

  /** The environment variable that sets the log format unless {@code --log} is given. */
  private static final String LOG_FORMAT_VARIABLE = "BRASSBANK_LOG";

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description =
          "A TOML file with options beyond the platform's JSON, see docs/configuration.md;"
              + " 'check FILE' reports its problems.")
  private Path optionsFile;

  @Option(
      names = "--log",
      paramLabel = "FORMAT",
      description =
          "The log format: ${COMPLETION-CANDIDATES}; by default the one that BRASSBANK_LOG"
              + " names, else text.")
  private Format logFormat;

  /**
   * Serves until the program receives SIGTERM, whose shutdown hook ends the program on another
   * thread. Returns only if the proxy cannot start.
   */
  @Override
  public Integer call() {
    HangupSignal hangup = HangupSignal.install();
    Format format = logFormat == null ? Format.named(logFormatName()) : logFormat;
    if (format == null) {
      System.err.println(
          "brassbank: "
              + LOG_FORMAT_VARIABLE
              + " is neither text nor json: '"
              + logFormatName()
              + "'");
      return ExitStatus.USAGE;
    }
    Clock clock = new SystemClock();
    Log.install(new Console(System.err, format, clock));
    OptionsLoader optionsLoader = new OptionsLoader(optionsFile);
    Config config;
    OptionsLoader.Loaded options;
    try {
      config = Config.read(System.getenv());
      options = optionsLoader.read(config);
    } catch (ConfigException e) {
      System.err.println("brassbank: " + e.getMessage());
      return ExitStatus.USAGE;
    } catch (OptionsLoader.UnusableException e) {
      e.problems().forEach(System.err::println);
      return ExitStatus.USAGE;
    }
    if (!System.getProperty("java.vm.info", "").contains("sharing")) {
      LOG.warn("archive-unused");
    }
    if (hangup.isIgnored()) {
      LOG.warn("hangup-ignored");
    }
    Proxy proxy =
        new Proxy(
            config,
            options.relay(),
            QueueMemory.ofHeap(Runtime.getRuntime().maxMemory()),
            options.membership(),
            new GrizzlyNetwork(clock));
    // Registered before the first client can connect: a SIGTERM in between would end the program
    // without a drain.
    Thread stop = new Thread(() -> stop(proxy), "stop");
    Runtime.getRuntime().addShutdownHook(stop);
    try {
      proxy.start();
    } catch (InheritedSocketException e) {
      removeHook(stop);
      System.err.println("brassbank: LB_LISTEN_FD: " + e.getMessage());
      return ExitStatus.USAGE;
    } catch (IOException | RuntimeException e) {
      removeHook(stop);
      System.err.println("brassbank: cannot serve on " + config.listen() + ": " + e.getMessage());
      return ExitStatus.FAILED;
    }
    LOG.info("serving", value("name", config.name()), value("listen", config.listen()));
    if (config.handover() != null) {
      startHandover(proxy, config, clock);
    }
    try {
      while (true) {
        hangup.await();
        config = reload(proxy, optionsLoader, config);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return ExitStatus.OK;
  }

  /** Removes the shutdown hook of a proxy that could not start and therefore has no clients. */
  private static void removeHook(Thread stop) {
    try {
      Runtime.getRuntime().removeShutdownHook(stop);
    } catch (IllegalStateException e) {
      // A signal has arrived in the meantime, and the shutdown is in progress.
      LOG.info("stopping-unstarted");
    }
  }

  /**
   * Starts the handover. A proxy that cannot use the lock file accepts clients nevertheless,
   * without coordinating with other processes.
   */
  private static void startHandover(Proxy proxy, Config config, Clock clock) {
    try {
      Handover.start(
          config.handover(),
          new Handover.Process() {
            @Override
            public boolean isReadyToServe(boolean noneAccepting) {
              return proxy.isReadyToServe(noneAccepting);
            }

            @Override
            public void setAccepting(boolean accepting, Runnable done) {
              proxy.setAccepting(accepting, done);
            }

            @Override
            public void captureState(Consumer<HandoverState> consumer) {
              proxy.captureState(consumer);
            }

            @Override
            public void updatePredecessor(long number, HandoverState state) {
              proxy.updatePredecessor(number, state);
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

  private static String logFormatName() {
    return System.getenv().getOrDefault(LOG_FORMAT_VARIABLE, "text");
  }

  /**
   * Reloads the files after SIGHUP. They are read on the calling thread, so that the selector
   * thread never waits for a disk.
   *
   * @return the configuration in force from now on
   */
  private static Config reload(Proxy proxy, OptionsLoader optionsLoader, Config current) {
    try {
      Config next = Config.reread(System.getenv(), current);
      OptionsLoader.Loaded options = optionsLoader.read(next);
      proxy.reload(next, options.relay(), options.membership());
      return next;
    } catch (ConfigException e) {
      LOG.warn("reload-refused", value("reason", e.getMessage()));
    } catch (OptionsLoader.UnusableException e) {
      e.problems().forEach(problem -> LOG.warn("reload-refused", value("reason", problem)));
    } catch (RuntimeException e) {
      // No content of a file may end a program that is serving.
      LOG.warn("reload-refused", value("reason", e));
    }
    return current;
  }

  /**
   * Drains the proxy after SIGTERM. The runtime waits for this shutdown hook while the selector
   * thread continues to serve.
   */
  private static void stop(Proxy proxy) {
    try {
      LOG.info("stopping");
      proxy.drain();
      LOG.info("stopped");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    // Reports success; the exit status of the signal itself would look like a failure.
    Runtime.getRuntime().halt(ExitStatus.OK);
  }
}
