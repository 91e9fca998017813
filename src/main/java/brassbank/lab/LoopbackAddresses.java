package brassbank.lab;

import brassbank.sim.actor.AddressMapping;
import brassbank.sim.net.Machine;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashMap;
import java.util.Map;

/**
 * Where everybody is met on loopback: proxy number i sees a machine 10.group.0.number of the
 * simulated network under 127.(1+i).group.number, so that each pair has an address of its own and
 * it is known who connects. Labs that run at once differ by their port.
 */
final class LoopbackAddresses implements AddressMapping, AutoCloseable {
  /** The first of the ports at which labs tell each other which of them is whose. */
  private static final int FIRST_CLAIM_PORT = 17_070;

  private static final int FIRST_PORT = 7_070;
  private static final int MAX_LABS = 64;

  /** No machine of the simulated network has this group: an instance's management is here. */
  private static final int MANAGEMENT_GROUP = 9;

  /** No proxy has this number: here each is met by all the others for datagrams. */
  private static final int DATAGRAM_OCTET = 200;

  private final ServerSocket claimSocket;
  private final int port;
  private final Map<String, Integer> ranks = new HashMap<>();

  /** Claims a port that no other lab on this machine uses; it is given back by {@link #close}. */
  LoopbackAddresses() throws IOException {
    ServerSocket free = null;
    int lab = 0;
    for (; free == null && lab < MAX_LABS; lab++) {
      try {
        free =
            new ServerSocket(FIRST_CLAIM_PORT + lab, 1, InetAddress.getByAddress(bytes(0, 0, 1)));
      } catch (IOException e) {
        // Another lab has it.
      }
    }
    if (free == null) {
      throw new IOException("no port from " + FIRST_CLAIM_PORT + " on is free: too many labs run");
    }
    claimSocket = free;
    port = FIRST_PORT + lab - 1;
  }

  /** Which number a proxy has. */
  void rank(String proxy, int rank) {
    ranks.put(proxy, rank);
  }

  @Override
  public String addressOf(String proxy, Machine machine, int ignored) {
    InetSocketAddress address = address(proxy, machine);
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Where this proxy meets that machine; where it listens itself, for its own. */
  InetSocketAddress address(String proxy, Machine machine) {
    byte[] simulated = machine.address().getAddress();
    return socketAddress(bytes(1 + ranks.get(proxy), simulated[1], simulated[3] & 0xff));
  }

  /** Where all the others meet this proxy for datagrams. */
  InetSocketAddress datagramAddress(String proxy) {
    return socketAddress(bytes(DATAGRAM_OCTET, 0, 1 + ranks.get(proxy)));
  }

  /** Where operators call an instance of this proxy; {@code number} tells its processes apart. */
  InetSocketAddress management(String proxy, int number) {
    return socketAddress(bytes(1 + ranks.get(proxy), MANAGEMENT_GROUP, 1 + number % 250));
  }

  private InetSocketAddress socketAddress(byte[] bytes) {
    try {
      return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    } catch (IOException e) {
      throw new IllegalStateException("four bytes are an address", e);
    }
  }

  private static byte[] bytes(int second, int third, int fourth) {
    return new byte[] {127, (byte) second, (byte) third, (byte) fourth};
  }

  @Override
  public void close() throws IOException {
    claimSocket.close();
  }
}
