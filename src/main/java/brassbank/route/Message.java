package brassbank.route;

import java.util.Map;
import java.util.TreeMap;

/**
 * What two gateways say to each other, as values; the link puts it into frames. Every message is
 * between two incarnations of two gateways, which the link's hello has named. A link keeps the
 * order of its messages and delivers none twice; several links of a pair have no order among them.
 */
public sealed interface Message {

  /**
   * Near to far: an attempt of a flow. The flow's own figures travel beside it.
   *
   * @param number of the crossing, never used twice by an incarnation
   * @param until when the lease ends, on the <em>receiver's</em> clock
   * @param attempts that the far side may make at its hosts, one after the other
   */
  record Open(long number, String flowClass, long until, int attempts) implements Message {}

  /** Far to near: the host has taken the flow. The connection ends with the lease unless taken. */
  record Up(long number) implements Message {}

  /** Near to far: the client has been told. The lease no longer runs. */
  record Taken(long number) implements Message {}

  /** Near to far: give it up. */
  record Cancel(long number) implements Message {}

  /**
   * Far to near: nothing of this crossing is out any more, and nothing of it will be.
   *
   * @param used attempts that were made at hosts
   * @param mayHaveRun whether one of them may have had an effect
   */
  record Ended(long number, End how, int used, boolean mayHaveRun) implements Message {}

  /**
   * Either way, on each link, every {@link Router#TELL}: what room there is, and whose clock says
   * what.
   *
   * @param stamp the sender's clock; all that was due by then has been given up before
   * @param echo the receiver's last stamp that came over this link, or {@link #NONE}
   * @param held how long ago that was, on the sender's clock
   * @param generation grows with each telling of an incarnation
   * @param age how old the figures were when they were sent
   * @param sharers gateways that are told of this room
   */
  record Tell(
      long stamp,
      long echo,
      long held,
      long generation,
      long age,
      int sharers,
      Map<String, Room> rooms)
      implements Message {
    public Tell {
      rooms = java.util.Collections.unmodifiableMap(new TreeMap<>(rooms));
    }
  }

  /** No stamp has come over this link yet. */
  long NONE = -1;

  /** Why a crossing has ended. */
  enum End {
    /** Refused: the far side is thin itself. */
    THIN,
    /** Refused: the lease had run out on the way, or as good as. */
    STALE,
    /** Refused: the far side holds as many as it may. */
    FULL,
    /** Refused: the far side stops. */
    STOPPING,
    /** Refused: the message makes no sense. */
    UNSOUND,
    /** By a host's answer, or for want of one. */
    HOST,
    /** By its lease. */
    EXPIRED,
    /** With the link that it came over. */
    LINK_LOST
  }
}
