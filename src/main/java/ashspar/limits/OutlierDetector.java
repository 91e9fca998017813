package ashspar.limits;

/**
 * Ejects servers after failures. A server that fails repeatedly is ejected for a growing time. Then
 * a single trial request is sent; its outcome ends the ejection or starts a longer one (outlier
 * detection and circuit breaking as in Envoy and in Nygard's "Release It!"). At most a fixed share
 * of the fleet is ejected at once: if more servers fail, the cause lies elsewhere, and sending to
 * no server helps no client.
 *
 * <p>Times are microseconds. All operations take constant time. Not thread-safe.
 */
public final class OutlierDetector {
  /**
   * The largest share of the fleet that may be ejected at once; of two or more servers, at least
   * one may be.
   */
  public static final double MAX_EJECTED_SHARE = 0.34;

  /** The first and the longest ejection. */
  public static final long MIN_EJECTION_MICROS = 2_000_000;

  public static final long MAX_EJECTION_MICROS = 16_000_000;

  /** The time after which a trial without an outcome is abandoned and another one is allowed. */
  private static final long TRIAL_TIMEOUT_MICROS = 5_000_000;

  /** The record of one server. */
  public final class Record {
    private long ejectedUntil = Long.MIN_VALUE / 2;
    private long failedAt = Long.MIN_VALUE / 2;
    private long ejectionMicros = MIN_EJECTION_MICROS;
    private double failures;
    private boolean listed;
    private boolean isEjected;
    private boolean probeAnswered;
    private long trialAt = Long.MIN_VALUE / 2;

    /** Returns whether the server may be sent an attempt now, possibly as its single trial. */
    public boolean mayReceive(long now) {
      return !isEjected || (now >= trialAllowedAt() && now - trialAt >= TRIAL_TIMEOUT_MICROS);
    }

    /**
     * Returns the time from which a trial is allowed: sooner if the server has answered a probe.
     */
    private long trialAllowedAt() {
      return probeAnswered ? failedAt + ejectionMicros / 4 : ejectedUntil;
    }

    /** Records that an attempt was sent to the server. */
    public void recordSent(long now) {
      if (isEjected) {
        trialAt = now;
      }
    }

    /**
     * Records that the server has answered an attempt successfully, which ends an ejection. Half of
     * the previous failures are kept: otherwise a server that fails three of four attempts would
     * recover with each fourth and never be ejected.
     */
    public void recordSuccess() {
      double keptFailures = failures / 2;
      reset();
      failures = keptFailures;
    }

    /**
     * Records that the server has answered a probe. This does not end an ejection, since a server
     * may answer probes and still lose requests, but it brings the trial forward, so that the
     * ejection does not outlast its cause for long.
     */
    public void recordProbeAnswer(long now) {
      probeAnswered = isEjected;
    }

    /** Returns whether the answer to a probe would bring the trial forward. */
    public boolean awaitsProbe() {
      return isEjected && !probeAnswered;
    }

    /**
     * Records a failure. The server is ejected from the given number of consecutive failures on.
     * While it is ejected, only the failure of its trial counts.
     *
     * @param from the number of failures that ejects the server
     * @return how long the server is ejected because of this failure, 0 if it is not
     */
    public long recordFailure(long now, int from) {
      boolean trial = isEjected && trialAt > failedAt;
      if (!listed || (isEjected && !trial)) {
        return 0;
      }
      failures++;
      if (!trial && (failures < from || !mayEject())) {
        return 0;
      }
      // A server that fails again soon after an ejection is ejected for longer.
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

    /**
     * Records that the trial ended without information about the server, so that another one may be
     * sent.
     */
    public void cancelTrial() {
      trialAt = Long.MIN_VALUE / 2;
    }

    /** Returns whether the server is ejected or awaits its trial. */
    public boolean isEjected() {
      return isEjected;
    }

    /**
     * Adds the server to the fleet or removes it. Removal ends an ejection: a removed server still
     * breaks its remaining connections, and an ejection that never ends would permanently use up
     * the share of the fleet that may be ejected.
     */
    public void setListed(boolean on) {
      if (!on) {
        reset();
      }
      listed = on;
    }

    /** Clears the record when the server has restarted. */
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

  /** Creates the record of a server, which counts after {@link Record#setListed}. */
  public Record newRecord() {
    return new Record();
  }

  /** Sets the number of servers in the fleet. */
  public void setServerCount(int size) {
    serverCount = size;
  }

  /** Returns the number of servers that are ejected or await their trial. */
  public int ejectedCount() {
    return ejectedCount;
  }

  private boolean mayEject() {
    return ejectedCount
        < Math.max(serverCount >= 2 ? 1 : 0, (int) (MAX_EJECTED_SHARE * serverCount));
  }
}
