package brassbank.relay.limits;

/** What the sessions of one practice hold together; it is forgotten with the last of them. */
final class Practice {
  final String name;
  int sessions;
  long queuedBytes;

  Practice(String name) {
    this.name = name;
  }
}
