package brassbank.sim.fault;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A set of non-negative integers, written as {@code 0-12,57}, or the set of all of them. */
public final class IndexSet {
  /** Contains every index. */
  public static final IndexSet ALL = new IndexSet(null);

  private static final int MAX_INDEX = 1_000_000;

  private final BitSet indexes;

  private IndexSet(BitSet bits) {
    this.indexes = bits;
  }

  /** Returns the set of these indexes. */
  public static IndexSet of(List<Integer> numbers) {
    BitSet bits = new BitSet();
    numbers.forEach(bits::set);
    return new IndexSet(bits);
  }

  /**
   * Parses a comma-separated list of numbers and ranges.
   *
   * @throws IllegalArgumentException if the text is not such a list
   */
  public static IndexSet parse(String text) {
    BitSet bits = new BitSet();
    for (String part : text.isBlank() ? new String[0] : text.split(",", -1)) {
      String[] limits = part.trim().split("-", 2);
      try {
        int first = Integer.parseInt(limits[0]);
        int last = Integer.parseInt(limits[limits.length - 1]);
        if (first < 0 || last < first || last > MAX_INDEX) {
          throw new NumberFormatException();
        }
        bits.set(first, last + 1);
      } catch (NumberFormatException e) {
        throw new IllegalArgumentException("no number or range of numbers: " + part);
      }
    }
    return new IndexSet(bits);
  }

  public boolean contains(int number) {
    return indexes == null || indexes.get(number);
  }

  /** Returns the members less than {@code bound}, in ascending order. */
  public List<Integer> below(int bound) {
    List<Integer> all = new ArrayList<>();
    for (int i = 0; i < bound; i++) {
      if (contains(i)) {
        all.add(i);
      }
    }
    return all;
  }

  public boolean isAll() {
    return indexes == null;
  }

  @Override
  public String toString() {
    if (indexes == null) {
      return "all";
    }
    StringBuilder text = new StringBuilder();
    for (int from = indexes.nextSetBit(0); from >= 0; ) {
      int to = indexes.nextClearBit(from) - 1;
      text.append(text.isEmpty() ? "" : ",").append(from);
      if (to > from) {
        text.append('-').append(to);
      }
      from = indexes.nextSetBit(to + 1);
    }
    return text.toString();
  }
}
