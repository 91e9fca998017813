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
 * An exhaustive search, to a given depth, through the states of three members that know each other.
 * The steps are each tick of each member, each order of delivery, each loss of a message, and at
 * most two faults. The members' clocks are independent, so that a time-out may occur at any point.
 * Random choices are replaced by the first candidate. The invariants are checked in each state; the
 * steps to a state that violates one are reported.
 */
final class ModelCheck {
  /** Maximum number of messages in flight; beyond it the oldest is lost. */
  private static final int MAX_IN_FLIGHT = 4;

  private static final long TICK_MICROS = Settings.TICK_MICROS;

  /** Time-outs of one or two ticks, so that members are declared dead within the depth. */
  static final Settings FAST =
      new Settings(1, TICK_MICROS / 3, TICK_MICROS, 1, 1, 1, 20 * TICK_MICROS, 2 * TICK_MICROS);

  /** The differences from the program under test where a bug is planted. */
  record PlantedBug(
      Settings settings,
      Comparator<Incarnation> order,
      Function<Message, Message> sent,
      Function<Message, Message> received) {
    static final PlantedBug NONE =
        new PlantedBug(FAST, Incarnation::compareTo, Function.identity(), Function.identity());
  }

  /** The outcome of a search; {@code violation} is null if all invariants hold. */
  record SearchResult(long states, long steps, int depth, String violation, List<String> trace) {}

  /** A step: its kind, and the index of the member or message that it concerns. */
  private record Step(char kind, int target) {
    @Override
    public String toString() {
      return "" + kind + target;
    }
  }

  /** Always chooses the first candidate. */
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

  private record InFlight(int to, InetSocketAddress from, Message message) {}

  private final PlantedBug bug;
  private final int depth;
  private final int faults;

  ModelCheck(PlantedBug bug, int depth, int faults) {
    this.bug = bug;
    this.depth = depth;
    this.faults = faults;
  }

  private static InetSocketAddress address(int number) {
    return new InetSocketAddress("10.0.0." + (number + 1), 7_000);
  }

  /** Three members and the network between them at one moment. */
  private final class World {
    private final Membership[] members = new Membership[3];
    private final long[] clocks = {1_000_000, 2_000_000, 3_000_000};
    private final Incarnation[] highest = new Incarnation[3];
    private final boolean[] left = new boolean[3];
    private final List<InFlight> inFlight = new ArrayList<>();
    private final Map<Integer, Map<String, Member>> lastViews = new HashMap<>();
    private final Map<Integer, Long> versions = new HashMap<>();
    private final Map<String, Long> suspectedTicks = new HashMap<>();
    private int faultCount;
    private String violation;

