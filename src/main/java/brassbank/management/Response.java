package brassbank.management;

/**
 * A response to a management request.
 *
 * @param status the status code of RFC 9110
 * @param text one line for a person, in ASCII
 * @param fields additional header lines, each with its line end
 */
record Response(int status, String text, String fields) {
  Response(int status, String text) {
    this(status, text, "");
  }

  private String reason() {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 405 -> "Method Not Allowed";
      case 408 -> "Request Timeout";
      case 409 -> "Conflict";
      case 411 -> "Length Required";
      case 413 -> "Content Too Large";
      case 431 -> "Request Header Fields Too Large";
      case 503 -> "Service Unavailable";
      default -> throw new IllegalStateException("no reason phrase for status " + status);
    };
  }

  /**
   * Returns the response as sent over the connection, which closes after it. The line end of the
   * last line is left to the link, which appends it.
   */
  String lines() {
    return "HTTP/1.1 "
        + status
        + " "
        + reason()
        + "\r\nContent-Type: text/plain; charset=us-ascii\r\nContent-Length: "
        + (text.length() + 2)
        + "\r\nCache-Control: no-store\r\nConnection: close\r\n"
        + fields
        + "\r\n"
        + text;
  }
}
