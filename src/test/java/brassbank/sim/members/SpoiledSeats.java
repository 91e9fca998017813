package brassbank.sim.members;

import brassbank.membership.wire.RefusedException;
import brassbank.net.Network;
import brassbank.shares.SeatMessage;
import brassbank.shares.wire.SeatCodec;
import java.io.IOException;
import java.net.InetSocketAddress;

/** A network on which what is said of seats is spoiled; everything else is as it was. */
public class SpoiledSeats extends Spoiled {
  private final Network real;
  private final SeatCodec codec;

  public SpoiledSeats(Network real, String fleet) {
    super(real, fleet);
    this.real = real;
    codec = new SeatCodec(fleet);
  }

  /** What goes out in place of a message; null for nothing. */
  protected SeatMessage said(SeatMessage message) {
    return message;
  }

  /** What comes in in place of a message; null for nothing. */
  protected SeatMessage taken(SeatMessage message) {
    return message;
  }

  /** What comes back from the one whom a message was sent to, who knows nothing of it; or null. */
  protected SeatMessage forged(InetSocketAddress to, SeatMessage sent) {
    return null;
  }

  @Override
  public Datagrams datagrams(InetSocketAddress address, DatagramHandler heard) throws IOException {
    Datagrams socket =
        real.datagrams(
            address,
            (from, bytes) -> {
              byte[] spoiled = SeatCodec.marked(bytes) ? write(taken(read(bytes))) : bytes;
              if (spoiled != null) {
                heard.received(from, spoiled);
              }
            });
    return new Datagrams() {
      @Override
      public void send(InetSocketAddress to, byte[] bytes) {
        byte[] spoiled = SeatCodec.marked(bytes) ? write(said(read(bytes))) : bytes;
        if (spoiled != null) {
          socket.send(to, spoiled);
        }
        SeatMessage forged = SeatCodec.marked(bytes) ? forged(to, read(bytes)) : null;
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

  private SeatMessage read(byte[] bytes) {
    try {
      return codec.read(bytes);
    } catch (RefusedException e) {
      throw new IllegalStateException(e);
    }
  }

  private byte[] write(SeatMessage message) {
    return message == null ? null : codec.write(message);
  }
}
