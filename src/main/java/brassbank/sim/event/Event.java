package brassbank.sim.event;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * An event of a simulation run, published by the component that caused or received it at the
 * virtual time at which it happened. The simple names of the records and the names of their
 * components are written into the trace.
 *
 * <p>A flow is one try of one client and is identified by the id in its {@code OPEN} line. An
 * attempt is a connection from a proxy to a stream host that has carried a flow's {@code OPEN}
 * line.
 */
public sealed interface Event {

  // Clients

  /** A client has written a flow's {@code OPEN} line. {@code deadline} is in milliseconds. */
  record FlowSent(String flow, String client, String proxy, long deadline) implements Event {}

  /**
   * The last byte of the {@code OPEN} line has reached the proxy's machine. From here on the proxy
   * must answer.
   */
  record FlowTaken(String flow, String proxy) implements Event {}

  /** The client has received a line while it waited for its answer. */
  record FlowAnswered(String flow, String line) implements Event {}

  /** The client has received another line after the final answer. */
  record AnsweredAgain(String flow, String line) implements Event {}

  /** The client has closed its connection. {@code waiting}: it had not been answered yet. */
  record ClientLeft(String flow, boolean waiting) implements Event {}

  /**
   * The client has seen the end of its connection.
   *
   * @param served the client had been answered {@code UP}
   * @param moved the last line was {@code MOVE} or {@code BYE}
   * @param byHost the last line was {@code BYE}, before which no line may be missing
   */
  record ClientSawEnd(String flow, boolean served, boolean moved, boolean byHost, boolean reset)
      implements Event {}

  /**
   * A client requests a session from now on, for the first time or again after its connection
   * ended.
   *
   * @param kind the class of its flows
   * @param practice the tenant that it belongs to
   * @param model the project model that its sessions need
   */
  record ClientCame(String client, boolean again, String kind, String practice, String model)
      implements Event {}

  /**
   * A client that came at {@code cameAt} was not served in any of its tries.
   *
   * @param lost for how long it would have stayed, in microseconds
   */
  record ClientGaveUp(String client, long cameAt, long lost) implements Event {}

  /** A client has been served, on its first try or a later one. */
  record ClientServed(String client, String flow) implements Event {}

  /**
   * A client's connection has ended, whichever side closed it, or the client has stopped waiting
   * for an answer.
   */
  record ClientOver(String client, String flow, boolean moved) implements Event {}

  // Lines on established connections

  /** One end of an established connection has written a line. */
  record LineSent(String flow, boolean byClient, String line) implements Event {}

  /** The other end of an established connection has read a line. */
  record LineArrived(String flow, boolean byClient, String line) implements Event {}

  // Stream hosts

  /** A stream host has accepted a connection, for a probe or for an attempt. */
  record HostConnected(String host, String proxy) implements Event {}

  /**
   * A stream host has read a flow's {@code OPEN} line.
   *
   * @param firstByteAt when the proxy wrote the first byte of the line
   * @param givenUp the proxy had abandoned the attempt before
   */
  record AttemptArrived(String flow, String host, String proxy, long firstByteAt, boolean givenUp)
      implements Event {}

  /**
   * A stream host has answered an attempt. {@code ends}: the host sends nothing after this answer.
   */
  record AttemptAnswered(String flow, String host, String line, boolean ends) implements Event {}

  /**
   * The proxy has closed an attempt or an established connection on its side, whether or not the
   * host can notice it. {@code stood}: the connection was established.
   */
  record ProxyEnded(String flow, String host, boolean stood) implements Event {}

  /**
   * The stream host has closed an attempt or an established connection. {@code silently}: its
   * machine has lost power, so that the proxy receives no sign of it.
   */
  record HostEnded(String flow, String host, boolean stood, boolean reset, boolean silently)
      implements Event {}

  /**
   * A stream host has read a probe, {@code PING} or {@code STATS}.
   *
   * @param calmSince since when neither the network nor the host has delayed the connection
   */
  record ProbeArrived(String host, String proxy, String line, long calmSince) implements Event {}

  /** A stream host has received a line that is no request of the protocol. */
  record HostCannotRead(String host, String proxy, String line) implements Event {}

  /** A stream host's process has started. {@code cold}: it has to warm up. */
  record HostStarted(String host, boolean cold) implements Event {}

  /** A stream host drains: it sends its clients away and takes no new sessions. */
  record HostDrains(String host) implements Event {}

  /** A stream host's process has ended. */
  record HostGone(String host) implements Event {}

  /**
   * A cold stream host has failed under overload. {@code told} is the share of the load that came
   * from proxies to which discovery had reported the host's start.
   */
  record HostFellOver(String host, double told) implements Event {}

