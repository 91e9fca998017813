package brassbank.management;

import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses one management request line by line and executes it. Implements as much of RFC 9112,
 * sections 2 to 6, as requests without content need.
 *
 * <p>Not thread-safe. Performs no I/O and reads no clock; the owner of the connection passes in the
 * lines.
 */
final class Request {
  /** The most lines that the head may have, including the request line. */
  static final int MAX_HEAD_LINES = 64;

  /** The most content that a request may have, in bytes. The content is ignored. */
  static final int MAX_CONTENT_BYTES = 1024;

  private static final Pattern REQUEST_LINE =
      Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+) (\\S+) HTTP/1\\.[0-9]");

  private static final Pattern FIELD =
      Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \\t]*([\\t -~\\x80-\\xff]*?)[ \\t]*");

  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,9}");

  private String method;
  private String path;
  private int headLines;
  private int contentLength = -1;

  /** The first error, which becomes the response; null while there is none. */
  private Response error;

  private boolean inHead = true;

  /** Whether the response is pending because the fleet was asked for permission. */
  private boolean pending;

  /**
   * Parses the next line of the head.
   *
   * @param line the line without its line end
   */
  void headLine(String line) {
    if (method == null && error == null) {
      // Empty lines before the request line are ignored (RFC 9112, section 2.2).
      if (!line.isEmpty()) {
        requestLine(line);
      }
    } else if (line.isEmpty()) {
      inHead = false;
    } else {
      fieldLine(line);
    }
    if (++headLines > MAX_HEAD_LINES) {
      rejectTooLong();
    }
  }

  private void requestLine(String line) {
    Matcher parts = REQUEST_LINE.matcher(line);
    if (!parts.matches()) {
      fail(new Response(400, "not METHOD TARGET HTTP/1.1"));
      return;
    }
    method = parts.group(1);
    path = parts.group(2).split("\\?", 2)[0];
  }

  private void fieldLine(String line) {
    Matcher parts = FIELD.matcher(line);
    if (!parts.matches()) {
      fail(new Response(400, "a header line is malformed"));
    } else if (parts.group(1).equalsIgnoreCase("Content-Length")) {
      if (!LENGTH.matcher(parts.group(2)).matches()
          || (contentLength >= 0 && contentLength != Integer.parseInt(parts.group(2)))) {
        fail(new Response(400, "Content-Length is malformed"));
      } else {
        contentLength = Integer.parseInt(parts.group(2));
        if (contentLength > MAX_CONTENT_BYTES) {
          fail(new Response(413, "these calls have no content"));
        }
      }
    } else if (parts.group(1).equalsIgnoreCase("Transfer-Encoding")) {
      fail(new Response(411, "content only with Content-Length"));
    }
  }

  /** Rejects the request because one of its head lines or the whole head is too long. */
  void rejectTooLong() {
    fail(new Response(431, "the call's head is too long"));
  }

  private void fail(Response response) {
    if (error == null) {
      error = response;
    }
  }

  /** Returns whether further lines of the head are expected. */
  boolean inHead() {
    return inHead && error == null;
  }

  /**
   * Executes the request once it is complete.
   *
   * @param contentBytes how many bytes have arrived after the head
   * @param operations executes the operation that the request names
   * @param callback receives the response of an operation for which the fleet has to be asked,
   *     possibly before this method returns
   * @return the response, or null if the request is incomplete or the callback receives the
   *     response; a malformed request is answered before it is complete
   */
  Response execute(int contentBytes, ManagementOperations operations, Consumer<Response> callback) {
    if (pending) {
      return null;
    }
    if (error != null) {
      return error;
    }
    if (inHead || contentBytes < contentLength) {
      return null;
    }
    return switch (path) {
      case "/status" -> execute("GET", operations::status);
      case "/standby" -> standby(operations, callback);
      case "/active" -> execute("PUT", operations::activate);
      case "/members" -> members(operations);
      default -> new Response(404, "only /status, /standby, /active and /members are here");
    };
  }

  private Response standby(ManagementOperations operations, Consumer<Response> callback) {
    pending =
        method.equals("PUT")
            && operations.requestStandby(result -> callback.accept(responseToPut(result)));
    return pending ? null : execute("PUT", operations::enterStandby);
  }

  private static Response responseToPut(ManagementOperations.Result result) {
    return new Response(result.success() ? 200 : 409, result.text());
  }

  private Response members(ManagementOperations operations) {
    if (!method.equals("GET")) {
      return new Response(405, "only GET", "Allow: GET\r\n");
    }
    String members = operations.membersJson();
    return members == null
        ? new Response(404, "this proxy keeps no view of a fleet")
        : new Response(200, members);
  }

  private Response execute(String allowedMethod, Supplier<ManagementOperations.Result> operation) {
    if (!method.equals(allowedMethod)) {
      return new Response(405, "only " + allowedMethod, "Allow: " + allowedMethod + "\r\n");
    }
    ManagementOperations.Result result = operation.get();
    // A status query of a proxy that does not serve is a valid request, which may succeed later.
    int failureStatus = allowedMethod.equals("GET") ? 503 : 409;
    return new Response(result.success() ? 200 : failureStatus, result.text());
  }
}
