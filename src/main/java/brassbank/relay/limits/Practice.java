package brassbank.relay.limits;

/** The totals over the open sessions of one practice; removed with the last session. */
final class Practice {
  final String name;
  int sessions;
  long queuedBytes;

  Practice(String name) {
    this.name = name;
  }
}