  /**
   * How close a cold stream host is to failing under the load of proxies to which discovery had
   * reported its start. Published ten times a second.
   *
   * @param share the load that those proxies ask for together, relative to what the host withstands
   * @param placed their attempts that the host has read within the window that decides on its
   *     failure
   * @param bears the number of connections of mean load and mean lifetime, started within that
   *     window, that load the host to its limit
   */
  record ColdHostAsked(String host, double share, int placed, double bears) implements Event {}

  // Discovery

  /** Discovery has received a change of status, which it must report from here on. */
  record Listed(String host, String status) implements Event {}

  /** Discovery has received a complete call, for the list or, with {@code watch}, for a watch. */
  record ListCalled(String proxy, boolean watch) implements Event {}

  /** Discovery has written a stream host's status to a proxy. */
  record Told(String proxy, String host, String status) implements Event {}

  // Proxies

  /** A proxy's process has started. */
  record ProxyStarted(String proxy) implements Event {}

  /**
   * The proxy has answered {@code PONG}: the load balancer in front of the proxies sends clients to
   * it.
   */
  record ProxyAdmitted(String proxy) implements Event {}

  /**
   * The proxy has received SIGHUP. {@code moved}: its settings file names another address of
   * discovery.
   */
  record ProxyHungUp(String proxy, boolean moved) implements Event {}

  /** The proxy has received SIGTERM: a planned shutdown begins. */
  record ProxyTerminated(String proxy) implements Event {}

  /** An operator has put the proxy on standby: it sends its clients away and keeps running. */
  record ProxyOnStandby(String proxy) implements Event {}

  /**
   * The proxy has refused an operator's call for standby, because other proxies are draining or too
   * few would remain.
   */
  record ProxyPutOff(String proxy) implements Event {}

  /** An operator has ended the proxy's standby: it takes clients again. */
  record ProxyCalledBack(String proxy) implements Event {}

  /**
   * Of the processes that share an inherited listening socket, this one accepts connections from
   * here on.
   */
  record DoorHeld(String proxy, long process) implements Event {}

  /** A process has accepted a connection from an inherited listening socket. */
  record DoorUsed(String proxy, long process) implements Event {}

  /** The proxy's process has exited by itself. */
  record ProxyExited(String proxy, int status) implements Event {}

  /**
   * The proxy's process was killed. {@code overdue}: its planned shutdown had exceeded its time
   * limit.
   */
  record ProxyKilled(String proxy, boolean overdue) implements Event {}

  /** An accept or a connect has failed because the process held as many descriptors as it may. */
  record DescriptorsExhausted(String proxy, String held) implements Event {}

  /** The proxy has logged an error of its own. */
  record ProxyFailed(String proxy, String text) implements Event {}

  /** The proxy has logged something that is no error. Published only where a trace is requested. */
  record ProxyLogged(String proxy, String text) implements Event {}

  // Membership

  /**
   * One member in a proxy's view, with its state under the name that the view uses.
   *
   * @param birth the start time of the member's incarnation
   * @param raised the counter of the member's incarnation, which it raises to refute a suspicion
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
   * A proxy's view of the fleet, published when it differs from the last one published.
   *
   * @param process identifies the proxy's process among successive processes of the same name
   */
  record ViewSeen(
      String proxy,
      long process,
      long version,
      boolean settled,
      boolean displaced,
      List<Seen> members)
      implements Event {
    /** Returns the names of the members that this view holds to be live. */
    public Set<String> liveMembers() {
      Set<String> names = new TreeSet<>();
      members.stream().filter(Seen::isLive).forEach(member -> names.add(member.name()));
      return names;
    }
  }

  // Bad clients

  /**
   * A bad client has connected. The proxy must answer or close within {@code within} milliseconds.
   */
  record BadConnected(String client, String kind, String proxy, long within) implements Event {}

  /**
   * A bad client was answered or closed, or its proxy's process ended. {@code line} is the first
   * line that the client received, or empty.
   */
  record BadSettled(String client, String line) implements Event {}

  // Faults

  record FaultBegan(String fault) implements Event {}

  record FaultEnded(String fault) implements Event {}

  /** All faults have ended. From here on the system must recover. */
  record AllFaultsOver() implements Event {}

  /** Returns the event as a line of the trace: {@code name-of-event field=value ...}. */
  default String text() {
    StringBuilder text = new StringBuilder();
    for (char c : getClass().getSimpleName().toCharArray()) {
      if (Character.isUpperCase(c)) {
        text.append(text.isEmpty() ? "" : "-").append(Character.toLowerCase(c));
      } else {
        text.append(c);
      }
    }
    for (RecordComponent component : getClass().getRecordComponents()) {
      try {
        text.append(' ').append(component.getName()).append('=');
        text.append(component.getAccessor().invoke(this));
      } catch (IllegalAccessException | InvocationTargetException e) {
        throw new IllegalStateException(e);
      }
    }
    return text.toString();
  }
}
