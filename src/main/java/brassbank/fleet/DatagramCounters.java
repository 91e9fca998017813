package brassbank.fleet;

import brassbank.membership.wire.DropReason;
import java.util.EnumMap;
import java.util.Map;

/** Counters of a member's datagrams since its start. */
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

  /** Returns the number of dropped datagrams by reason. */
  public Map<DropReason, Long> dropped() {
    return java.util.Collections.unmodifiableMap(dropped);
  }
}
