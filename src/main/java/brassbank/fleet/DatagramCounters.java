package brassbank.fleet;

import brassbank.membership.wire.DropReason;
import java.util.EnumMap;
import java.util.Map;

/** Datagrams of a member since its start. */
public final class DatagramCounters {
  long sent;
  long sentBytes;
  long received;
  long receivedBytes;
  final Map<DropReason, Long> dropped = new EnumMap<>(DropReason.class);

  public long sent() {
    return sent;
  }

  public long sentBytes() {
    return sentBytes;
  }

  public long received() {
    return received;
  }

  public long receivedBytes() {
    return receivedBytes;
  }

  /** Those that were dropped unread, by the reason. */
  public Map<DropReason, Long> dropped() {
    return java.util.Collections.unmodifiableMap(dropped);
  }
}
