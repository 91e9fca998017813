package brassbank.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * A path from the clients to the stub hosts.
 *
 * @param name the column of the report for this route
 * @param addresses the addresses that sessions connect to, in rotation
 * @param process the intermediate process, or null if there is none or its process id is unknown
 */
record Route(String name, List<InetSocketAddress> addresses, ProcessStats process) {
  /** Returns the address for a session by its number. */
  InetSocketAddress address(long session) {
    return addresses.get((int) (session % addresses.size()));
  }

  /**
   * Parses {@code HOST:PORT}.
   *
   * @throws LoadException if the text is malformed or is not a loopback address
   */
  static InetSocketAddress parseLoopback(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0 || !text.substring(colon + 1).matches("\\d{1,5}")) {
      throw new LoadException("expected HOST:PORT, found: " + text);
    }
    InetSocketAddress address =
        new InetSocketAddress(
            text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    if (address.isUnresolved() || !address.getAddress().isLoopbackAddress()) {
      throw new LoadException("not a loopback address: " + text);
    }
    return address;
  }
}
