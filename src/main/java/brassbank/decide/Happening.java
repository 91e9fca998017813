package brassbank.decide;

import ashspar.Balancer;
import brassbank.subsets.Subset;
import java.util.List;

/** What the network has seen. */
public sealed interface Happening {

  /** The target has taken the flow: its connection stands. */
  record Up(long flow) implements Happening {}

  /** The target has told the load of a standing connection. */
  record Load(long flow, double load) implements Happening {}

  /**
   * The client's line has been passed to the target. It and {@link Answered} come with each line
   * and its answer, and so keep the number as it is looked up: whoever tells them makes them once.
   */
  record Asked(Long flow) implements Happening {}

  /** A line of the target has been passed to the client. */
  record Answered(Long flow) implements Happening {}

  /** The forward that was out, or the standing connection, has ended on the target's side. */
  record Ended(long flow, Ending ending) implements Happening {}

  /** The client has left. */
  record ClientLeft(long flow) implements Happening {}

  /** A probe has ended; the report's values are in the order of the settings. */
  record Probed(String target, Ending ending, long elapsedMicros, List<Double> report)
      implements Happening {}

  /** Discovery has told of the target group. */
  record Listed(TargetList list) implements Happening {}

  /** A fetch has failed; the list still holds. */
  record FetchFailed() implements Happening {}

  /** The operators have changed the settings. */
  record Configured(Balancer.Settings settings) implements Happening {}

  /**
   * How much of the fleet's budgets this proxy may spend.
   *
   * @param part of each, until a time of the steady clock; {@code base} from then on
   * @param turn which of those that share it is, {@code of} so many
   */
  record Shared(double part, double base, int turn, int of, long untilNanos) implements Happening {}

  /** Which targets this proxy asks, and places at first; null for all of them. */
  record Peers(Subset subset) implements Happening {}

  /** The proxy takes connections. */
  record Serving() implements Happening {}

  /** An operator asks to have the clients sent away. */
  record StandbyAsked() implements Happening {}

  /** An operator asks to have clients taken. */
  record ActiveAsked() implements Happening {}

  /** Another process takes the clients from here on, or this one does again. */
  record Succeeded(boolean yes) implements Happening {}

  /**
   * What a predecessor of this process holds now: the module counts it as this one's own, so that
   * its clients are known when they come. The process's number keeps its flows' ids apart. Until
   * discovery tells its list, the predecessor's holds.
   */
  record Predecessor(long process, List<TargetList.Entry> targets, List<Standing> standing)
      implements Happening {}

  /** The proxy is to stop by then (the facade's clock). */
  record Stopping(long by) implements Happening {}
}
