package brassbank.sim.actor;

import java.util.ArrayList;
import java.util.List;

/**
 * The figures of a deployment, as its operators state them. Times are in microseconds unless a name
 * says otherwise.
 *
 * @param rate new clients per second
 * @param perCore connections of mean load that fill one core of speed 1
 * @param groupCost load that each group on a stream host adds, in connections of mean load
 */
public record Site(
    List<String> zones,
    int proxies,
    int hosts,
    double rate,
    double perCore,
    double groupCost,
    int groups,
    int retries,
    long answerSlack,
    long drainGrace,
    double coldShare,
    long warmUp,
    double fallMultiple,
    long fallWindow,
    int sockets,
    List<FlowClass> classes,
    List<Tenant> tenants,
    List<HostKind> kinds) {

  /** A class of flows; {@code load} and {@code lifetime} are multiples of the mean. */
  public record FlowClass(
      String name,
      double share,
      long aimMillis,
      long deadlineMillis,
      double value,
      double load,
      double lifetime,
      long messageMillis,
      Repeat repeat) {
    /** Returns the same class with another rule for repeating requests. */
    public FlowClass with(Repeat other) {
      return new FlowClass(
          name, share, aimMillis, deadlineMillis, value, load, lifetime, messageMillis, other);
    }
  }

  /**
   * Whether a request may be sent again once it may have run.
   *
   * @param effect and {@code group}, with the values that the settings use
   */
  public record Repeat(String effect, String group, long windowMillis) {
    /** Requests may be repeated at any time. */
    public static final Repeat FREE = new Repeat("free", "all", 5_000);
  }

  /** A tenant, and its share of the clients. */
  public record Tenant(String name, double share) {}

  /** A model of stream host. */
  public record HostKind(
      String name,
      double share,
      int cores,
      double speedLeast,
      double speedMost,
      double coldLeast,
      double coldMost,
      double warmSecondsLeast,
      double warmSecondsMost) {}

  /**
   * Returns the same site with another multiple for cold hosts, by which a test misinforms a proxy.
   */
  public Site withFallMultiple(double multiple) {
    return with(zones, multiple, classes);
  }

  /** Returns the same site with these rules for repeating requests, in the order of the classes. */
  public Site withRepeats(Repeat... repeats) {
    List<FlowClass> others = new ArrayList<>();
    for (int i = 0; i < classes.size(); i++) {
      others.add(classes.get(i).with(repeats[i]));
    }
    return with(zones, fallMultiple, others);
  }

  /**
   * Returns the same site with other zones, by which a test misinforms proxies about their zone.
   */
  public Site withZones(List<String> others) {
    return with(others, fallMultiple, classes);
  }

  private Site with(List<String> zones, double multiple, List<FlowClass> classes) {
    return new Site(
        zones,
        proxies,
        hosts,
        rate,
        perCore,
        groupCost,
        groups,
        retries,
        answerSlack,
        drainGrace,
        coldShare,
        warmUp,
        multiple,
        fallWindow,
        sockets,
        classes,
        tenants,
        kinds);
  }

  /** Returns the standard deployment: two zones, three models of host, two classes. */
  public static Site standard(int proxies, int hosts, double rate, int sockets) {
    return new Site(
        List.of("leith", "dalkeith"),
        proxies,
        hosts,
        rate,
        20,
        0.5,
        40,
        2,
        16_000,
        400_000,
        0.12,
        24_000_000,
        4,
        1_500_000,
        sockets,
        List.of(
            new FlowClass("preview", 0.62, 800, 4_800, 1, 1, 1, 150, Repeat.FREE),
            new FlowClass("presentation", 0.38, 500, 3_000, 3, 0.35, 0.65, 100, Repeat.FREE)),
        List.of(
            new Tenant("kelvin-stone", 0.23),
            new Tenant("forthbank", 0.17),
            new Tenant("muirhead-lane", 0.16),
            new Tenant("tayside-design", 0.14),
            new Tenant("cairn-studio", 0.13),
            new Tenant("gowan-hall", 0.12),
            new Tenant("brae-works", 0.05)),
        List.of(
            new HostKind("fast-box", 0.40, 3, 1.4, 1.8, 0.13, 0.33, 11, 19),
            new HostKind("mid-box", 0.31, 3, 0.85, 1.1, 0.13, 0.33, 12, 21),
            new HostKind("old-box", 0.29, 4, 0.51, 0.69, 0.12, 0.32, 11, 24)));
  }
}
