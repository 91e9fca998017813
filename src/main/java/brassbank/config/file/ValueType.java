package brassbank.config.file;

import brassbank.membership.Update;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The type of a key's value: its notation, its bounds and its conversion. Quantities are written
 * with a unit, so that the unit of a key need not be looked up.
 *
 * @param <T> the type of the converted value
 */
abstract class ValueType<T extends Comparable<T>> {
  /** A unit and its size in the base unit (bytes, microseconds, bytes per second). */
  private record Unit(String name, long factor) {}

  private static final List<Unit> SIZES =
      List.of(
          new Unit("GiB", 1L << 30),
          new Unit("MiB", 1L << 20),
          new Unit("KiB", 1L << 10),
          new Unit("B", 1));

  private static final List<Unit> TIMES =
      List.of(
          new Unit("h", 3_600_000_000L),
          new Unit("min", 60_000_000),
          new Unit("s", 1_000_000),
          new Unit("ms", 1_000));

  private static final List<Unit> RATES =
      List.of(new Unit("MiB/s", 1L << 20), new Unit("KiB/s", 1L << 10), new Unit("B/s", 1));

  private static final Pattern QUANTITY = Pattern.compile("(\\d{1,12}) ?([A-Za-z/]+)");

  private final T min;
  private final T max;

  private ValueType(T min, T max) {
    this.min = min;
    this.max = max;
  }

  /** Describes the notation of a value, with an example. */
  abstract String expectedForm();

  /**
   * Converts a value of the TOML library.
   *
   * @throws IllegalArgumentException if it does not have the expected form
   */
  abstract T parse(Object toml);

  /** Returns the value in the notation of the file. */
  abstract String format(T value);

  /**
   * Converts a value and checks its bounds.
   *
   * @throws IllegalArgumentException with a message that says what the value must be
   */
  final T read(Object toml) {
    T value;
    try {
      value = parse(toml);
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("must be " + expectedForm());
    }
    if (min != null && (value.compareTo(min) < 0 || value.compareTo(max) > 0)) {
      throw new IllegalArgumentException(
          "must be from " + format(min) + " to " + format(max) + ", not " + format(value));
    }
    return value;
  }

  /** Returns the bounds in the notation of the file, or the expected form if there are none. */
  final String range() {
    return min == null ? expectedForm() : format(min) + " to " + format(max);
  }

  /** A name of visible ASCII characters, as sent to other members. */
  static ValueType<String> name() {
    return new ValueType<>(null, null) {
      @Override
      String expectedForm() {
        return "a name of 1 to 63 visible characters";
      }

      @Override
      String parse(Object toml) {
        if (!(toml instanceof String text) || !Update.isValidName(text)) {
          throw new IllegalArgumentException();
        }
        return text;
      }

      @Override
      String format(String value) {
        return '"' + value + '"';
      }
    };
  }

  /** A fraction from the minimum to 1. */
  static ValueType<Double> fraction(double min) {
    return new ValueType<>(min, 1.0) {
      @Override
      String expectedForm() {
        return "a number from " + min + " to 1.0";
      }

      @Override
      Double parse(Object toml) {
        if (toml instanceof Long whole) {
          return whole.doubleValue();
        }
        if (!(toml instanceof Double fraction) || fraction.isNaN()) {
          throw new IllegalArgumentException();
        }
        return fraction;
      }

      @Override
      String format(Double value) {
        return value.toString();
      }
    };
  }

  /** A whole number. */
  static ValueType<Long> count(long min, long max) {
    return new ValueType<>(min, max) {
      @Override
      String expectedForm() {
        return "a whole number";
      }

      @Override
      Long parse(Object toml) {
        if (!(toml instanceof Long whole)) {
          throw new IllegalArgumentException();
        }
        return whole;
      }

      @Override
      String format(Long value) {
        return value.toString();
      }
    };
  }

  /** An address with its port; host names are not accepted. */
  static ValueType<Addresses> address() {
    return addresses(
        "an address such as \"10.0.0.7:7075\"",
        toml -> toml instanceof String text ? List.of(Addresses.parse(text)) : null);
  }

  /** A list of addresses with their ports. */
  static ValueType<Addresses> addresses() {
    return addresses(
        "a list of at most 64 addresses such as [\"10.0.0.7:7075\"]",
        toml -> {
          if (!(toml instanceof List<?> all) || all.size() > 64) {
            return null;
          }
          List<InetSocketAddress> read = new ArrayList<>();
          for (Object one : all) {
            read.add(Addresses.parse(String.valueOf(one)));
          }
          return read;
        });
  }

  private static ValueType<Addresses> addresses(
      String form, Function<Object, List<InetSocketAddress>> reader) {
    return new ValueType<>(null, null) {
      @Override
      String expectedForm() {
        return form;
      }

      @Override
      Addresses parse(Object toml) {
        List<InetSocketAddress> all = reader.apply(toml);
        if (all == null) {
          throw new IllegalArgumentException();
        }
        return new Addresses(all);
      }

      @Override
      String format(Addresses value) {
        return value.toString();
      }
    };
  }

  /** A number of bytes: a whole number and a unit. */
  static ValueType<Long> size(long minBytes, long maxBytes) {
    return quantity("a size such as \"64 KiB\" (B, KiB, MiB, GiB)", SIZES, minBytes, maxBytes);
  }

  /** A time in microseconds: a whole number and a unit, milliseconds or longer. */
  static ValueType<Long> time(long minMicros, long maxMicros) {
    return quantity("a time such as \"10 s\" (ms, s, min, h)", TIMES, minMicros, maxMicros);
  }

  /** A rate in bytes per second: a whole number and a unit. */
  static ValueType<Long> rate(long min, long max) {
    return quantity("a rate such as \"1 KiB/s\" (B/s, KiB/s, MiB/s)", RATES, min, max);
  }

  private static ValueType<Long> quantity(String form, List<Unit> units, long min, long max) {
    return new ValueType<>(min, max) {
      @Override
      String expectedForm() {
        return form;
      }

      @Override
      Long parse(Object toml) {
        Matcher parts = QUANTITY.matcher(toml instanceof String text ? text : "");
        if (!parts.matches()) {
          throw new IllegalArgumentException();
        }
        for (Unit unit : units) {
          if (unit.name.equals(parts.group(2))) {
            long count = Long.parseLong(parts.group(1));
            // Saturates at 2^62, which exceeds every bound.
            return count > (1L << 62) / unit.factor ? 1L << 62 : count * unit.factor;
          }
        }
        throw new IllegalArgumentException();
      }

      @Override
      String format(Long value) {
        for (Unit unit : units) {
          if (value % unit.factor == 0 && (value != 0 || unit.factor == 1)) {
            return String.format(Locale.ROOT, "\"%d %s\"", value / unit.factor, unit.name);
          }
        }
        return "\"0 " + units.get(units.size() - 1).name + "\"";
      }
    };
  }
}
