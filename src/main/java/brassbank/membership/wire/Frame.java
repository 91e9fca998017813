package brassbank.membership.wire;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Parts of the layout that membership and lease datagrams have in common. */
public final class Frame {
  private Frame() {}

  /**
   * Returns the identifier of a fleet in datagrams: the 64-bit FNV-1a hash of its name in UTF-8.
   */
  public static long fleetHash(String name) {
    long hash = 0xcbf29ce484222325L;
    for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
    }
    return hash;
  }

  /** Returns the CRC-32C of the first {@code length} bytes. */
  public static int checksum(byte[] bytes, int length) {
    CRC32C sum = new CRC32C();
    sum.update(bytes, 0, length);
    return (int) sum.getValue();
  }
}
