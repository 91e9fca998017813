package brassbank.sim.members;

import brassbank.membership.wire.InvalidDatagramException;
import brassbank.net.Network;
import brassbank.shares.LeaseMessage;
import brassbank.shares.wire.LeaseCodec;
import java.io.IOException;
import java.net.InetSocketAddress;

/** A network on which what is said of seats is spoiled; everything else is as it was. */
public class TamperedLeaseNetwork extends TamperedNetwork {
  private final Network real;
  private final LeaseCodec codec;

  public TamperedLeaseNetwork(Network real, String fleet) {
    super(real, fleet);
    this.real = real;
    codec = new LeaseCodec(fleet);
  }

  /** What goes out in place of a message; null for nothing. */
  protected LeaseMessage tamperOutgoingLease(LeaseMessage message) {
    return message;
  }

  /** What comes in in place of a message; null for nothing. */
  protected LeaseMessage tamperIncomingLease(LeaseMessage message) {
    return message;
  }

  /** What comes back from the one whom a message was sent to, who knows nothing of it; or null. */
  protected LeaseMessage forgeReplies(InetSocketAddress to, LeaseMessage sent) {
    return null;
  }

  @Override
  public Datagrams datagrams(InetSocketAddress address, DatagramHandler heard) throws IOException {
    Datagrams socket =
        real.datagrams(
            address,
            (from, bytes) -> {
              byte[] spoiled =
                  LeaseCodec.hasMagic(bytes) ? write(tamperIncomingLease(read(bytes))) : bytes;
              if (spoiled != null) {
                heard.received(from, spoiled);
              }
            });
    return new Datagrams() {
      @Override
      public void send(InetSocketAddress to, byte[] bytes) {
        byte[] spoiled =
            LeaseCodec.hasMagic(bytes) ? write(tamperOutgoingLease(read(bytes))) : bytes;
        if (spoiled != null) {
          socket.send(to, spoiled);
        }
        LeaseMessage forged = LeaseCodec.hasMagic(bytes) ? forgeReplies(to, read(bytes)) : null;
        if (forged != null) {
          real.execute(() -> heard.received(to, write(forged)));
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
