package brassbank.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What operators state for a gateway. All else is a constant beside the rule it belongs to.
 *
 * @param site this gateway's own site
 * @param gateways how many gateways of this site may send flows to one other site; each takes its
 *     share of the room told, so that together they do not take more than there is
 * @param price what a crossing costs, in seconds of a connection of worth 1: lines that take
 *     longer, and the other site's work
 * @param refusedWait how long a client that is turned away goes without service, in microseconds
 */
public record RouteRules(
    String site, int gateways, double price, long refusedWait, List<ClassRule> classes) {

  /**
   * What matters of a class.
   *
   * @param worth of a second of it
   * @param bears how long its flows may wait for a place and still be served well, in microseconds
   * @param messageAim within which a line is to be answered, in microseconds; 0 for no such aim
   */
  public record ClassRule(String name, double worth, long bears, long messageAim) {
    public ClassRule {
      require(name != null && !name.isEmpty(), "a class needs a name");
      require(worth >= 0 && worth < 1e9, "a class's worth is 0 or more");
      require(bears > 0 && messageAim >= 0, "a class's times are positive");
    }
  }

  public RouteRules {
    require(site != null && !site.isEmpty(), "a gateway needs a site");
    require(gateways >= 1, "there is at least one gateway");
    require(price >= 0 && refusedWait >= 0, "price and wait are 0 or more");
    require(!classes.isEmpty(), "there is at least one class");
    classes = List.copyOf(classes);
  }

  Map<String, ClassRule> byName() {
    Map<String, ClassRule> byName = new HashMap<>();
    classes.forEach(rule -> byName.put(rule.name(), rule));
    return byName;
  }

  private static void require(boolean holds, String contract) {
    if (!holds) {
      throw new IllegalArgumentException(contract);
    }
  }
}
