package brassbank.membership.wire;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** What all datagrams of a fleet have, whoever reads them. */
public final class Frame {
  private Frame() {}

  /** A fleet's name as datagrams have it: FNV-1a, 64 bits, over its UTF-8. */
  public static long fleetHash(String name) {
    long hash = 0xcbf29ce484222325L;
    for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
    }
    return hash;
  }

  /** CRC-32C of the first bytes. */
  public static int checksum(byte[] bytes, int length) {
    CRC32C sum = new CRC32C();
    sum.update(bytes, 0, length);
    return (int) sum.getValue();
  }
}
