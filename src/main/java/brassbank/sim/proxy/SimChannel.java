package brassbank.sim.proxy;

import brassbank.net.Channel;
import brassbank.sim.net.Endpoint;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Implements {@link Channel} on one end of a simulated TCP connection. */
final class SimChannel implements Channel {
  private final SimNetwork network;
  private final Endpoint endpoint;

  SimChannel(SimNetwork network, Endpoint endpoint) {
    this.network = network;
    this.endpoint = endpoint;
  }

  @Override
  public void handler(Handler handler) {
    endpoint.handler(
        new Endpoint.Handler() {
          @Override
          public void readable() {
            network.runOnLoop(handler::readable);
          }

          @Override
          public void writable() {
            network.runOnLoop(handler::writable);
          }
        });
  }

  @Override
  public int read(ByteBuffer into) throws IOException {
    if (!into.hasArray()) {
      int count = endpoint.read(into.remaining());
      into.put(endpoint.lastRead(), 0, Math.max(0, count));
      return count;
    }
    int count = endpoint.read(into.array(), into.arrayOffset() + into.position(), into.remaining());
    into.position(into.position() + Math.max(0, count));
    return count;
  }

  @Override
  public int write(ByteBuffer from) throws IOException {
    byte[] bytes = new byte[from.remaining()];
    from.duplicate().get(bytes);
    int count = endpoint.write(bytes, 0, bytes.length);
    from.position(from.position() + count);
    return count;
  }

  @Override
  public void sendBuffer(int bytes) {
    endpoint.sendBufferBytes(bytes);
  }

  @Override
  public void reading(boolean on) {
    endpoint.reading(on);
  }

  @Override
  public void writing(boolean on) {
    endpoint.writing(on);
  }

  @Override
  public void shutdownOutput() throws IOException {
    endpoint.shutdownOutput();
  }

  @Override
  public void close() {
    endpoint.close();
  }

  @Override
  public void reset() {
    endpoint.reset();
  }
}
