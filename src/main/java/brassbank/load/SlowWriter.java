package brassbank.load;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** A client that writes a line without an end at a fixed rate. */
final class SlowWriter extends SlowPeer {
  private final double bytesPerSecond;

  SlowWriter(double bytesPerSecond, Runnable onEnd) {
    super(onEnd);
    this.bytesPerSecond = bytesPerSecond;
  }

  @Override
  public void connected(Connection newConnection) {
    super.connected(newConnection);
    runPaced(
        bytesPerSecond,
        count -> {
          byte[] chunk = new byte[count];
          Arrays.fill(chunk, (byte) 'w');
          newConnection.write(ByteBuffer.wrap(chunk));
        });
  }
}
