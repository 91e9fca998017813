package brassbank.load;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The command-line options of {@code load}; the defaults are those of the published figures. */
final class Options {
  @Option(
      names = "--start",
      paramLabel = "COMMAND",
      defaultValue = "exec sh deploy/serve.sh",
      description = "shell command that starts the proxy; default: ${DEFAULT-VALUE}")
  String startCommand;

  @Option(
      names = "--proxy",
      paramLabel = "HOST:PORT",
      description = "a proxy that already runs on a loopback address, instead of --start")
  String proxy;

  @Option(
      names = "--pid",
      paramLabel = "PID",
      description = "the process behind --proxy, for its memory and processor time")
  long pid;

  @Option(
      names = "--bare",
      description = "also measure a reference relay: one thread, plain sockets, no protocol")
  boolean withReferenceRelay;

  @Option(
      names = "--discovery-port",
      paramLabel = "PORT",
      defaultValue = "0",
      description = "port of the stub discovery service, for --proxy; default: a free port")
  int discoveryPort;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      defaultValue = "example/config.json",
      description = "base configuration for --start; default: ${DEFAULT-VALUE}")
  Path config;

  @Option(
      names = "--memory",
      paramLabel = "MIB",
      defaultValue = "192",
      description = "limits.memory_mb of that configuration; default: ${DEFAULT-VALUE}")
  int memoryMib;

  @Option(
      names = "--sockets",
      paramLabel = "N",
      defaultValue = "8192",
      description = "limits.sockets of that configuration; default: ${DEFAULT-VALUE}")
  int sockets;

  @Option(
      names = "--class",
      paramLabel = "NAME",
      defaultValue = "preview",
      description = "class of the flows; default: ${DEFAULT-VALUE}")
  String flowClass;

  @Option(
      names = "--tenant",
      paramLabel = "NAME",
      defaultValue = "kelvin-stone",
      description = "practice of the flows; default: ${DEFAULT-VALUE}")
  String tenant;

  @Option(
      names = "--deadline",
      paramLabel = "MS",
      defaultValue = "4000",
      description = "deadline of a set-up; default: ${DEFAULT-VALUE}")
  int deadlineMillis;

  @Option(
      names = "--hosts",
      paramLabel = "N",
      defaultValue = "8",
      description = "number of stub hosts; default: ${DEFAULT-VALUE}")
  int hosts;

  @Option(
      names = "--rounds",
      paramLabel = "N",
      defaultValue = "3",
      description =
          "measured rounds, reported as medians, after one warm-up round; default: ${DEFAULT-VALUE}")
  int rounds;

  @Option(
      names = "--seconds",
      paramLabel = "S",
      defaultValue = "3",
      description = "duration of a measurement; default: ${DEFAULT-VALUE}")
  double seconds;

  @Option(
      names = "--connections",
      paramLabel = "N",
      defaultValue = "16",
      description =
          "sessions of lines and open, concurrent set-ups of setup; default: ${DEFAULT-VALUE}")
  int connections;

  @Option(
      names = "--line-bytes",
      paramLabel = "N",
      defaultValue = "42",
      description =
          "length of a line with its CR LF, for lines, open and rtt; default: ${DEFAULT-VALUE}")
  int lineBytes;

  @Option(
      names = "--window",
      paramLabel = "N",
      defaultValue = "1",
      description = "unanswered lines per session, for lines and rtt; default: ${DEFAULT-VALUE}")
  int window;

  @Option(
      names = "--rate",
      paramLabel = "N",
      defaultValue = "10000",
      description =
          "lines a second over all sessions, for open and slow; default: ${DEFAULT-VALUE}")
  double linesPerSecond;

  @Option(
      names = "--bulk-connections",
      paramLabel = "N",
      defaultValue = "1",
      description = "sessions of bulk-up and bulk-down; default: ${DEFAULT-VALUE}")
  int bulkConnections;

  @Option(
      names = "--bulk-line-bytes",
      paramLabel = "N",
      defaultValue = "1024",
      description = "length of a bulk line with its CR LF; default: ${DEFAULT-VALUE}")
  int bulkLineBytes;

  @Option(
      names = "--chunk",
      paramLabel = "BYTES",
      defaultValue = "16384",
      description = "bytes per write of a bulk sender; default: ${DEFAULT-VALUE}")
  int chunkBytes;

  @Option(
      names = "--sessions",
      paramLabel = "N",
      defaultValue = "1000",
      description = "sessions of idle, and regular sessions of slow; default: ${DEFAULT-VALUE}")
  int sessions;

  @Option(
      names = "--slow",
      paramLabel = "N",
      defaultValue = "200",
      description = "clients of slow that read slowly; default: ${DEFAULT-VALUE}")
  int slowReaders;

  @Option(
      names = "--slow-writers",
      paramLabel = "N",
      defaultValue = "0",
      description = "clients of slow that slowly write a line without an end; default: none")
  int slowWriters;

  @Option(
      names = "--slow-hosts",
      paramLabel = "N",
      defaultValue = "0",
      description = "sessions of slow whose host writes slowly; default: none")
  int slowHosts;

  @Option(
      names = "--slow-rate",
      paramLabel = "B/S",
      defaultValue = "100",
      description =
          "bytes a second that slow clients and hosts read or write; default: ${DEFAULT-VALUE}")
  double slowBytesPerSecond;

  @Option(
      names = "--pour",
      paramLabel = "B/S",
      defaultValue = "20000",
      description =
          "bytes a second that a host sends to each slow reader; default: ${DEFAULT-VALUE}")
  double pourBytesPerSecond;

  @Option(
      names = "--seed",
      paramLabel = "N",
      defaultValue = "1",
      description = "random seed of the send times of open and slow; default: ${DEFAULT-VALUE}")
  long seed;

  @Option(names = "--json", description = "print the values of all rounds as JSON")
  boolean json;

  /** Returns a one-line description of the first invalid option, or null if all are valid. */
  String validationError() {
    if (lineBytes < LineLoad.MIN_LINE_BYTES || lineBytes > 4096) {
      return "--line-bytes must be " + LineLoad.MIN_LINE_BYTES + " to 4096";
    }
    if (bulkLineBytes < 16 || bulkLineBytes > 4096) {
      return "--bulk-line-bytes must be 16 to 4096";
    }
    if (!(seconds > 0 && seconds <= 3600) || !(linesPerSecond > 0 && linesPerSecond <= 1e6)) {
      return "--seconds must be above 0 and at most 3600, --rate at most 1000000";
    }
    if (!(slowBytesPerSecond > 0) || !(pourBytesPerSecond > 0)) {
      return "--slow-rate and --pour must be above 0";
    }
    int smallestCount = Math.min(Math.min(hosts, rounds), Math.min(connections, window));
    if (Math.min(
            smallestCount,
            Math.min(Math.min(bulkConnections, chunkBytes), Math.min(sessions, slowReaders)))
        < 1) {
      return "counts must be 1 or more";
    }
    if (slowWriters < 0 || slowHosts < 0) {
      return "--slow-writers and --slow-hosts must be 0 or more";
    }
    return null;
  }
}
