package brassbank.discovery;

import brassbank.net.EventLoop;
import brassbank.net.LineBuffer;
import brassbank.net.Net;
import brassbank.net.Network;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** One HTTP call whose answer is read line by line, as it comes. It owns its attempt. */
final class Call implements Network.ResponseHandler {
  /** Far more than a list of targets needs, and far less than the memory there is. */
  private static final int LONGEST_LINE = 1 << 20;

  private static final int OK = 200;

  /** Who is told of the answer. */
  interface Listener {
    /** The answer has begun, which a call that hangs never tells. Told once, if at all. */
    void begun(Call call);

    void line(Call call, String line);

    /** The call is over: {@code why} is empty where its answer came whole. Told once. */
    void ended(Call call, String why);
  }

  private final Net net;
  private final String path;
  private final LineBuffer buffer = new LineBuffer(LONGEST_LINE);
  private Listener listener;
  private Network.Attempt attempt;
  private EventLoop.Timer limit;

  Call(Net net, String path, Listener listener) {
    this.net = net;
    this.path = path;
    this.listener = listener;
  }

  void start(InetSocketAddress to) {
    limit = net.loop().schedule(Waits.ANSWER, () -> fail("no answer in time"));
    attempt = net.get(to, path, Waits.CONNECT, this);
  }

  @Override
  public void connected() {
    // The limit runs from the start of the call, whatever its connect took of it.
  }

  @Override
  public void failed(String why) {
    fail(why);
  }

  void fail(String why) {
    Listener told = listener;
    cancel();
    if (told != null) {
      told.ended(this, why);
    }
  }

  /** The one place where the call's connection and timer are given back. */
  void cancel() {
    listener = null;
    limit.cancel();
    attempt.cancel();
  }

  @Override
  public void statusReceived(int status) {
    if (listener != null && status == OK) {
      heard();
      listener.begun(this);
    }
  }

  /** Silence is counted anew. */
  private void heard() {
    limit.cancel();
    limit = net.loop().schedule(Waits.SILENCE, () -> fail("silent"));
  }

  @Override
  public void contentReceived(int status, ByteBuffer bytes, boolean last) {
    if (listener == null) {
      return;
    }
    if (status != OK) {
      fail("status " + status);
      return;
    }
    heard();
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
      fail("a line that is too long");
    } else if (last) {
      fail("");
    }
  }
}
