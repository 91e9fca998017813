package ashspar.limits;

/**
 * Which servers rest after failures. A server that fails again and again rests for a growing time;
 * then a single trial flow is let through, and its outcome ends the rest or begins a longer one
 * (outlier detection and circuit breaking as in Envoy and Nygard's "Release It!"). Never more than
 * a stated part of the fleet rests at once: when more fail, the cause is not theirs, and sending
 * nowhere serves nobody.
 *
 * <p>Times are microseconds. Calls cost constant time, {@link #fleet} apart. For one thread at a
 * time.
 */
public final class Outliers {
  /** The largest part of the fleet that may rest at once; at least one server may, of two. */
  public static final double SHARE = 0.34;

  /** First and longest rest. */
  public static final long FIRST = 2_000_000;

  public static final long LONGEST = 16_000_000;

  /** A trial whose outcome is not heard of in this time is given up, and another one is let out. */
  private static final long TRIAL = 5_000_000;

  /** One server's record. */
  public final class Record {
    private long restUntil = Long.MIN_VALUE / 2;
    private long failedAt = Long.MIN_VALUE / 2;
    private long rest = FIRST;
    private double streak;
    private boolean listed;
    private boolean resting;
    private boolean answered;
    private long trialAt = Long.MIN_VALUE / 2;

    /** Whether the server may be sent to now, be it as its single trial. */
    public boolean mayTry(long now) {
      return !resting || (now >= trialFrom() && now - trialAt >= TRIAL);
    }

    private long trialFrom() {
      return answered ? failedAt + rest / 4 : restUntil;
    }

    /** An attempt goes to the server. */
    public void sent(long now) {
      if (resting) {
        trialAt = now;
      }
    }

    /**
     * The server has answered an attempt as it should, which ends its rest. Half of its failures
     * are forgotten: one that fails three attempts of four was well again after each fourth, and
     * was never let rest.
     */
    public void succeeded() {
      double kept = streak / 2;
      end();
      streak = kept;
    }

    /**
     * The server has answered a probe. That ends no rest, since a server may answer probes and lose
     * requests; but its trial comes sooner, and a rest outlasts its cause by little.
     */
    public void probed(long now) {
      answered = resting;
    }

    /** Whether an answered probe would bring the trial nearer. */
    public boolean awaitsProbe() {
      return resting && !answered;
    }

    /**
     * The server has failed; it rests from the given failure in a row on. Failures during a rest
     * are of the same go, but for a trial's.
     *
     * @return how long the server rests now because of this failure, 0 if it does not
     */
    public long failed(long now, int from) {
      boolean trial = resting && trialAt > failedAt;
      if (!listed || (resting && !trial)) {
        return 0;
      }
      streak++;
      if (!trial && (streak < from || !mayRest())) {
        return 0;
      }
      // A server that failed soon after its last rest goes on failing.
      rest = trial || now - restUntil < rest ? Math.min(LONGEST, 2 * rest) : FIRST;
      if (!resting) {
        resting = true;
        atRest++;
      }
      failedAt = now;
      restUntil = now + rest;
      answered = false;
      trialAt = Long.MIN_VALUE / 2;
      return rest;
    }

    /** The trial ended without news of the server: another may go. */
    public void trialVoid() {
      trialAt = Long.MIN_VALUE / 2;
    }

    public boolean resting() {
      return resting;
    }

    /**
     * The server is of the fleet from now on, or no longer. One that has left breaks what it still
     * holds: a rest that nothing ends would take the others' share of rests for good.
     */
    public void listed(boolean on) {
      if (!on) {
        end();
      }
      listed = on;
    }

    /** The server has started anew. */
    public void end() {
      if (resting) {
        resting = false;
        atRest--;
      }
      streak = 0;
      answered = false;
      trialAt = Long.MIN_VALUE / 2;
    }
  }

  private int servers;
  private int atRest;

  /** A record for a server, which counts from {@link Record#listed} on. */
  public Record join() {
    return new Record();
  }

  /** How many servers there are. */
  public void fleet(int size) {
    servers = size;
  }

  /** Servers that rest, or await their trial. */
  public int atRest() {
    return atRest;
  }

  private boolean mayRest() {
    return atRest < Math.max(servers >= 2 ? 1 : 0, (int) (SHARE * servers));
  }
}
