package ashspar.limits;

/**
 * Which servers rest after failures. A server that fails again and again rests for a growing time;
 * then a single trial flow is let through, and its outcome ends the rest or begins a longer one
 * (outlier detection and circuit breaking as in Envoy and Nygard's "Release It!"). Never more than
 * a stated part of the fleet rests at once: when more fail, the cause is not theirs, and sending
 * nowhere serves nobody.
 *
 * <p>Times are microseconds. Calls cost constant time, {@link #setServerCount} apart. For one
 * thread at a time.
 */
public final class OutlierDetector {
  /** The largest part of the fleet that may rest at once; at least one server may, of two. */
  public static final double MAX_EJECTED_SHARE = 0.34;

  /** First and longest rest. */
  public static final long MIN_EJECTION_MICROS = 2_000_000;

  public static final long MAX_EJECTION_MICROS = 16_000_000;

  /** A trial whose outcome is not heard of in this time is given up, and another one is let out. */
  private static final long TRIAL_TIMEOUT_MICROS = 5_000_000;

  /** One server's record. */
  public final class Record {
    private long ejectedUntil = Long.MIN_VALUE / 2;
    private long failedAt = Long.MIN_VALUE / 2;
    private long ejectionMicros = MIN_EJECTION_MICROS;
    private double failures;
    private boolean setListed;
    private boolean isEjected;
    private boolean probeAnswered;
    private long trialAt = Long.MIN_VALUE / 2;

    /** Whether the server may be sent to now, be it as its single trial. */
    public boolean mayReceive(long now) {
      return !isEjected || (now >= trialAllowedAt() && now - trialAt >= TRIAL_TIMEOUT_MICROS);
    }

    private long trialAllowedAt() {
      return probeAnswered ? failedAt + ejectionMicros / 4 : ejectedUntil;
    }

    /** An attempt goes to the server. */
    public void recordSent(long now) {
      if (isEjected) {
        trialAt = now;
      }
    }

    /**
     * The server has answered an attempt as it should, which ends its rest. Half of its failures
     * are forgotten: one that fails three attempts of four was well again after each fourth, and
     * was never let rest.
     */
    public void recordSuccess() {
      double kept = failures / 2;
      reset();
      failures = kept;
    }

    /**
     * The server has answered a probe. That ends no rest, since a server may answer probes and lose
     * requests; but its trial comes sooner, and a rest outlasts its cause by little.
     */
    public void recordProbeAnswer(long now) {
      probeAnswered = isEjected;
    }

    /** Whether an answered probe would bring the trial nearer. */
    public boolean awaitsProbe() {
      return isEjected && !probeAnswered;
    }

    /**
     * The server has failed; it rests from the given failure in a row on. Failures during a rest
     * are of the same go, but for a trial's.
     *
     * @return how long the server rests now because of this failure, 0 if it does not
     */
    public long recordFailure(long now, int from) {
      boolean trial = isEjected && trialAt > failedAt;
      if (!setListed || (isEjected && !trial)) {
        return 0;
      }
      failures++;
      if (!trial && (failures < from || !mayEject())) {
        return 0;
      }
      // A server that failed soon after its last rest goes on failing.
      ejectionMicros =
          trial || now - ejectedUntil < ejectionMicros
              ? Math.min(MAX_EJECTION_MICROS, 2 * ejectionMicros)
              : MIN_EJECTION_MICROS;
      if (!isEjected) {
        isEjected = true;
        ejectedCount++;
      }
      failedAt = now;
      ejectedUntil = now + ejectionMicros;
      probeAnswered = false;
      trialAt = Long.MIN_VALUE / 2;
      return ejectionMicros;
    }

    /** The trial ended without news of the server: another may go. */
    public void cancelTrial() {
      trialAt = Long.MIN_VALUE / 2;
    }

    public boolean isEjected() {
      return isEjected;
    }

    /**
     * The server is of the fleet from now on, or no longer. One that has left breaks what it still
     * holds: a rest that nothing ends would take the others' share of rests for good.
     */
    public void setListed(boolean on) {
      if (!on) {
        reset();
      }
      setListed = on;
    }

    /** The server has started anew. */
    public void reset() {
      if (isEjected) {
        isEjected = false;
        ejectedCount--;
      }
      failures = 0;
      probeAnswered = false;
      trialAt = Long.MIN_VALUE / 2;
    }
  }

  private int serverCount;
  private int ejectedCount;

  /** A record for a server, which counts from {@link Record#setListed} on. */
  public Record newRecord() {
    return new Record();
  }

  /** How many servers there are. */
  public void setServerCount(int size) {
    serverCount = size;
  }

  /** Servers that rest, or await their trial. */
  public int ejectedCount() {
    return ejectedCount;
  }

  private boolean mayEject() {
    return ejectedCount
        < Math.max(serverCount >= 2 ? 1 : 0, (int) (MAX_EJECTED_SHARE * serverCount));
  }
}
