package brassbank.log;

import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.Locale;

/**
 * The formats of a log line. Fields may contain text sent by a peer. In both formats a line is
 * therefore printable ASCII, with all other characters escaped, and the length of a value is
 * limited. A peer can neither forge a line or a field nor send control characters to a terminal.
 */
public enum Format {
  /** Time, level, component and event, followed by {@code name=value} pairs. */
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

  /** One JSON object per line (RFC 8259). */
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
      // Characters beyond ASCII occur within strings only, where JSON has the same escape.
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

  /** A line of a peer may have 4 KiB; its beginning is enough for diagnosis. */
  static final int MAX_VALUE_CHARS = 512;

  static final int MAX_CAUSE_CHARS = 2048;

  /** Returns the line for an event, without a line end. */
  abstract String line(long unixMillis, Event event);

  /** Returns the format with this name, or null if there is none. */
  public static Format named(String name) {
    for (Format format : values()) {
      if (format.toString().equals(name)) {
        return format;
      }
    }
    return null;
  }

  /** Returns the name of the format: {@code text} or {@code json}. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Appends the time in UTC with milliseconds (ISO 8601). Does not use {@code DateTimeFormatter},
   * which {@code Instant.toString} uses too: its first use takes 20 ms of the start-up time.
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

  private static String truncate(String value, int maxChars) {
    return value.length() <= maxChars ? value : value.substring(0, maxChars) + "...";
  }

  private static void appendPair(StringBuilder line, String name, String text, int maxChars) {
    String value = truncate(text, maxChars);
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

  /** Returns whether a value can be parsed without quotes around it. */
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
