package brassbank.membership;

import brassbank.membership.Message.Kind;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * An exhaustive search through the states of three members that know each other: each beat of each
 * member, each order of delivery, each loss, and at most two faults, to a depth. Members' clocks
 * are apart, so that a time-out may come at any time. Chance is left out: of several others the
 * first is taken. In each state the rules hold, or the steps to it are told.
 */
final class ModelCheck {
  /** More on their way than this: the oldest is lost. */
  private static final int MOST_ON_THE_WAY = 4;

  private static final long BEAT = Settings.TICK_MICROS;

  /** Time limits of one or two beats, so that deaths are within the depth. */
  static final Settings FAST = new Settings(1, BEAT / 3, BEAT, 1, 1, 1, 20 * BEAT, 2 * BEAT);

  /** What differs from the program where a bug is planted. */
  record Bug(
      Settings settings,
      Comparator<Incarnation> order,
      Function<Message, Message> sent,
      Function<Message, Message> received) {
    static final Bug NONE =
        new Bug(FAST, Incarnation::compareTo, Function.identity(), Function.identity());
  }

  /** What came of a search. */
  record Found(long states, long steps, int depth, String broken, List<String> trace) {}

  /** A step: its kind and whom or what it is about. */
  private record Step(char kind, int on) {
    @Override
    public String toString() {
      return "" + kind + on;
    }
  }

  /** Chance that always falls on the first. */
  private static final RandomGenerator FIRST =
      new RandomGenerator() {
        @Override
        public long nextLong() {
          return 0;
        }

        @Override
        public int nextInt(int bound) {
          return 0;
        }

        @Override
        public int nextInt(int origin, int bound) {
          return origin;
        }

        @Override
        public long nextLong(long bound) {
          return 0;
        }
      };

  private record OnTheWay(int to, InetSocketAddress from, Message message) {}

  private final Bug bug;
  private final int depth;
  private final int faults;

  ModelCheck(Bug bug, int depth, int faults) {
    this.bug = bug;
    this.depth = depth;
    this.faults = faults;
  }

  private static InetSocketAddress address(int number) {
    return new InetSocketAddress("10.0.0." + (number + 1), 7_000);
  }

  /** Three members and the network between them, at one moment. */
  private final class World {
    private final Membership[] members = new Membership[3];
    private final long[] clocks = {1_000_000, 2_000_000, 3_000_000};
    private final Incarnation[] highest = new Incarnation[3];
    private final boolean[] left = new boolean[3];
    private final List<OnTheWay> way = new ArrayList<>();
    private final Map<Integer, Map<String, Member>> last = new HashMap<>();
    private final Map<Integer, Long> versions = new HashMap<>();
    private final Map<String, Long> suspectFor = new HashMap<>();
    private int faulty;
    private String broken;

    World() {
      for (int i = 0; i < 3; i++) {
        start(i, 100);
      }
      for (int round = 0; round < 3; round++) {
        for (int i = 0; i < 3; i++) {
          beat(i);
          while (!way.isEmpty()) {
            deliver(0);
          }
        }
      }
      if (members[0].view().liveMembers().size() != 3) {
        throw new IllegalStateException("they do not know each other");
      }
    }

    private void start(int i, long birth) {
      Incarnation first = new Incarnation(birth, 0);
      highest[i] = highest[i] == null || first.compareTo(highest[i]) > 0 ? first : highest[i];
      Update self =
          new Update("m" + i, address(i), "z", first, State.ALIVE, Activity.ACTIVE, 0, "");
      members[i] =
          new Membership(
              bug.settings(), self, List.of(address(0), address(1)), FIRST, clocks[i], bug.order());
      last.remove(i);
      versions.remove(i);
    }

