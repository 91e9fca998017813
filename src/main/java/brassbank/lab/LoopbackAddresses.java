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
 * Assigns the loopback addresses of a lab. Proxy number i reaches the machine 10.group.0.number of
 * the simulated network at 127.(1+i).group.number: each pair has an address of its own, so the lab
 * knows which proxy connects to which machine. Concurrent labs differ by their port.
 */
final class LoopbackAddresses implements AddressMapping, AutoCloseable {
  /** The first of the ports that labs bind to claim a lab number. */
  private static final int FIRST_CLAIM_PORT = 17_070;

  private static final int FIRST_PORT = 7_070;
  private static final int MAX_LABS = 64;

  /** Third octet of the management addresses; no simulated machine has this group. */
  private static final int MANAGEMENT_GROUP = 9;

  /** Second octet of the datagram addresses; no proxy has this number. */
  private static final int DATAGRAM_OCTET = 200;

  private final ServerSocket claimSocket;
  private final int port;
  private final Map<String, Integer> ranks = new HashMap<>();

  /**
   * Claims a port that no other lab on this machine uses; {@link #close} releases it.
   *
   * @throws IOException if all lab numbers are in use
   */
  LoopbackAddresses() throws IOException {
    ServerSocket free = null;
    int lab = 0;
    for (; free == null && lab < MAX_LABS; lab++) {
      try {
        free =
            new ServerSocket(FIRST_CLAIM_PORT + lab, 1, InetAddress.getByAddress(bytes(0, 0, 1)));
      } catch (IOException e) {
        // Another lab has claimed this number.
      }
    }
    if (free == null) {
      throw new IOException(
          "no port from " + FIRST_CLAIM_PORT + " on is free: " + MAX_LABS + " labs run already");
    }
    claimSocket = free;
    port = FIRST_PORT + lab - 1;
  }

  /** Sets the number of a proxy, from which its addresses follow. */
  void rank(String proxy, int rank) {
    ranks.put(proxy, rank);
  }

  @Override
  public String addressOf(String proxy, Machine machine, int ignored) {
    InetSocketAddress address = address(proxy, machine);
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /**
   * Returns the address at which a proxy reaches a machine; for its own machine, where it listens.
   */
  InetSocketAddress address(String proxy, Machine machine) {
    byte[] simulated = machine.address().getAddress();
    return socketAddress(bytes(1 + ranks.get(proxy), simulated[1], simulated[3] & 0xff));
  }

  /** Returns the address to which all other proxies send this proxy's datagrams. */
  InetSocketAddress datagramAddress(String proxy) {
    return socketAddress(bytes(DATAGRAM_OCTET, 0, 1 + ranks.get(proxy)));
  }

  /** Returns the management address of a proxy's process with this number. */
  InetSocketAddress management(String proxy, int number) {
    return socketAddress(bytes(1 + ranks.get(proxy), MANAGEMENT_GROUP, 1 + number % 250));
  }

  private InetSocketAddress socketAddress(byte[] bytes) {
    try {
      return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    } catch (IOException e) {
      throw new IllegalStateException("four bytes are always a valid IPv4 address", e);
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
