package brassbank.sim.event;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Something that has happened, told by the one who did it or to whom it was done, at the moment
 * when it happened. A flow is one try of one client, known by the id that its line carries; an
 * attempt is a connection of a proxy's to a stream host that has carried a flow's line.
 */
public sealed interface Event {

  // ------------------------------------------------------------------ clients

  /** A client has written a flow's line; {@code deadline} is in milliseconds. */
  record FlowSent(String flow, String client, String proxy, long deadline) implements Event {}

  /**
   * The line's last byte has reached the proxy's machine: from here on the proxy owes an answer.
   */
  record FlowTaken(String flow, String proxy) implements Event {}

  /** A line has come while the client waited for its answer. */
  record FlowAnswered(String flow, String line) implements Event {}

  /** A line has come after the answer was final. */
  record AnsweredAgain(String flow, String line) implements Event {}

  /** The client has left by itself; {@code waiting}: it had no answer. */
  record ClientLeft(String flow, boolean waiting) implements Event {}

  /**
   * The client has seen the end of its connection.
   *
   * @param served it stood
   * @param moved the last line was {@code MOVE} or {@code BYE}
   * @param byHost the last line was {@code BYE}, after which nothing may be missing
   */
  record ClientSawEnd(String flow, boolean served, boolean moved, boolean byHost, boolean reset)
      implements Event {}

  /**
   * A client wants to be served from now on: for the first time, or again after an end.
   *
   * @param kind the class of its flows
   * @param practice whom it belongs to
   * @param model the project model that its sessions need
   */
  record ClientCame(String client, boolean again, String kind, String practice, String model)
      implements Event {}

  /**
   * A client that came at {@code cameAt} is not served, after all its tries.
   *
   * @param lost how long it would have stayed, in microseconds
   */
  record ClientGaveUp(String client, long cameAt, long lost) implements Event {}

  /** A client stands, on its first try or a later one. */
  record ClientServed(String client, String flow) implements Event {}

  /** A client's connection is over, by whomever, or it does not wait for an answer any longer. */
  record ClientOver(String client, String flow, boolean moved) implements Event {}

  // ---------------------------------------------------- lines that stand

  /** A line was written on a standing connection by one of its ends. */
  record LineSent(String flow, boolean byClient, String line) implements Event {}

  /** A line has been read at the other end. */
  record LineArrived(String flow, boolean byClient, String line) implements Event {}

  // ------------------------------------------------------------- stream hosts

  /** A stream host has accepted a connection, for whatever. */
  record HostConnected(String host, String proxy) implements Event {}

  /**
   * A stream host has read a flow's line.
   *
   * @param firstByteAt when the proxy wrote the line's first byte
   * @param givenUp the proxy has given the attempt up before
   */
  record AttemptArrived(String flow, String host, String proxy, long firstByteAt, boolean givenUp)
      implements Event {}

  /** A stream host has answered an attempt; {@code ends}: nothing comes after it. */
  record AttemptAnswered(String flow, String host, String line, boolean ends) implements Event {}

  /** The proxy has ended an attempt or a standing connection on its side, heard or not. */
  record ProxyEnded(String flow, String host, boolean stood) implements Event {}

  /**
   * The stream host has ended an attempt or a standing connection by itself; {@code silently} where
   * its machine has lost its power, so that nothing tells of it.
   */
  record HostEnded(String flow, String host, boolean stood, boolean reset, boolean silently)
      implements Event {}

  /**
   * A stream host has read a probe: {@code PING} or {@code STATS}.
   *
   * @param calmSince since when neither the network nor the host has held up its connection
   */
  record ProbeArrived(String host, String proxy, String line, long calmSince) implements Event {}

  /** What was sent to a stream host cannot be read as anything the protocol knows. */
  record HostCannotRead(String host, String proxy, String line) implements Event {}

  /** A stream host serves, from nothing. */
  record HostStarted(String host, boolean cold) implements Event {}

  /** A stream host drains: it sends all away and takes nothing new. */
  record HostDrains(String host) implements Event {}

  /** A stream host's process has ended. */
  record HostGone(String host) implements Event {}

  /**
   * A cold stream host was sent more than it could bear; {@code told} is the share of the work that
   * came from proxies that knew of its start.
   */
  record HostFellOver(String host, double told) implements Event {}

  /**
   * How near a cold stream host is to falling over through proxies that knew of its start: what
   * they ask for, all together, over what it can bear. Told ten times a second.
   *
   * @param placed attempts of theirs that it has read in the time that counts for its fall
   * @param bears so many mean connections in that time, each for its usual life, fill it as often
   *     as it bears
   */
  record ColdHostAsked(String host, double share, int placed, double bears) implements Event {}

