package brassbank.management;

import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One call as it comes, line by line (RFC 9112, sections 2 to 6, as far as three calls without
 * content need them). No I/O, no clock: whoever has the connection hands in its lines.
 */
final class Request {
  /** The most lines that a call's head may have, its first one included. */
  static final int MOST_LINES = 64;

  /** The most content that is read, in bytes; none of it means anything. */
  static final int MOST_CONTENT = 1024;

  private static final Pattern FIRST =
      Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+) (\\S+) HTTP/1\\.[0-9]");

  private static final Pattern FIELD =
      Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \\t]*([\\t -~\\x80-\\xff]*?)[ \\t]*");

  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,9}");

  private String method;
  private String path;
  private int lines;
  private int content = -1;

  /** The first error, which is the answer; null while there is none. */
  private Reply error;

  private boolean head = true;

  /** The answer comes later. */
  private boolean waits;

  /** Takes the next line of the head, without its end. */
  void line(String line) {
    if (method == null && error == null) {
      // An empty line before the first is to be passed over (RFC 9112, section 2.2).
      if (!line.isEmpty()) {
        first(line);
      }
    } else if (line.isEmpty()) {
      head = false;
    } else {
      field(line);
    }
    if (++lines > MOST_LINES) {
      tooLong();
    }
  }

  private void first(String line) {
    Matcher parts = FIRST.matcher(line);
    if (!parts.matches()) {
      fail(new Reply(400, "not METHOD TARGET HTTP/1.1"));
      return;
    }
    method = parts.group(1);
    path = parts.group(2).split("\\?", 2)[0];
  }

  private void field(String line) {
    Matcher parts = FIELD.matcher(line);
    if (!parts.matches()) {
      fail(new Reply(400, "a header line is malformed"));
    } else if (parts.group(1).equalsIgnoreCase("Content-Length")) {
      if (!LENGTH.matcher(parts.group(2)).matches()
          || (content >= 0 && content != Integer.parseInt(parts.group(2)))) {
        fail(new Reply(400, "Content-Length is malformed"));
      } else {
        content = Integer.parseInt(parts.group(2));
        if (content > MOST_CONTENT) {
          fail(new Reply(413, "these calls have no content"));
        }
      }
    } else if (parts.group(1).equalsIgnoreCase("Transfer-Encoding")) {
      fail(new Reply(411, "content only with Content-Length"));
    }
  }

  /** A line or the whole head is longer than allowed. */
  void tooLong() {
    fail(new Reply(431, "the call's head is too long"));
  }

  private void fail(Reply reply) {
    if (error == null) {
      error = reply;
    }
  }

  /** Whether more lines of the head are to come. */
  boolean inHead() {
    return head && error == null;
  }

  /**
   * The answer, once the call is whole or cannot become so; null until then. What the call asks for
   * is done here.
   *
   * @param held how many bytes have come after the head
   * @param later hears the answer where others are asked first, perhaps within this call
   */
  Reply reply(int held, Operators operators, Consumer<Reply> later) {
    if (waits) {
      return null;
    }
    if (error != null) {
      return error;
    }
    if (head || held < content) {
      return null;
    }
    return switch (path) {
      case "/status" -> reply("GET", operators::status);
      case "/standby" -> standby(operators, later);
      case "/active" -> reply("PUT", operators::active);
      case "/members" -> members(operators);
      default -> new Reply(404, "only /status, /standby, /active and /members are here");
    };
  }

  private Reply standby(Operators operators, Consumer<Reply> later) {
    waits = method.equals("PUT") && operators.standby(answer -> later.accept(put(answer)));
    return waits ? null : reply("PUT", operators::standby);
  }

  private static Reply put(Operators.Answer answer) {
    return new Reply(answer.yes() ? 200 : 409, answer.text());
  }

  private Reply members(Operators operators) {
    if (!method.equals("GET")) {
      return new Reply(405, "only GET", "Allow: GET\r\n");
    }
    String members = operators.members();
    return members == null
        ? new Reply(404, "this proxy keeps no view of a fleet")
        : new Reply(200, members);
  }

  private Reply reply(String allowed, Supplier<Operators.Answer> asked) {
    if (!method.equals(allowed)) {
      return new Reply(405, "only " + allowed, "Allow: " + allowed + "\r\n");
    }
    Operators.Answer answer = asked.get();
    // A proxy that is not serving is no error of the call's, and may serve the next time.
    int no = allowed.equals("GET") ? 503 : 409;
    return new Reply(answer.yes() ? 200 : no, answer.text());
  }
}
