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

/** Whom one proxy sees in its fleet, by its management door. */
@Command(
    name = "members",
    description = "Print whom a proxy sees in its fleet.",
    footer = {
      "",
      "Status 1: there is no answer, or the proxy keeps no view. docs/membership.md tells what the"
          + " states mean."
    })
final class MembersCommand implements Callable<Integer> {
  private static final int PATIENCE_MILLIS = 3_000;
  private static final long NANOS = 1_000_000_000L;
  private static final Pattern ADDRESS = Pattern.compile("(.+):(\\d{1,5})");
  private static final Pattern ANSWER =
      Pattern.compile("HTTP/1\\.1 (\\d{3})[^\\r]*\\r\\n.*?\\r\\n\\r\\n(.*)", Pattern.DOTALL);

  @Parameters(paramLabel = "HOST:PORT", description = "Where the proxy takes operators' calls.")
  private String door;

  @Option(names = "--json", description = "Print the proxy's answer as it is, with its figures.")
  private boolean json;

  @Option(names = "--watch", description = "Print it again each second, until Ctrl-C.")
  private boolean watch;

  private final PrintStream out = System.out;

  /** An answer that is none. */
  private static final class NoViewException extends Exception {
    private static final long serialVersionUID = 1L;

    NoViewException(String message) {
      super(message);
    }
  }

  @Override
  public Integer call() {
    Matcher parts = ADDRESS.matcher(door);
    if (!parts.matches() || Integer.parseInt(parts.group(2)) > 0xffff) {
      throw new UsageException("'" + door + "' is no HOST:PORT");
    }
    InetSocketAddress address =
        new InetSocketAddress(
            parts.group(1).replaceAll("[\\[\\]]", ""), Integer.parseInt(parts.group(2)));
    while (true) {
      int status = once(address);
      if (!watch) {
        return status;
      }
      out.println();
      LockSupport.parkNanos(NANOS);
    }
  }

  private int once(InetSocketAddress address) {
    try {
      String text = ask(address);
      if (json) {
        out.println(text);
      } else {
        print(JsonParser.parseString(text).getAsJsonObject());
      }
      return ExitStatus.OK;
    } catch (IOException | NoViewException e) {
      System.err.println("brassbank members: " + door + ": " + e.getMessage());
    } catch (JsonParseException | IllegalStateException | NullPointerException e) {
      System.err.println("brassbank members: " + door + " gives an answer that is no view");
    }
    return ExitStatus.FAILED;
  }

  private static String ask(InetSocketAddress address) throws IOException, NoViewException {
    if (address.isUnresolved()) {
      throw new IOException("no such host");
    }
    try (Socket socket = new Socket()) {
      socket.connect(address, PATIENCE_MILLIS);
      socket.setSoTimeout(PATIENCE_MILLIS);
      socket
          .getOutputStream()
          .write(
              "GET /members HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      String said = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      Matcher answer = ANSWER.matcher(said);
      if (!answer.matches()) {
        throw new NoViewException("no answer by HTTP");
      }
      if (!answer.group(1).equals("200")) {
        throw new NoViewException(answer.group(1) + " " + answer.group(2).strip());
      }
      return answer.group(2).strip();
    }
  }

  private void print(JsonObject view) {
    String self = view.get("self").getAsString();
    if (!view.get("member").getAsBoolean()) {
      out.println(self + " is no member now: another process of it is, or its address is taken");
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
          "spends %.1f%% of each budget of the fleet, %s%n",
          100 * share.get("part").getAsDouble(),
          share.get("seated").getAsBoolean()
              ? "with a seat, one of " + share.get("of").getAsInt()
              : "without a seat");
    }
    out.printf(
        "%-16s %-22s %-10s %-8s %-9s %10s  %s%n",
        "member", "address", "zone", "state", "activity", "for", "incarnation");
    for (JsonElement element : view.getAsJsonArray("members")) {
      JsonObject one = element.getAsJsonObject();
      out.printf(
          Locale.ROOT,
          "%-16s %-22s %-10s %-8s %-9s %8.1f s  %d.%d%n",
          one.get("name").getAsString(),
          one.get("address").getAsString(),
          one.get("zone").getAsString(),
          one.get("state").getAsString(),
          one.get("activity").getAsString(),
          one.get("for_s").getAsDouble(),
          one.get("birth").getAsLong(),
          one.get("raised").getAsInt());
    }
  }
}
