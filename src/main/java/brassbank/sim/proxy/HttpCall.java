package brassbank.sim.proxy;

import brassbank.net.Network;
import brassbank.sim.net.Endpoint;
import brassbank.sim.net.Program;
import brassbank.sim.net.ResetException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * One HTTP/1.1 GET request (RFC 9112). Parses the status line, the headers and content that is
 * chunked, has a content length or ends with the connection. It replaces the HTTP client of the
 * real network.
 */
final class HttpCall implements Network.Attempt, Program.ConnectHandler, Endpoint.Handler {
  private static final int READ_SIZE = 8 * 1024;
  private static final int MAX_HEAD_BYTES = 8 * 1024;

  private enum ParseState {
    HEAD,
    COUNTED,
    UNTIL_END,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILER
  }

  private final SimNetwork network;
  private final Program program;
  private final InetSocketAddress address;
  private final String path;
  private final Network.ResponseHandler responseHandler;
  private Program.PendingConnect connecting;
  private Endpoint endpoint;
  private boolean done;

  private ParseState parseState = ParseState.HEAD;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private int status = -1;
  private boolean chunked;
  private long remainingBytes = -1;
  private int headBytes;

  HttpCall(
      SimNetwork network,
      Program program,
      InetSocketAddress address,
      String path,
      Network.ResponseHandler answer) {
    this.network = network;
    this.program = program;
    this.address = address;
    this.path = path;
    this.responseHandler = answer;
  }

  void start() {
    connecting = program.connect(address, this);
  }

  @Override
  public void cancel() {
    if (!done) {
      done = true;
      if (endpoint != null) {
        endpoint.close();
      } else {
        connecting.cancel();
      }
    }
  }

  @Override
  public void connected(Endpoint connected) {
    endpoint = connected;
    String request =
        "GET "
            + path
            + " HTTP/1.1\r\nHost: "
            + address.getAddress().getHostAddress()
            + ":"
            + address.getPort()
            + "\r\nAccept: application/json\r\n\r\n";
    byte[] bytes = request.getBytes(StandardCharsets.ISO_8859_1);
    try {
      if (endpoint.write(bytes, 0, bytes.length) < bytes.length) {
        throw new IOException("a request does not fit into the send buffer");
      }
    } catch (IOException e) {
      fail(e.getMessage());
      return;
    }
    network.runOnLoop(responseHandler::connected);
    if (!done) {
      endpoint.handler(this);
    }
  }

  @Override
  public void failed(IOException cause) {
    fail(cause.getMessage());
  }

  private void fail(String reason) {
    if (!done) {
      cancel();
      network.runOnLoop(() -> responseHandler.failed(reason));
    }
  }

  @Override
  public void readable() {
    byte[] bytes = new byte[READ_SIZE];
    int count;
    try {
      count = endpoint.read(bytes, 0, bytes.length);
    } catch (ResetException e) {
      fail(e.getMessage());
      return;
    }
    if (count < 0) {
      if (parseState == ParseState.UNTIL_END) {
        deliverContent(bytes, 0, 0, true);
      } else {
        fail("the connection has ended");
      }
      return;
    }
    try {
      parse(bytes, count);
    } catch (IOException | NumberFormatException e) {
      fail("no HTTP: " + e.getMessage());
    }
  }

  private void parse(byte[] bytes, int count) throws IOException {
    int position = 0;
    while (position < count && !done) {
      if (parseState == ParseState.COUNTED
          || parseState == ParseState.CHUNK
          || parseState == ParseState.UNTIL_END) {
        int length =
            parseState == ParseState.UNTIL_END
                ? count - position
                : (int) Math.min(remainingBytes, count - position);
        remainingBytes -= length;
        deliverContent(
            bytes, position, length, parseState == ParseState.COUNTED && remainingBytes == 0);
        position += length;
        if (parseState == ParseState.CHUNK && remainingBytes == 0) {
          parseState = ParseState.CHUNK_END;
        }
      } else if (bytes[position] == '\n') {
        position++;
        String text = line.toString(StandardCharsets.ISO_8859_1);
        line.reset();
        parseLine(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
      } else {
        line.write(bytes[position++]);
        if (line.size() + headBytes > MAX_HEAD_BYTES) {
          throw new IOException("a line or a head is too long");
        }
      }
    }
  }

  private void parseLine(String text) throws IOException {
    switch (parseState) {
      case HEAD -> parseHeadLine(text);
      case CHUNK_SIZE -> {
        int extension = text.indexOf(';');
        remainingBytes =
            Long.parseLong((extension < 0 ? text : text.substring(0, extension)).trim(), 16);
        if (remainingBytes < 0) {
          throw new IOException("a negative length");
        }
        parseState = remainingBytes == 0 ? ParseState.TRAILER : ParseState.CHUNK;
      }
      case CHUNK_END -> {
        if (!text.isEmpty()) {
          throw new IOException("a chunk is longer than it says");
        }
        parseState = ParseState.CHUNK_SIZE;
      }
      case TRAILER -> {
        if (text.isEmpty()) {
          deliverContent(new byte[0], 0, 0, true);
        }
      }
      default -> throw new IllegalStateException("no lines in " + parseState);
    }
  }

  private void parseHeadLine(String text) throws IOException {
    headBytes += text.length();
    if (status < 0) {
      if (!text.matches("HTTP/1\\.[01] \\d{3}( .*)?")) {
        throw new IOException("no status line");
      }
      status = Integer.parseInt(text.substring(9, 12));
    } else if (!text.isEmpty()) {
      int colon = text.indexOf(':');
      String name = colon < 0 ? "" : text.substring(0, colon).toLowerCase(Locale.ROOT);
      String value = text.substring(colon + 1).trim();
      if (name.equals("transfer-encoding")) {
        chunked = value.equalsIgnoreCase("chunked");
      } else if (name.equals("content-length")) {
        remainingBytes = Long.parseLong(value);
      }
    } else {
      network.runOnLoop(() -> responseHandler.statusReceived(status));
      if (chunked) {
        parseState = ParseState.CHUNK_SIZE;
      } else if (remainingBytes == 0) {
        deliverContent(new byte[0], 0, 0, true);
      } else {
        parseState = remainingBytes > 0 ? ParseState.COUNTED : ParseState.UNTIL_END;
      }
    }
  }

  private void deliverContent(byte[] bytes, int offset, int count, boolean last) {
    if (count == 0 && !last) {
      return;
    }
    if (last) {
      cancel();
    }
    network.runOnLoop(
        () -> responseHandler.contentReceived(status, ByteBuffer.wrap(bytes, offset, count), last));
  }
}
