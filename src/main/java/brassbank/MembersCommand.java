package brassbank;

import brassbank.cli.ExitStatus;
import brassbank.cli.UsageException;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints the members of a fleet as one proxy sees them, queried at its management address. */
@Command(
    name = "members",
    description = "Print the members that a proxy sees in its fleet.",
    footer = {
      "",
      "Status 1: there is no answer, or the proxy keeps no view. docs/membership.md explains the"
          + " states."
    })
final class MembersCommand implements Callable<Integer> {
  private static final int TIMEOUT_MILLIS = 3_000;
  private static final long WATCH_INTERVAL_NANOS = 1_000_000_000L;
  private static final Pattern ADDRESS = Pattern.compile("(.+):(\\d{1,5})");
  private static final Pattern RESPONSE =
      Pattern.compile("HTTP/1\\.1 (\\d{3})[^\\r]*\\r\\n.*?\\r\\n\\r\\n(.*)", Pattern.DOTALL);

  @Parameters(paramLabel = "HOST:PORT", description = "The management address of the proxy.")
  private String managementAddress;

  @Option(names = "--json", description = "Print the proxy's answer unchanged, with its counters.")
  private boolean json;

  @Option(names = "--watch", description = "Repeat each second until Ctrl-C.")
  private boolean watch;

  private final PrintStream out = System.out;

  /** Thrown if the proxy answers with anything but a view. */
  private static final class NoViewException extends Exception {
    private static final long serialVersionUID = 1L;

    NoViewException(String message) {
      super(message);
    }
  }

  @Override
  public Integer call() {
    Matcher parts = ADDRESS.matcher(managementAddress);
    if (!parts.matches() || Integer.parseInt(parts.group(2)) > 0xffff) {
      throw new UsageException("'" + managementAddress + "' is not of the form HOST:PORT");
    }
    InetSocketAddress address =
        new InetSocketAddress(
            parts.group(1).replaceAll("[\\[\\]]", ""), Integer.parseInt(parts.group(2)));
    while (true) {
      int status = printView(address);
      if (!watch) {
        return status;
      }
      out.println();
      LockSupport.parkNanos(WATCH_INTERVAL_NANOS);
    }
  }

  private int printView(InetSocketAddress address) {
    try {
      String text = fetchView(address);
      if (json) {
        out.println(text);
      } else {
        print(JsonParser.parseString(text).getAsJsonObject());
      }
      return ExitStatus.OK;
    } catch (IOException | NoViewException e) {
      System.err.println("brassbank members: " + managementAddress + ": " + e.getMessage());
    } catch (JsonParseException | IllegalStateException | NullPointerException e) {
      System.err.println(
          "brassbank members: " + managementAddress + ": the answer is not a membership view");
    }
    return ExitStatus.FAILED;
  }

  private static String fetchView(InetSocketAddress address) throws IOException, NoViewException {
    if (address.isUnresolved()) {
      throw new IOException("unknown host");
    }
    try (Socket socket = new Socket()) {
      socket.connect(address, TIMEOUT_MILLIS);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket
          .getOutputStream()
          .write(
              "GET /members HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      Matcher parts = RESPONSE.matcher(response);
      if (!parts.matches()) {
        throw new NoViewException("the answer is not an HTTP response");
      }
      if (!parts.group(1).equals("200")) {
        throw new NoViewException(parts.group(1) + " " + parts.group(2).strip());
      }
      return parts.group(2).strip();
    }
  }

  private void print(JsonObject view) {
    String self = view.get("self").getAsString();
    if (!view.get("member").getAsBoolean()) {
      out.println(
          self
              + " is not a member now: another process with its name is, or its address is in use");
      return;
    }
    out.printf(
        "%s sees, version %d, %s%n",
        self,
        view.get("version").getAsLong(),
        view.get("displaced").getAsBoolean()
            ? "DISPLACED: another process has its name"
            : view.get("settled").getAsBoolean() ? "settled" : "not settled");
    if (view.has("share")) {
      JsonObject share = view.getAsJsonObject("share");
      out.printf(
          Locale.ROOT,
          "may spend %.1f%% of each budget of the fleet, %s%n",
          100 * share.get("part").getAsDouble(),
          share.get("seated").getAsBoolean()
              ? "with a rank lease, one of " + share.get("of").getAsInt()
              : "without a rank lease");
    }
    out.printf(
        "%-16s %-22s %-10s %-8s %-9s %10s  %s%n",
        "member", "address", "zone", "state", "activity", "for", "incarnation");
    for (JsonElement element : view.getAsJsonArray("members")) {
      JsonObject member = element.getAsJsonObject();
      out.printf(
          Locale.ROOT,
          "%-16s %-22s %-10s %-8s %-9s %8.1f s  %d.%d%n",
          member.get("name").getAsString(),
          member.get("address").getAsString(),
          member.get("zone").getAsString(),
          member.get("state").getAsString(),
          member.get("activity").getAsString(),
          member.get("for_s").getAsDouble(),
          member.get("birth").getAsLong(),
          member.get("raised").getAsInt());
    }
  }
}
