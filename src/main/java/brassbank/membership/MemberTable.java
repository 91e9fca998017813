package brassbank.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * All members known to this process, bounded in number. Live members are also kept in a list, from
 * which random members are chosen. Members that are dead or have left stay as tombstones for a
 * time. Not thread-safe.
 */
final class MemberTable {
  /** Maximum number of other live members. */
  static final int MAX_LIVE = 2_048;

  /** Maximum number of tombstones; the oldest are removed first. */
  static final int MAX_TOMBSTONES = 1_024;

  private final MemberEntry self;
  private final Map<String, MemberEntry> all = new TreeMap<>();

  /** The other live members, in no particular order. */
  private final List<MemberEntry> live = new ArrayList<>();

  /** Members that are dead or have left. */
  private final List<MemberEntry> tombstones = new ArrayList<>();

  /** Suspected members among the live ones. */
  private int suspectCount;

  private long digest;

  MemberTable(MemberEntry self) {
    this.self = self;
    all.put(self.name, self);
    digest = hash(self);
  }

  MemberEntry get(String name) {
    return all.get(name);
  }

  /** Returns the other live members; the caller must not modify the list. */
  List<MemberEntry> live() {
    return live;
  }

  List<MemberEntry> tombstones() {
    return tombstones;
  }

  /**
   * Returns whether there are so many tombstones beyond the maximum that a pass to remove them pays
   * off.
   */
  boolean hasExcessTombstones() {
    return tombstones.size() > MAX_TOMBSTONES + MAX_TOMBSTONES / 16;
  }

  Iterable<MemberEntry> all() {
    return all.values();
  }

  int size() {
    return all.size();
  }

  boolean hasSuspects() {
    return suspectCount > 0;
  }

  /**
   * Returns a hash of the live members and their incarnations that does not depend on their order.
   */
  long digest() {
    return digest;
  }

  boolean hasCapacity() {
    return live.size() < MAX_LIVE;
  }

  void add(MemberEntry entry) {
    all.put(entry.name, entry);
    index(entry);
  }

  /** Applies a change to an entry of this table and keeps the lists and the digest up to date. */
  void update(MemberEntry entry, Runnable change) {
    unindex(entry);
    change.run();
    index(entry);
  }

  private void index(MemberEntry entry) {
    if (entry.state.isLive()) {
      digest ^= hash(entry);
      if (entry != self) {
        entry.liveIndex = live.size();
        live.add(entry);
        suspectCount += entry.state == State.SUSPECT ? 1 : 0;
      }
    } else if (entry != self) {
      tombstones.add(entry);
    }
  }

  private void unindex(MemberEntry entry) {
    if (entry.state.isLive()) {
      digest ^= hash(entry);
      if (entry != self) {
        MemberEntry last = live.remove(live.size() - 1);
        if (last != entry) {
          live.set(entry.liveIndex, last);
          last.liveIndex = entry.liveIndex;
        }
        entry.liveIndex = -1;
        suspectCount -= entry.state == State.SUSPECT ? 1 : 0;
      }
    } else {
      tombstones.remove(entry);
    }
  }

  /**
   * Removes and returns the tombstones that are older than the retention time or exceed the
   * maximum.
   *
   * @param now the current time, in microseconds
   * @param retentionMicros how long a tombstone is kept
   */
  List<MemberEntry> expireTombstones(long now, long retentionMicros) {
    List<MemberEntry> expired = new ArrayList<>();
    for (MemberEntry entry : tombstones) {
      if (now - entry.changedAtMicros >= retentionMicros) {
        expired.add(entry);
      }
    }
    if (tombstones.size() - expired.size() > MAX_TOMBSTONES) {
      tombstones.stream()
          .sorted(Comparator.comparingLong(entry -> entry.changedAtMicros))
          .limit(tombstones.size() - MAX_TOMBSTONES)
          .filter(entry -> !expired.contains(entry))
          .forEach(expired::add);
    }
    for (MemberEntry entry : expired) {
      tombstones.remove(entry);
      all.remove(entry.name);
    }
    return expired;
  }

  /** Removes and returns all other members. */
  List<MemberEntry> clear() {
    List<MemberEntry> others = new ArrayList<>(all.values());
    others.remove(self);
    all.values().removeIf(entry -> entry != self);
    live.clear();
    tombstones.clear();
    suspectCount = 0;
    digest = self.state.isLive() ? hash(self) : 0;
    return others;
  }

  /** Returns up to {@code count} distinct random live members, without {@code excluded}. */
  List<MemberEntry> randomLive(int count, MemberEntry excluded, RandomGenerator random) {
    List<MemberEntry> chosen = new ArrayList<>(count);
    int liveCount = live.size();
    if (liveCount <= count * 3) {
      List<MemberEntry> candidates = new ArrayList<>(live);
      candidates.remove(excluded);
      while (!candidates.isEmpty() && chosen.size() < count) {
        chosen.add(candidates.remove(random.nextInt(candidates.size())));
      }
      return chosen;
    }
    while (chosen.size() < count) {
      MemberEntry entry = live.get(random.nextInt(liveCount));
      if (entry != excluded && !chosen.contains(entry)) {
        chosen.add(entry);
      }
    }
    return chosen;
  }

  /** Hashes a member's name and incarnation with the 64-bit finalizer of MurmurHash3. */
  private static long hash(MemberEntry entry) {
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
