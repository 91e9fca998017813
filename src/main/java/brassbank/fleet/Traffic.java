package brassbank.fleet;

import brassbank.membership.wire.Refused;
import java.util.EnumMap;
import java.util.Map;

/** Datagrams of a member since its start. */
public final class Traffic {
  long sent;
  long sentBytes;
  long received;
  long receivedBytes;
  final Map<Refused, Long> refused = new EnumMap<>(Refused.class);

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
  public Map<Refused, Long> refused() {
    return java.util.Collections.unmodifiableMap(refused);
  }
}
