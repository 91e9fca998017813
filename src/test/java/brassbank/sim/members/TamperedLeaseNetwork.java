package brassbank.sim.members;

import brassbank.membership.wire.InvalidDatagramException;
import brassbank.net.Network;
import brassbank.shares.LeaseMessage;
import brassbank.shares.wire.LeaseCodec;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Decorates a network so that tests can alter its rank lease messages; other traffic passes
 * unchanged.
 */
public class TamperedLeaseNetwork extends TamperedNetwork {
  private final Network real;
  private final LeaseCodec codec;

  public TamperedLeaseNetwork(Network real, String fleet) {
    super(real, fleet);
    this.real = real;
    codec = new LeaseCodec(fleet);
  }

  /** Returns the message to send in place of an outgoing one, or null to drop it. */
  protected LeaseMessage tamperOutgoingLease(LeaseMessage message) {
    return message;
  }

  /** Returns the message to deliver in place of an incoming one, or null to drop it. */
  protected LeaseMessage tamperIncomingLease(LeaseMessage message) {
    return message;
  }

  /** Returns a forged reply in the name of the recipient of a sent message, or null for none. */
  protected LeaseMessage forgeReplies(InetSocketAddress to, LeaseMessage sent) {
    return null;
  }

  @Override
  public Datagrams datagrams(InetSocketAddress address, DatagramHandler handler)
      throws IOException {
    Datagrams socket =
        real.datagrams(
            address,
            (from, bytes) -> {
              byte[] tampered =
                  LeaseCodec.hasMagic(bytes) ? write(tamperIncomingLease(read(bytes))) : bytes;
              if (tampered != null) {
                handler.received(from, tampered);
              }
            });
    return new Datagrams() {
      @Override
      public void send(InetSocketAddress to, byte[] bytes) {
        byte[] tampered =
            LeaseCodec.hasMagic(bytes) ? write(tamperOutgoingLease(read(bytes))) : bytes;
        if (tampered != null) {
          socket.send(to, tampered);
        }
        LeaseMessage forged = LeaseCodec.hasMagic(bytes) ? forgeReplies(to, read(bytes)) : null;
        if (forged != null) {
          real.execute(() -> handler.received(to, write(forged)));
        }
      }

      @Override
      public void close() {
        socket.close();
      }
    };
  }

  private LeaseMessage read(byte[] bytes) {
    try {
      return codec.decode(bytes);
    } catch (InvalidDatagramException e) {
      throw new IllegalStateException(e);
    }
  }

  private byte[] write(LeaseMessage message) {
    return message == null ? null : codec.encode(message);
  }
}
