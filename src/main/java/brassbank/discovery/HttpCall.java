package brassbank.discovery;

import brassbank.net.EventLoop;
import brassbank.net.LineBuffer;
import brassbank.net.Net;
import brassbank.net.Network;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * One HTTP call whose answer is delivered line by line as it arrives. It owns its connection
 * attempt. Runs on the event loop.
 */
final class HttpCall implements Network.ResponseHandler {
  /** Far more than a target list needs, and far less than the available memory. */
  private static final int MAX_LINE_BYTES = 1 << 20;

  private static final int STATUS_OK = 200;

  /** Receives the answer of a call. */
  interface Listener {
    /** The answer has begun, which does not happen if the call hangs. Called at most once. */
    void begun(HttpCall call);

    /** A line of the answer has arrived. */
    void line(HttpCall call, String line);

    /**
     * The call has ended. Called once, unless the call is cancelled before.
     *
     * @param reason why the call failed, empty if the answer is complete
     */
    void ended(HttpCall call, String reason);
  }

  private final Net net;
  private final String path;
  private final LineBuffer buffer = new LineBuffer(MAX_LINE_BYTES);
  private Listener listener;
  private Network.Attempt attempt;
  private EventLoop.Timer timeout;

  HttpCall(Net net, String path, Listener listener) {
    this.net = net;
    this.path = path;
    this.listener = listener;
  }

  void start(InetSocketAddress to) {
    timeout = net.loop().schedule(DiscoveryTimeouts.ANSWER_MICROS, () -> fail("no answer in time"));
    attempt = net.get(to, path, DiscoveryTimeouts.CONNECT_MICROS, this);
  }

  @Override
  public void connected() {
    // The timeout runs from the start of the call and includes the connect.
  }

  @Override
  public void failed(String reason) {
    fail(reason);
  }

  /** Ends the call with a reason, unless it has ended before. */
  void fail(String reason) {
    Listener recipient = listener;
    cancel();
    if (recipient != null) {
      recipient.ended(this, reason);
    }
  }

  /** Cancels the call and releases its connection and timer. All calls end through this method. */
  void cancel() {
    listener = null;
    timeout.cancel();
    attempt.cancel();
  }

  @Override
  public void statusReceived(int status) {
    if (listener != null && status == STATUS_OK) {
      restartSilenceTimeout();
      listener.begun(this);
    }
  }

  /** Restarts the timeout for the next bytes of the answer. */
  private void restartSilenceTimeout() {
    timeout.cancel();
    timeout =
        net.loop().schedule(DiscoveryTimeouts.SILENCE_MICROS, () -> fail("silent for too long"));
  }

  @Override
  public void contentReceived(int status, ByteBuffer bytes, boolean last) {
    if (listener == null) {
      return;
    }
    if (status != STATUS_OK) {
      fail("status " + status);
      return;
    }
    restartSilenceTimeout();
    buffer.append(bytes);
    if (last) {
      buffer.append(StandardCharsets.US_ASCII.encode("\n"));
    }
    for (String line = buffer.nextLine();
        line != null && listener != null;
        line = buffer.nextLine()) {
      listener.line(this, line);
    }
    if (buffer.hasOverlongLine()) {
      fail("line too long");
    } else if (last) {
      fail("");
    }
  }
}
