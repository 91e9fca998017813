package brassbank.config.file;

import brassbank.membership.MembershipConfig;
import brassbank.membership.Settings;
import brassbank.relay.limits.RelayLimits;
import brassbank.relay.limits.SideLimits;
import java.util.Map;

/**
 * The values of a valid file.
 *
 * @param relay the limits on relayed sessions and slow peers
 * @param membership how the proxy joins its fleet; null without membership
 */
public record Options(RelayLimits relay, MembershipConfig membership) {
  /** Receives problems of values that are valid on their own and contradict each other. */
  interface Problems {
    void report(int line, String text);
  }

  static Options of(Values values, Problems problems) {
    return new Options(relay(values, problems), membership(values, problems));
  }

  private static MembershipConfig membership(Values values, Problems problems) {
    String fleet = values.get(Keys.FLEET);
    int line = values.line(Keys.LISTEN, Keys.ADVERTISE, Keys.SEEDS, Keys.SUSPICION, Keys.FORGET);
    if (fleet == null && values.get(Keys.BASE_FRACTION) != null) {
      problems.report(
          values.line(Keys.BASE_FRACTION),
          "shares needs [membership], which provides the number of live members");
    }
    if (fleet == null && values.get(Keys.MIN_ASKERS) != null) {
      problems.report(
          values.line(Keys.MIN_ASKERS),
          "subsets needs [membership], which provides the number of live members");
    }
    if (fleet == null) {
      if (line > 0) {
        problems.report(line, "membership.fleet is missing, without which there is no membership");
      }
      return null;
    }
    Double base = values.get(Keys.BASE_FRACTION);
    Long askers = values.get(Keys.MIN_ASKERS);
    Addresses listen = values.get(Keys.LISTEN);
    Addresses advertised = values.get(Keys.ADVERTISE);
    if (advertised != null && advertised.single().getAddress().isAnyLocalAddress()) {
      problems.report(
          values.line(Keys.ADVERTISE), "membership.advertise must be one machine's address");
    }
    return new MembershipConfig(
        fleet,
        listen == null ? null : listen.single(),
        advertised == null ? null : advertised.single(),
        values.get(Keys.SEEDS).all(),
        Settings.DEFAULTS
            .withMinSuspicion(values.get(Keys.SUSPICION))
            .withTombstoneRetention(values.get(Keys.FORGET)),
        base == null ? Double.NaN : base,
        askers == null ? 0 : askers.intValue());
  }

  private static RelayLimits relay(Values values, Problems problems) {
    long budget = values.get(Keys.BUDGET);
    long practice = values.get(Keys.PRACTICE_BUDGET);
    if (practice > budget) {
      problems.report(
          values.line(Keys.BUDGET, Keys.PRACTICE_BUDGET),
          "relay.practice-budget must not be above relay.budget");
    }
    Map<String, Long> practices = values.byName(Keys.SINGLE_PRACTICE_BUDGET);
    return new RelayLimits(
        values.get(Keys.TURN).intValue(),
        budget,
        practice,
        practices,
        side(values, Keys.CLIENT, problems),
        side(values, Keys.TARGET, problems),
        values.get(Keys.FAREWELL));
  }

  private static SideLimits side(Values values, Keys.Side keys, Problems problems) {
    long maxQueuedBytes = values.get(keys.waiting);
    long kernelBuffer = values.get(keys.kernelBuffer);
    long window = values.get(keys.window);
    long rate = values.get(keys.rate);
    // A full queue stops the reading of the other side, after at most one more read quota.
    long peakQueuedBytes = maxQueuedBytes + values.get(Keys.TURN);
    if (peakQueuedBytes > values.get(Keys.PRACTICE_BUDGET)) {
      problems.report(
          values.line(keys.waiting, Keys.TURN, Keys.PRACTICE_BUDGET),
          keys.waiting.name() + " and relay.turn together must not be above relay.practice-budget");
    }
    values
        .byName(Keys.SINGLE_PRACTICE_BUDGET)
        .forEach(
            (practice, budget) -> {
              if (peakQueuedBytes > budget) {
                problems.report(
                    values.line(keys.waiting, Keys.TURN),
                    String.format(
                        "%s and relay.turn together must not be above the budget of %s",
                        keys.waiting.name(), practice));
              }
            });
    // The kernel accepts further bytes in pieces of about the size of its buffer. With a shorter
    // window, a peer that reads at the minimum rate would seem to stop between two pieces.
    if (rate > 0 && rate * (window / 1e6) < kernelBuffer) {
      problems.report(
          values.line(keys.rate, keys.window, keys.kernelBuffer),
          String.format(
              "%s over %s must come to %s or more",
              keys.rate.name(), keys.window.name(), keys.kernelBuffer.name()));
    }
    return new SideLimits(
        (int) maxQueuedBytes,
        (int) kernelBuffer,
        values.get(keys.age),
        rate,
        window,
        values.get(keys.line));
  }
}
