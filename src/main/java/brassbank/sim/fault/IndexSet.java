package brassbank.sim.fault;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A set of numbers from 0 on, written as {@code 0-12,57}; all of them where it is not bounded. */
public final class IndexSet {
  /** Every number. */
  public static final IndexSet ALL = new IndexSet(null);

  private static final int MAX_INDEX = 1_000_000;

  private final BitSet indexes;

  private IndexSet(BitSet bits) {
    this.indexes = bits;
  }

  /** These numbers. */
  public static IndexSet of(List<Integer> numbers) {
    BitSet bits = new BitSet();
    numbers.forEach(bits::set);
    return new IndexSet(bits);
  }

  /** Throws IllegalArgumentException where the text is no list of numbers and ranges. */
  public static IndexSet parse(String text) {
    BitSet bits = new BitSet();
    for (String part : text.isBlank() ? new String[0] : text.split(",", -1)) {
      String[] ends = part.trim().split("-", 2);
      try {
        int first = Integer.parseInt(ends[0]);
        int last = Integer.parseInt(ends[ends.length - 1]);
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

  /** The numbers below {@code bound}, in order. */
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
