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
 * What a key's value is: how it is written, what it must be between, and how it is read. Quantities
 * are written with their unit, so that nobody has to know which one a key counts in.
 *
 * @param <T> what the program gets
 */
abstract class ValueType<T extends Comparable<T>> {
  /** A unit as it is written, and how many of the base unit it is. */
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

  private ValueType(T least, T most) {
    this.min = least;
    this.max = most;
  }

  /** What a value must look like, with an example. */
  abstract String expectedForm();

  /**
   * The value as the program takes it; throws IllegalArgumentException where it has no such form.
   */
  abstract T parse(Object toml);

  /** The value as a file has it. */
  abstract String format(T value);

  /** Reads and checks a value; throws IllegalArgumentException with what it must be. */
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

  /** What it may be between, as a file has it. */
  final String range() {
    return min == null ? expectedForm() : format(min) + " to " + format(max);
  }

  /** A name of visible ASCII, as it is told to others. */
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

  /** A part of a whole, from the least on. */
  static ValueType<Double> fraction(double least) {
    return new ValueType<>(least, 1.0) {
      @Override
      String expectedForm() {
        return "a number from " + least + " to 1.0";
      }

      @Override
      Double parse(Object toml) {
        if (toml instanceof Long whole) {
          return whole.doubleValue();
        }
        if (!(toml instanceof Double part) || part.isNaN()) {
          throw new IllegalArgumentException();
        }
        return part;
      }

      @Override
      String format(Double value) {
        return value.toString();
      }
    };
  }

  /** A whole number. */
  static ValueType<Long> count(long least, long most) {
    return new ValueType<>(least, most) {
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

  /** One address with its port; no name is looked up. */
  static ValueType<Addresses> address() {
    return addresses(
        "an address such as \"10.0.0.7:7075\"",
        toml -> toml instanceof String text ? List.of(Addresses.single(text)) : null);
  }

  /** Some of them. */
  static ValueType<Addresses> addresses() {
    return addresses(
        "a list of at most 64 addresses such as [\"10.0.0.7:7075\"]",
        toml -> {
          if (!(toml instanceof List<?> all) || all.size() > 64) {
            return null;
          }
          List<InetSocketAddress> read = new ArrayList<>();
          for (Object one : all) {
            read.add(Addresses.single(String.valueOf(one)));
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

  /** Bytes: a whole number and its unit. */
  static ValueType<Long> size(long least, long most) {
    return quantity("a size such as \"64 KiB\" (B, KiB, MiB, GiB)", SIZES, least, most);
  }

  /** Microseconds: a whole number and its unit, from milliseconds up. */
  static ValueType<Long> time(long leastMicros, long mostMicros) {
    return quantity("a time such as \"10 s\" (ms, s, min, h)", TIMES, leastMicros, mostMicros);
  }

  /** Bytes a second: a whole number and its unit. */
  static ValueType<Long> rate(long least, long most) {
    return quantity("a rate such as \"1 KiB/s\" (B/s, KiB/s, MiB/s)", RATES, least, most);
  }

  private static ValueType<Long> quantity(String form, List<Unit> units, long least, long most) {
    return new ValueType<>(least, most) {
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
            // Whatever is beyond 2^62 is beyond every bound too.
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
