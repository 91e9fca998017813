package brassbank.gateway.link;

import static brassbank.log.Field.flow;
import static brassbank.log.Field.value;

import brassbank.gateway.link.frame.Answer;
import brassbank.gateway.link.frame.GatewayName;
import brassbank.gateway.link.frame.Hello;
import brassbank.gateway.link.frame.Leave;
import brassbank.gateway.link.frame.Refusal;
import brassbank.gateway.link.frame.Room;
import brassbank.gateway.link.frame.Version;
import brassbank.gateway.link.mux.Attempt;
import brassbank.gateway.link.mux.Session;
import brassbank.gateway.link.tls.Guards;
import brassbank.gateway.link.tls.PeerCheck;
import brassbank.log.Log;
import brassbank.net.Channel;
import brassbank.net.EventLoop;
import brassbank.net.Network;
import brassbank.sources.Randomness;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * All links of a gateway: it keeps those that it opens, takes those that its peers open, and renews
 * them where keys have changed. A session belongs to one link, and ends with it.
 *
 * <pre>{@code
 * Links links = new Links(network, net.loop(), settings, guards, incarnation, randomness, owner);
 * links.listen(address);
 * Session session = links.open(peer, attempt, handler); // null: no link to it can take one
 * links.tellRoom("presentation", 12, generation);
 * links.guards(new TlsGuards(Keys.read(...), ...));      // SIGHUP
 * links.leave(3_000_000);                                // SIGTERM
 * links.close();
 * }</pre>
 *
 * For the loop's thread, or for the time before the network starts.
 */
public final class Links {
  private static final Log LOG = Log.of("link");

  /** A link that ends sooner than this counts as a failed one. */
  private static final long LASTING_MICROS = 2_000_000;

  private static final int MOST_CLASSES = 64;

  private record Telling(int room, long generation, long at) {}

  private final Network network;
  private final Io io;
  private final long incarnation;
  private final RandomGenerator chance;
  private final LinksOwner owner;

  private LinkSettings settings;
  private Guards guards;

  /** What the settings let in, by name. */
  private Map<GatewayName, LinkSettings.Peer> known = new LinkedHashMap<>();

  private final Map<GatewayName, PeerLinks> peers = new LinkedHashMap<>();
  private final Map<GatewayName, Dialler> diallers = new LinkedHashMap<>();

  /** Every connection whose descriptor is not given back, with its dialler or null. */
  private final Map<GatewayLink, Dialler> connections = new LinkedHashMap<>();

  private final Map<String, Telling> tellings = new LinkedHashMap<>();
  private Network.Listener listener;
  private boolean accepting = true;
  private EventLoop.Timer renewing;
  private Leave stopping;
  private boolean over;

  /**
   * @param incarnation differs from that of every earlier start of this gateway
   */
  public Links(
      Network network,
      EventLoop loop,
      LinkSettings settings,
      Guards guards,
      long incarnation,
      Randomness randomness,
      LinksOwner owner) {
    this.network = network;
    this.incarnation = incarnation;
    this.owner = owner;
    this.guards = guards;
    io = new Io(loop, network.clock());
    chance = randomness.stream("links of " + guards.gateway());
    configure(settings);
  }

  /** Takes links from peers at this address. */
  public void listen(InetSocketAddress address) throws IOException {
    listener = network.listen(address, channel -> EventLoop.runGuarded(() -> accept(channel)));
    admit();
  }

  /**
   * Other settings hold: new peers are connected to, those that are no longer named lose their
   * links, and the rest go on as they are. New limits hold for new links.
   */
  public void configure(LinkSettings next) {
    settings = next;
    Map<GatewayName, LinkSettings.Peer> named = new LinkedHashMap<>();
    next.peers().forEach(peer -> named.put(peer.gateway(), peer));
    for (GatewayLink link : all()) {
      LinkSettings.Peer before = known.get(link.peer());
      LinkSettings.Peer after = named.get(link.peer());
      if (link.dialled() && after != null && !Objects.equals(before.address(), after.address())) {
        link.leave(new Leave(Leave.Code.RENEW, 0));
        renewSoon();
      }
    }
    known = named;
    for (GatewayLink link : List.copyOf(connections.keySet())) {
      if (link.peer() != null && !named.containsKey(link.peer())) {
        link.end(LinkEnd.STOPPED, "no longer configured");
      }
    }
    diallers.values().forEach(Dialler::close);
    diallers.clear();
    if (stopping != null) {
      return;
    }
    for (LinkSettings.Peer peer : next.peers()) {
      if (peer.address() != null) {
        PeerLinks links = links(peer.gateway());
        Dialler dialler = new Dialler(io, network, next, peer, chance, links::kept, this::dialled);
        diallers.put(peer.gateway(), dialler);
        // Not within this call: nobody has the links yet.
        io.loop().schedule(0, dialler::see);
      }
    }
  }