    private Outbox out(int i) {
      return new Outbox() {
        @Override
        public void send(InetSocketAddress to, Message message) {
          Message sent = bug.sent().apply(message);
          for (int k = 0; k < 3; k++) {
            if (to.equals(address(k)) && k != i) {
              way.add(new OnTheWay(k, address(i), sent));
            }
          }
          while (way.size() > MOST_ON_THE_WAY) {
            way.remove(0);
          }
        }
      };
    }

    void beat(int i) {
      clocks[i] = Math.max(clocks[i], members[i].nextTickAtMicros());
      members[i].tick(clocks[i], out(i));
      judge(i, true);
    }

    void deliver(int at) {
      OnTheWay one = way.remove(at);
      if (members[one.to()] == null) {
        return;
      }
      Message message = bug.received().apply(one.message());
      members[one.to()].receive(clocks[one.to()], one.from(), message, out(one.to()));
      contradicted(one.to(), message);
      judge(one.to(), false);
    }

    /** Whoever hears that it is not there says so, or gives way to one of its name. */
    private void contradicted(int i, Message message) {
      View view = members[i].view();
      for (Update update : message.updates()) {
        if (update.name().equals("m" + i) && update.state() != State.ALIVE && !left[i]) {
          Member self = self(view);
          if (!view.displaced()
              && bug.order().compare(self.incarnation(), update.incarnation()) <= 0) {
            broken = "m" + i + " does not contradict " + update.state();
          }
        }
      }
    }

    private Member self(View view) {
      return view.members().stream()
          .filter(member -> member.name().equals(view.self()))
          .findFirst()
          .orElseThrow();
    }

    private void judge(int i, boolean beat) {
      View view = members[i].view();
      Incarnation own = self(view).incarnation();
      highest[i] = own.compareTo(highest[i]) > 0 ? own : highest[i];
      Long version = versions.put(i, view.version());
      if (version != null && view.version() < version) {
        broken = "m" + i + "'s version falls";
      }
      Map<String, Member> before = last.getOrDefault(i, Collections.emptyMap());
      Map<String, Member> now = new TreeMap<>();
      for (Member one : view.members()) {
        now.put(one.name(), one);
        Member old = before.get(one.name());
        int number = one.name().charAt(1) - '0';
        if (old != null && one.incarnation().compareTo(old.incarnation()) < 0) {
          broken = "m" + i + " goes back to an old incarnation of " + one.name();
        } else if (old != null
            && !old.state().isLive()
            && one.state().isLive()
            && one.incarnation().equals(old.incarnation())) {
          broken = "m" + i + " has " + one.name() + " come back without a higher incarnation";
        }
        if (number != i && one.incarnation().compareTo(highest[number]) > 0) {
          broken = "m" + i + " has an incarnation of " + one.name() + " that it never had";
        }
        if (one.state() == State.DEAD
            && left[number]
            && one.incarnation().equals(highest[number])) {
          broken = "m" + i + " takes the goodbye of " + one.name() + " for a death";
        }
        String pair = i + one.name();
        if (one.state() != State.SUSPECT) {
          suspectFor.remove(pair);
        } else if (beat && suspectFor.merge(pair, 1L, Long::sum) > 4) {
          broken = "m" + i + " suspects " + one.name() + " for more than four beats";
        }
      }
      for (String name : before.keySet()) {
        if (!now.containsKey(name)
            && clocks[i] - before.get(name).changedAtMicros() < FAST.tombstoneRetentionMicros()
            && !view.displaced()) {
          broken = "m" + i + " forgets " + name + " too soon";
        }
      }
      last.put(i, now);
    }

    void take(Step step) {
      int i = step.on();
      switch (step.kind()) {
        case 'B' -> beat(i);
        case 'D' -> deliver(i);
        case 'L' -> way.remove(i);
        case 'K' -> {
          faulty++;
          members[i] = null;
        }
        case 'S' -> {
          // It is stopped for three seconds, and goes on.
          faulty++;
          clocks[i] += 3_000_000;
        }
        case 'R' -> {
          // Killed and started at once, its clock put back.
          faulty++;
          start(i, 50);
        }
        case 'G' -> {
          faulty++;
          Incarnation next = highest[i].next();
          members[i].leave(clocks[i], out(i));
          left[i] = true;
          highest[i] = next;
          members[i] = null;
        }
        default -> throw new IllegalStateException();
      }
    }