  // ---------------------------------------------------------------- discovery

  /** Discovery knows of a change that it has to tell from here on. */
  record Listed(String host, String status) implements Event {}

  /** A call has come whole to discovery, for the list or for a watch. */
  record ListCalled(String proxy, boolean watch) implements Event {}

  /** Discovery has written a stream host's status to a proxy. */
  record Told(String proxy, String host, String status) implements Event {}

  // ------------------------------------------------------------------ proxies

  /** A proxy's process begins, from nothing. */
  record ProxyStarted(String proxy) implements Event {}

  /** It has answered {@code PONG}: the front sends it clients. */
  record ProxyAdmitted(String proxy) implements Event {}

  /** SIGHUP, with another address of discovery in the file if {@code moved}. */
  record ProxyHungUp(String proxy, boolean moved) implements Event {}

  /** SIGTERM: a planned stop begins. */
  record ProxyTerminated(String proxy) implements Event {}

  /** An operator's call: it is to send its clients away, and to live on. */
  record ProxyOnStandby(String proxy) implements Event {}

  /** An operator's call to leave was answered no, since others leave or too few are left. */
  record ProxyPutOff(String proxy) implements Event {}

  /** An operator's call: it takes clients again. */
  record ProxyCalledBack(String proxy) implements Event {}

  /** Of the processes of an inherited listening socket this one takes connections from here on. */
  record DoorHeld(String proxy, long process) implements Event {}

  /** A process has accepted a connection from an inherited listening socket. */
  record DoorUsed(String proxy, long process) implements Event {}

  /** It has ended by itself. */
  record ProxyExited(String proxy, int status) implements Event {}

  /** It was killed; {@code overdue}: at the end of a planned stop. */
  record ProxyKilled(String proxy, boolean overdue) implements Event {}

  /** An accept or a connect met its limit of descriptors. */
  record DescriptorsExhausted(String proxy, String held) implements Event {}

  /** Something the proxy logged as a failure of its own. */
  record ProxyFailed(String proxy, String text) implements Event {}

  /** Anything else that it logged; told only where a trace is wanted. */
  record ProxyLogged(String proxy, String text) implements Event {}

  // --------------------------------------------------------------- membership

  /**
   * What a proxy believes of one, by the names of the view's own states.
   *
   * @param birth and {@code raised}, the incarnation
   */
  record Seen(String name, String state, long birth, int raised) {
    boolean isLive() {
      return state.equals("alive") || state.equals("suspect");
    }

    @Override
    public String toString() {
      return name + ":" + state + "@" + birth + "." + raised;
    }
  }

  /**
   * A proxy's view of the fleet, where it is another than the last one that was told.
   *
   * @param process tells the lives of a proxy's processes apart
   */
  record ViewSeen(
      String proxy,
      long process,
      long version,
      boolean settled,
      boolean displaced,
      List<Seen> members)
      implements Event {
    /** Names of those that it takes for there. */
    public Set<String> liveMembers() {
      Set<String> names = new TreeSet<>();
      members.stream().filter(Seen::isLive).forEach(one -> names.add(one.name()));
      return names;
    }
  }

  // -------------------------------------------------------------- bad clients

  /** A bad client has connected; it is owed an end within so many milliseconds. */
  record BadConnected(String client, String kind, String proxy, long within) implements Event {}

  /** It was answered or closed, or the proxy died; {@code line} is what came first, or empty. */
  record BadSettled(String client, String line) implements Event {}

  // ------------------------------------------------------------------- faults

  record FaultBegan(String fault) implements Event {}

  record FaultEnded(String fault) implements Event {}

  /** All faults have ended: from here on everything is to become sound again. */
  record AllFaultsOver() implements Event {}

  /** {@code name-of-event field=value ...}, for the trace. */
  default String text() {
    StringBuilder text = new StringBuilder();
    for (char c : getClass().getSimpleName().toCharArray()) {
      if (Character.isUpperCase(c)) {
        text.append(text.isEmpty() ? "" : "-").append(Character.toLowerCase(c));
      } else {
        text.append(c);
      }
    }
    for (RecordComponent part : getClass().getRecordComponents()) {
      try {
        text.append(' ').append(part.getName()).append('=');
        text.append(part.getAccessor().invoke(this));
      } catch (IllegalAccessException | InvocationTargetException e) {
        throw new IllegalStateException(e);
      }
    }
    return text.toString();
  }
}