  /**
   * Other keys hold for new handshakes. Standing links go on, and are replaced one after the other
   * by new ones; each ends once its sessions have.
   */
  public void guards(Guards next) {
    guards = next;
    LOG.info("link-keys", value("keys", next));
    renewSoon();
  }

  /**
   * Sends an attempt to the peer. Its lease begins now.
   *
   * @return the session, or null where no link to the peer takes one now
   */
  public Session open(GatewayName peer, Attempt attempt, Session.Handler handler) {
    PeerLinks links = peers.get(peer);
    GatewayLink best = links == null ? null : links.best();
    return best == null ? null : best.open(attempt, handler);
  }

  /** What new handshakes are made with. */
  Guards guards() {
    return guards;
  }

  /** This start of the gateway, as the attempts that it opens have it. */
  public long incarnation() {
    return incarnation;
  }

  /** The links to the peer that are up. */
  public List<GatewayLink> of(GatewayName peer) {
    PeerLinks links = peers.get(peer);
    return links == null ? List.of() : List.copyOf(links.links());
  }

  /** Connections that hold a descriptor, up or not. */
  public int connections() {
    return connections.size();
  }

  /**
   * Tells all peers how much room there is, on one link each; a peer whose links are down is told
   * once one is up.
   *
   * @param generation higher than that of the last telling of the class
   * @throws IllegalArgumentException for more than 64 classes
   */
  public void tellRoom(String flowClass, int room, long generation) {
    if (tellings.size() >= MOST_CLASSES && !tellings.containsKey(flowClass)) {
      throw new IllegalArgumentException("more than " + MOST_CLASSES + " classes");
    }
    long at = io.now();
    tellings.put(flowClass, new Telling(room, generation, at));
    for (PeerLinks peer : peers.values()) {
      GatewayLink link = peer.best();
      if (link != null) {
        link.tellRoom(flowClass, room, generation, at);
      }
    }
  }

  /**
   * The planned stop: peers open nothing more here, and each link ends once its sessions have; to
   * end those is the owner's.
   *
   * @param withinMicros when {@link #close} will come at the latest
   */
  public void leave(long withinMicros) {
    stopping = new Leave(Leave.Code.STOP, (int) Math.min(Integer.MAX_VALUE, withinMicros / 1_000));
    diallers.values().forEach(Dialler::close);
    diallers.clear();
    admit();
    for (PeerLinks peer : peers.values()) {
      for (GatewayLink link : List.copyOf(peer.links())) {
        link.leave(stopping);
        closeIfIdle(link);
      }
    }
  }

  /** Ends every link; their sessions are told. */
  public void close() {
    leave(0);
    over = true;
    for (GatewayLink link : List.copyOf(connections.keySet())) {
      link.end(LinkEnd.STOPPED, "this gateway stops");
    }
  }

  private PeerLinks links(GatewayName peer) {
    return peers.computeIfAbsent(peer, PeerLinks::new);
  }

  private void dialled(Channel channel, Dialler dialler) {
    GatewayName expected = dialler.peer().gateway();
    connect(channel, dialler, name -> name.equals(expected) ? null : "not " + expected);
  }

  private void accept(Channel channel) {
    Set<GatewayName> allowed = new LinkedHashSet<>(known.keySet());
    connect(channel, null, name -> allowed.contains(name) ? null : "not a peer of this gateway");
    admit();
  }

  private void connect(Channel channel, Dialler dialler, PeerCheck check) {
    Hello hello =
        new Hello(Version.OURS, guards.gateway(), incarnation, settings.limits().sessions());
    GatewayLink link =
        new GatewayLink(
            io, channel, dialler != null, settings, hello, guards, check, new Connections());
    connections.put(link, dialler);
  }

  /** Others may connect while not too many do that nobody knows yet; the backlog keeps the rest. */
  private void admit() {
    if (listener == null) {
      return;
    }
    long settingUp =
        connections.keySet().stream().filter(link -> !link.dialled() && !link.isUp()).count();
    boolean room = settingUp < settings.mostSetups() && stopping == null;
    if (room != accepting) {
      accepting = room;
      listener.accepting(room);
    }
  }

  private void renewSoon() {
    if (renewing == null && !over) {
      renewing = io.loop().schedule(settings.renewMicros(), this::renew);
    }
  }

  /**
   * One link of each peer at a time asks to be replaced; what was replaced ends when it is idle.
   */
  private void renew() {
    renewing = null;
    boolean more = false;
    for (PeerLinks peer : peers.values()) {
      GatewayLink old = null;
      for (GatewayLink link : List.copyOf(peer.links())) {
        if (link.leaving(Leave.Code.RENEW)) {
          closeIfIdle(link);
          more = true;
        } else if (link.guards() != guards && old == null) {
          old = link;
        }
      }
      if (old != null) {
        more = true;
        old.leave(new Leave(Leave.Code.RENEW, 0));
        see(peer.gateway());
      }
    }
    if (more) {
      renewSoon();
    }
  }