    List<Step> steps() {
      List<Step> steps = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        if (members[i] != null) {
          steps.add(new Step('B', i));
        }
      }
      for (int i = 0; i < way.size(); i++) {
        steps.add(new Step('D', i));
        steps.add(new Step('L', i));
      }
      if (faulty < faults && members[2] != null) {
        // The three are alike but for their names: faults of one and of another are all there is.
        for (char kind : "KSRG".toCharArray()) {
          steps.add(new Step(kind, 2));
        }
      }
      if (faulty < faults && members[2] == null && !left[2]) {
        steps.add(new Step('R', 2));
      }
      if (faulty > 0 && faulty < faults && members[1] != null) {
        for (char kind : "KS".toCharArray()) {
          steps.add(new Step(kind, 1));
        }
      }
      return steps;
    }

    String situation() {
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < 3; i++) {
        text.append(members[i] == null ? "-" : members[i].situation()).append(highest[i]);
        text.append(left[i]).append('|');
      }
      List<String> messages = new ArrayList<>();
      for (OnTheWay one : way) {
        Message m = one.message();
        messages.add(
            one.to()
                + " "
                + m.kind()
                + m.sender().name()
                + m.sender().incarnation()
                + m.target()
                + m.updates()
                + (m.kind() == Kind.ACK ? m.sequence() : 0));
      }
      Collections.sort(messages);
      return text.append(messages).append(faulty).append(suspectFor).toString();
    }
  }

  /** What one step leads to. */
  private record Reached(List<Step> path, long situation, String broken) {}

  /** Searches, breadth first: the first broken rule has the fewest steps. */
  Found search() {
    Set<Long> seen = new HashSet<>();
    List<List<Step>> level = List.of(List.of());
    long steps = 0;
    for (int d = 1; d <= depth; d++) {
      List<Reached> reached = level.parallelStream().flatMap(path -> from(path).stream()).toList();
      steps += reached.size();
      List<List<Step>> next = new ArrayList<>();
      for (Reached one : reached) {
        if (one.broken() != null) {
          List<String> trace = new ArrayList<>();
          one.path().forEach(step -> trace.add(step.toString()));
          return new Found(seen.size(), steps, d, one.broken(), trace);
        }
        if (seen.add(one.situation())) {
          next.add(one.path());
        }
      }
      level = next;
    }
    return new Found(seen.size(), steps, depth, null, List.of());
  }

  private List<Reached> from(List<Step> path) {
    List<Reached> reached = new ArrayList<>();
    for (Step step : replay(path).steps()) {
      World world = replay(path);
      world.take(step);
      List<Step> longer = new ArrayList<>(path);
      longer.add(step);
      reached.add(new Reached(longer, hash(world.situation()), world.broken));
    }
    return reached;
  }

  private World replay(List<Step> path) {
    World world = new World();
    path.forEach(world::take);
    return world;
  }

  /** 64 bits of it: of a million states two are taken for one with a chance of one in 10^7. */
  private static long hash(String text) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
      hash ^= hash >>> 29;
    }
    return hash;
  }

  /** The whole search: {@code depth faults}. */
  public static void main(String[] arguments) {
    long begun = System.nanoTime();
    Found found =
        new ModelCheck(Bug.NONE, Integer.parseInt(arguments[0]), Integer.parseInt(arguments[1]))
            .search();
    System.out.printf(
        "%d states, %d steps, depth %d, %.1f s: %s %s%n",
        found.states(),
        found.steps(),
        found.depth(),
        (System.nanoTime() - begun) / 1e9,
        found.broken() == null ? "all rules hold" : found.broken(),
        found.trace());
  }
}
