package brassbank.gateway.link.tls;

import brassbank.gateway.link.frame.GatewayName;
import java.nio.ByteBuffer;

/** Lets everything pass. */
final class PlainGuard implements Guard {
  @Override
  public void fromWire(ByteBuffer wire, Plain to) {
    to.take(wire);
  }

  @Override
  public void resume(Plain to) {}

  @Override
  public void toWire(ByteBuffer plain, ByteBuffer wire) {
    Guards.move(plain, wire);
  }

  @Override
  public boolean speaks() {
    return false;
  }

  @Override
  public boolean takes() {
    return true;
  }

  @Override
  public boolean ready() {
    return true;
  }

  @Override
  public GatewayName gateway() {
    return null;
  }

  @Override
  public void close() {}
}