  private void see(GatewayName peer) {
    Dialler dialler = diallers.get(peer);
    if (dialler != null) {
      dialler.see();
    }
  }

  /** A link that is to be left, and has no sessions, ends once there is another to use. */
  private void closeIfIdle(GatewayLink link) {
    if (link.sessions() > 0 || !link.isUp()) {
      return;
    }
    boolean replaced =
        link.leaving(Leave.Code.RENEW)
            && links(link.peer()).links().stream()
                .anyMatch(other -> other.canOpen() && !other.leaving(Leave.Code.RENEW));
    if (stopping != null || replaced) {
      link.leave(new Leave(Leave.Code.CLOSE, 0));
    }
  }

  private final class Connections implements GatewayLink.Owner {
    @Override
    public Refusal greeted(GatewayLink link, Hello hello) {
      if (!link.dialled() && links(link.peer()).taken() >= settings.mostLinks()) {
        return new Refusal(
            Refusal.Code.FULL, Version.OURS, settings.mostLinks() + " links already");
      }
      return null;
    }

    @Override
    public void up(GatewayLink link) {
      PeerLinks peer = links(link.peer());
      // That it answered a ping shows that it runs: what stands from an earlier start is void.
      for (GatewayLink other : List.copyOf(peer.links())) {
        if (other.incarnation() != link.incarnation()) {
          other.end(LinkEnd.RESTARTED, "the peer has started anew");
        }
      }
      peer.links().add(link);
      Dialler dialler = connections.get(link);
      if (dialler != null) {
        dialler.up();
      }
      LOG.info(
          "link-up",
          value("peer", link.peer()),
          value("dialled", link.dialled()),
          value("links", peer.links().size()),
          value("round_trip_us", link.roundTripMicros()));
      if (stopping != null) {
        link.leave(stopping);
      }
      tellings.forEach((name, told) -> link.tellRoom(name, told.room, told.generation, told.at));
      admit();
      owner.up(link.peer(), link);
    }

    @Override
    public Session.Handler opened(GatewayLink link, Session session) {
      if (!links(link.peer()).admit(session)) {
        long number = session.attempt().flow();
        LOG.warn(
            "attempt-doubled",
            value("peer", link.peer()),
            flow(number),
            value("attempt", session.attempt().number()));
        session.answer(Answer.of(Answer.Code.TURNED_AWAY));
        return Session.NOBODY;
      }
      return owner.opened(link.peer(), session);
    }

    @Override
    public void died(GatewayLink link, Session session) {
      if (!session.mine()) {
        links(link.peer()).died(session);
      }
    }

    @Override
    public void idle(GatewayLink link) {
      closeIfIdle(link);
    }

    @Override
    public void room(GatewayLink link, Room room, long ageMicros) {
      owner.room(link.peer(), link.incarnation(), room, ageMicros);
    }

    @Override
    public void leaving(GatewayLink link, Leave leave) {
      LOG.info(
          "link-leaving",
          value("peer", link.peer()),
          value("code", leave.code()),
          value("within_ms", leave.withinMillis()));
      if (leave.code() == Leave.Code.RENEW) {
        see(link.peer());
      }
      owner.leaving(link.peer(), link, leave);
    }

    @Override
    public void ended(GatewayLink link, LinkEnd how, String reason) {
      Dialler dialler = connections.get(link);
      boolean wasUp = link.peer() != null && links(link.peer()).links().remove(link);
      if (wasUp) {
        LOG.info(
            "link-ended",
            value("peer", link.peer()),
            value("how", how),
            value("reason", reason),
            value("sessions", link.sessions()),
            value("after_ms", link.age() / 1_000));
        owner.down(link.peer(), link, how, links(link.peer()).links().size());
      } else if (dialler == null && how != LinkEnd.STOPPED) {
        LOG.warn(
            "link-refused",
            value("peer", link.peer() == null ? "" : link.peer()),
            value("how", how),
            value("reason", reason));
      }
      if (dialler == null) {
        return;
      }
      if (!wasUp) {
        dialler.failed(how + ": " + reason);
      } else if (how == LinkEnd.CLOSED || link.age() >= LASTING_MICROS) {
        dialler.lasted();
        dialler.see();
      } else {
        dialler.failedLater(how + ": " + reason);
      }
    }

    @Override
    public void released(GatewayLink link) {
      connections.remove(link);
      admit();
    }
  }

  /** All links that are up, of all peers. */
  public List<GatewayLink> all() {
    List<GatewayLink> all = new ArrayList<>();
    peers.values().forEach(peer -> all.addAll(peer.links()));
    return all;
  }
}
