package brassbank.log;

import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.Locale;

/**
 * The two forms of a line. A field may hold what a peer has sent: in both forms a line is printable
 * ASCII only, all else in it is escaped, and a value has a longest length. So no peer can begin a
 * line, write to the terminal that shows it, or be read as a field of another name.
 */
public enum Format {
  /** Time, level, component and event, then {@code name=value} pairs. */
  TEXT {
    @Override
    String line(long unixMillis, Event event) {
      StringBuilder line = new StringBuilder(160);
      appendTime(line, unixMillis);
      line.append(' ').append(event.level()).append(' ').append(event.component());
      line.append(": ").append(event.name());
      for (Field field : event.fields()) {
        appendPair(line, field.name(), String.valueOf(field.value()), MAX_VALUE_CHARS);
      }
      if (event.cause() != null) {
        appendPair(line, "cause", event.causeText(), MAX_CAUSE_CHARS);
      }
      return line.toString();
    }
  },

  /** One JSON object a line (RFC 8259). */
  JSON {
    @Override
    String line(long unixMillis, Event event) {
      StringWriter text = new StringWriter(200);
      try (JsonWriter json = new JsonWriter(text)) {
        json.beginObject();
        json.name("time").value(appendTime(new StringBuilder(), unixMillis).toString());
        json.name("level").value(event.level().toString());
        json.name("component").value(event.component());
        json.name("event").value(event.name());
        for (Field field : event.fields()) {
          json.name(field.name());
          if (field.value() instanceof Boolean truth) {
            json.value(truth);
          } else if (field.value() instanceof Number number && isJson(number)) {
            json.value(number);
          } else {
            json.value(truncate(String.valueOf(field.value()), MAX_VALUE_CHARS));
          }
        }
        if (event.cause() != null) {
          json.name("cause").value(truncate(event.causeText(), MAX_CAUSE_CHARS));
        }
        json.endObject();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      // What is left beyond ASCII stands within strings, where the same escape holds.
      StringBuilder line = new StringBuilder(text.getBuffer().length());
      for (int i = 0; i < text.getBuffer().length(); i++) {
        char c = text.getBuffer().charAt(i);
        if (c < 0x7f) {
          line.append(c);
        } else {
          appendUnicodeEscape(line, c);
        }
      }
      return line.toString();
    }
  };

  /** A peer's line has 4 KiB at most; its first part tells enough. */
  static final int MAX_VALUE_CHARS = 512;

  static final int MAX_CAUSE_CHARS = 2048;

  /** The line for an event, without its end. */
  abstract String line(long unixMillis, Event event);

  /** The form by its name; null for a name that is none of theirs. */
  public static Format named(String name) {
    for (Format format : values()) {
      if (format.toString().equals(name)) {
        return format;
      }
    }
    return null;
  }

  /** {@code text} or {@code json}. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * UTC to the millisecond (ISO 8601). By hand, since the runtime's formatter, which {@code
   * Instant.toString} uses too, takes 20 ms of the start until it has written the first time.
   */
  private static StringBuilder appendTime(StringBuilder line, long unixMillis) {
    LocalDateTime time =
        LocalDateTime.ofEpochSecond(Math.floorDiv(unixMillis, 1000), 0, ZoneOffset.UTC);
    appendDigits(line, time.getYear(), 4).append('-');
    appendDigits(line, time.getMonthValue(), 2).append('-');
    appendDigits(line, time.getDayOfMonth(), 2).append('T');
    appendDigits(line, time.getHour(), 2).append(':');
    appendDigits(line, time.getMinute(), 2).append(':');
    appendDigits(line, time.getSecond(), 2).append('.');
    return appendDigits(line, Math.floorMod(unixMillis, 1000), 3).append('Z');
  }

  private static StringBuilder appendDigits(StringBuilder line, int number, int width) {
    String digits = Integer.toString(number);
    return line.append("0".repeat(Math.max(0, width - digits.length()))).append(digits);
  }

  private static boolean isJson(Number number) {
    return !(number instanceof Double || number instanceof Float)
        || Double.isFinite(number.doubleValue());
  }

  private static String truncate(String value, int longest) {
    return value.length() <= longest ? value : value.substring(0, longest) + "...";
  }

  private static void appendPair(StringBuilder line, String name, String whole, int longest) {
    String value = truncate(whole, longest);
    line.append(' ').append(name).append('=');
    if (isPlain(value)) {
      line.append(value);
      return;
    }
    line.append('"');
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (c == '"' || c == '\\') {
        line.append('\\').append(c);
      } else if (c >= ' ' && c < 0x7f) {
        line.append(c);
      } else {
        appendUnicodeEscape(line, c);
      }
    }
    line.append('"');
  }

  /** Whether a reader can tell the value's end without quotes. */
  private static boolean isPlain(String value) {
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      if (c <= ' ' || c >= 0x7f || c == '"' || c == '=' || c == '\\') {
        return false;
      }
    }
    return !value.isEmpty();
  }

  private static void appendUnicodeEscape(StringBuilder line, char c) {
    line.append("\\u");
    for (int shift = 12; shift >= 0; shift -= 4) {
      line.append(Character.forDigit(c >> shift & 0xf, 16));
    }
  }
}