    World() {
      for (int i = 0; i < 3; i++) {
        start(i, 100);
      }
      for (int round = 0; round < 3; round++) {
        for (int i = 0; i < 3; i++) {
          tick(i);
          while (!inFlight.isEmpty()) {
            deliver(0);
          }
        }
      }
      if (members[0].view().liveMembers().size() != 3) {
        throw new IllegalStateException("the members have not found each other");
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
      lastViews.remove(i);
      versions.remove(i);
    }

    private Outbox out(int i) {
      return new Outbox() {
        @Override
        public void send(InetSocketAddress to, Message message) {
          Message sent = bug.sent().apply(message);
          for (int k = 0; k < 3; k++) {
            if (to.equals(address(k)) && k != i) {
              inFlight.add(new InFlight(k, address(i), sent));
            }
          }
          while (inFlight.size() > MAX_IN_FLIGHT) {
            inFlight.remove(0);
          }
        }
      };
    }

    void tick(int i) {
      clocks[i] = Math.max(clocks[i], members[i].nextTickAtMicros());
      members[i].tick(clocks[i], out(i));
      checkInvariants(i, true);
    }

    void deliver(int index) {
      InFlight delivered = inFlight.remove(index);
      if (members[delivered.to()] == null) {
        return;
      }
      Message message = bug.received().apply(delivered.message());
      members[delivered.to()].receive(
          clocks[delivered.to()], delivered.from(), message, out(delivered.to()));
      checkRefutation(delivered.to(), message);
      checkInvariants(delivered.to(), false);
    }

    /**
     * Checks that a member that receives its own suspicion or death refutes it, or yields its name.
     */
    private void checkRefutation(int i, Message message) {
      View view = members[i].view();
      for (Update update : message.updates()) {
        if (update.name().equals("m" + i) && update.state() != State.ALIVE && !left[i]) {
          Member self = ownEntry(view);
          if (!view.displaced()
              && bug.order().compare(self.incarnation(), update.incarnation()) <= 0) {
            violation = "m" + i + " does not refute " + update.state();
          }
        }
      }
    }

    private Member ownEntry(View view) {
      return view.members().stream()
          .filter(member -> member.name().equals(view.self()))
          .findFirst()
          .orElseThrow();
    }

    private void checkInvariants(int i, boolean tick) {
      View view = members[i].view();
      Incarnation own = ownEntry(view).incarnation();
      highest[i] = own.compareTo(highest[i]) > 0 ? own : highest[i];
      Long version = versions.put(i, view.version());
      if (version != null && view.version() < version) {
        violation = "m" + i + "'s version decreases";
      }
      Map<String, Member> before = lastViews.getOrDefault(i, Collections.emptyMap());
      Map<String, Member> now = new TreeMap<>();
      for (Member member : view.members()) {
        now.put(member.name(), member);
        Member old = before.get(member.name());
        int number = member.name().charAt(1) - '0';
        if (old != null && member.incarnation().compareTo(old.incarnation()) < 0) {
          violation = "m" + i + " goes back to an old incarnation of " + member.name();
        } else if (old != null
            && !old.state().isLive()
            && member.state().isLive()
            && member.incarnation().equals(old.incarnation())) {
          violation = "m" + i + " revives " + member.name() + " without a higher incarnation";
        }
        if (number != i && member.incarnation().compareTo(highest[number]) > 0) {
          violation = "m" + i + " has an incarnation of " + member.name() + " that was never used";
        }
        if (member.state() == State.DEAD
            && left[number]
            && member.incarnation().equals(highest[number])) {
          violation = "m" + i + " treats the leave of " + member.name() + " as a death";
        }
        String pair = i + member.name();
        if (member.state() != State.SUSPECT) {
          suspectedTicks.remove(pair);
        } else if (tick && suspectedTicks.merge(pair, 1L, Long::sum) > 4) {
          violation = "m" + i + " suspects " + member.name() + " for more than four ticks";
        }
      }
      for (String name : before.keySet()) {
        if (!now.containsKey(name)
            && clocks[i] - before.get(name).changedAtMicros() < FAST.tombstoneRetentionMicros()
            && !view.displaced()) {
          violation = "m" + i + " forgets " + name + " before the retention time";
        }
      }
      lastViews.put(i, now);
    }

    void apply(Step step) {
      int i = step.target();
      switch (step.kind()) {
        case 'B' -> tick(i);
        case 'D' -> deliver(i);
        case 'L' -> inFlight.remove(i);
        case 'K' -> {
          faultCount++;
          members[i] = null;
        }
        case 'S' -> {
          // The process is suspended for three seconds.
          faultCount++;
          clocks[i] += 3_000_000;
        }
        case 'R' -> {
          // The process is killed and restarted at once, with its clock set back.
          faultCount++;
          start(i, 50);
        }
        case 'G' -> {
          faultCount++;
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
      for (int i = 0; i < inFlight.size(); i++) {
        steps.add(new Step('D', i));
        steps.add(new Step('L', i));
      }
      if (faultCount < faults && members[2] != null) {
        // The members are symmetric, so that faults of two fixed members cover all cases.
        for (char kind : "KSRG".toCharArray()) {
          steps.add(new Step(kind, 2));
        }
      }
      if (faultCount < faults && members[2] == null && !left[2]) {
        steps.add(new Step('R', 2));
      }
      if (faultCount > 0 && faultCount < faults && members[1] != null) {
        for (char kind : "KS".toCharArray()) {
          steps.add(new Step(kind, 1));
        }
      }
      return steps;
    }

    String stateText() {
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < 3; i++) {
        text.append(members[i] == null ? "-" : members[i].stateText()).append(highest[i]);
        text.append(left[i]).append('|');
      }
      List<String> messages = new ArrayList<>();
      for (InFlight pending : inFlight) {
        Message m = pending.message();
        messages.add(
            pending.to()
                + " "
                + m.kind()
                + m.sender().name()
                + m.sender().incarnation()
                + m.target()
                + m.updates()
                + (m.kind() == Kind.ACK ? m.sequence() : 0));
      }
      Collections.sort(messages);
      return text.append(messages).append(faultCount).append(suspectedTicks).toString();
    }
  }

  /** A state reached by one step, and the path to it. */
  private record Successor(List<Step> path, long stateHash, String violation) {}

  /** Searches breadth first, so that a violation is found with the fewest steps. */
  SearchResult search() {
    Set<Long> seen = new HashSet<>();
    List<List<Step>> level = List.of(List.of());
    long steps = 0;
    for (int d = 1; d <= depth; d++) {
      List<Successor> successors =
          level.parallelStream().flatMap(path -> successors(path).stream()).toList();
      steps += successors.size();
      List<List<Step>> next = new ArrayList<>();
      for (Successor successor : successors) {
        if (successor.violation() != null) {
          List<String> trace = new ArrayList<>();
          successor.path().forEach(step -> trace.add(step.toString()));
          return new SearchResult(seen.size(), steps, d, successor.violation(), trace);
        }
        if (seen.add(successor.stateHash())) {
          next.add(successor.path());
        }
      }
      level = next;
    }
    return new SearchResult(seen.size(), steps, depth, null, List.of());
  }

  private List<Successor> successors(List<Step> path) {
    List<Successor> successors = new ArrayList<>();
    for (Step step : replay(path).steps()) {
      World world = replay(path);
      world.apply(step);
      List<Step> extended = new ArrayList<>(path);
      extended.add(step);
      successors.add(new Successor(extended, hash(world.stateText()), world.violation));
    }
    return successors;
  }

  private World replay(List<Step> path) {
    World world = new World();
    path.forEach(world::apply);
    return world;
  }

  /** Returns a 64-bit hash; among a million states a collision has a probability of about 10^-7. */
  private static long hash(String text) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
      hash ^= hash >>> 29;
    }
    return hash;
  }

  /** Runs a search; the arguments are the depth and the maximum number of faults. */
  public static void main(String[] arguments) {
    long startedAt = System.nanoTime();
    SearchResult result =
        new ModelCheck(
                PlantedBug.NONE, Integer.parseInt(arguments[0]), Integer.parseInt(arguments[1]))
            .search();
    System.out.printf(
        "%d states, %d steps, depth %d, %.1f s: %s %s%n",
        result.states(),
        result.steps(),
        result.depth(),
        (System.nanoTime() - startedAt) / 1e9,
        result.violation() == null ? "all invariants hold" : result.violation(),
        result.trace());
  }
}
