package brassbank.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** All that this member knows of, bounded, with the live ones at hand for a choice by chance. */
final class Roster {
  /** Members that are there at a time, at most. */
  static final int MOST_LIVE = 2_048;

  /** Of those that are not, the last so many are remembered. */
  static final int MOST_REMEMBERED = 1_024;

  private final Entry self;
  private final Map<String, Entry> all = new TreeMap<>();

  /** The others that live, in no order. */
  private final List<Entry> live = new ArrayList<>();

  /** Those that do not. */
  private final List<Entry> gone = new ArrayList<>();

  /** Suspected ones among the live. */
  private int suspects;

  private long digest;

  Roster(Entry self) {
    this.self = self;
    all.put(self.name, self);
    digest = mark(self);
  }

  Entry get(String name) {
    return all.get(name);
  }

  /** The others that live; not to be changed. */
  List<Entry> live() {
    return live;
  }

  List<Entry> gone() {
    return gone;
  }

  /** Whether more are remembered than may be, by so many that it is worth a look at all. */
  boolean overfull() {
    return gone.size() > MOST_REMEMBERED + MOST_REMEMBERED / 16;
  }

  Iterable<Entry> all() {
    return all.values();
  }

  int size() {
    return all.size();
  }

  boolean suspects() {
    return suspects > 0;
  }

  /** Of the live members with their incarnations, whatever the order in which they came. */
  long digest() {
    return digest;
  }

  boolean room() {
    return live.size() < MOST_LIVE;
  }

  void add(Entry entry) {
    all.put(entry.name, entry);
    enter(entry);
  }

  /** To be called around each change of an entry that is here. */
  void change(Entry entry, Runnable change) {
    leave(entry);
    change.run();
    enter(entry);
  }

  private void enter(Entry entry) {
    if (entry.state.isLive()) {
      digest ^= mark(entry);
      if (entry != self) {
        entry.place = live.size();
        live.add(entry);
        suspects += entry.state == State.SUSPECT ? 1 : 0;
      }
    } else if (entry != self) {
      gone.add(entry);
    }
  }

  private void leave(Entry entry) {
    if (entry.state.isLive()) {
      digest ^= mark(entry);
      if (entry != self) {
        Entry last = live.remove(live.size() - 1);
        if (last != entry) {
          live.set(entry.place, last);
          last.place = entry.place;
        }
        entry.place = -1;
        suspects -= entry.state == State.SUSPECT ? 1 : 0;
      }
    } else {
      gone.remove(entry);
    }
  }

  /** Takes those out that are remembered for long enough, or are too many; they are returned. */
  List<Entry> forget(long now, long after) {
    List<Entry> forgotten = new ArrayList<>();
    for (Entry entry : gone) {
      if (now - entry.since >= after) {
        forgotten.add(entry);
      }
    }
    if (gone.size() - forgotten.size() > MOST_REMEMBERED) {
      gone.stream()
          .sorted(Comparator.comparingLong(entry -> entry.since))
          .limit(gone.size() - MOST_REMEMBERED)
          .filter(entry -> !forgotten.contains(entry))
          .forEach(forgotten::add);
    }
    for (Entry entry : forgotten) {
      gone.remove(entry);
      all.remove(entry.name);
    }
    return forgotten;
  }

  /** Takes all others out; they are returned. */
  List<Entry> clear() {
    List<Entry> others = new ArrayList<>(all.values());
    others.remove(self);
    all.values().removeIf(entry -> entry != self);
    live.clear();
    gone.clear();
    suspects = 0;
    digest = self.state.isLive() ? mark(self) : 0;
    return others;
  }

  /** So many of the live ones, all different and none of them {@code but}; fewer where none are. */
  List<Entry> some(int count, Entry but, RandomGenerator chance) {
    List<Entry> chosen = new ArrayList<>(count);
    int here = live.size();
    if (here <= count * 3) {
      List<Entry> left = new ArrayList<>(live);
      left.remove(but);
      while (!left.isEmpty() && chosen.size() < count) {
        chosen.add(left.remove(chance.nextInt(left.size())));
      }
      return chosen;
    }
    while (chosen.size() < count) {
      Entry entry = live.get(chance.nextInt(here));
      if (entry != but && !chosen.contains(entry)) {
        chosen.add(entry);
      }
    }
    return chosen;
  }

  /** A hash of a member's name and incarnation (the finalizer of MurmurHash3, 64 bits). */
  private static long mark(Entry entry) {
    long hash = entry.name.hashCode() * 0x9E3779B97F4A7C15L + entry.incarnation.startTime();
    hash = mix(hash) + entry.incarnation.revision();
    return mix(hash);
  }

  private static long mix(long hash) {
    long mixed = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
