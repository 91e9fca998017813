package brassbank.load;

/** A client that reads at a fixed rate, however much data is pending. */
final class SlowReader extends SlowPeer {
  private final double bytesPerSecond;

  SlowReader(double bytesPerSecond, Runnable onEnd) {
    super(onEnd);
    this.bytesPerSecond = bytesPerSecond;
  }

  @Override
  public void connected(Connection newConnection) {
    super.connected(newConnection);
    newConnection.setReadPaused(true);
    runPaced(bytesPerSecond, newConnection::readNow);
  }
}
