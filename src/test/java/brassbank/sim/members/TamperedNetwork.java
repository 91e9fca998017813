package brassbank.sim.members;

import brassbank.membership.Message;
import brassbank.membership.Update;
import brassbank.membership.wire.Codec;
import brassbank.membership.wire.InvalidDatagramException;
import brassbank.net.Channel;
import brassbank.net.EventLoop;
import brassbank.net.Network;
import brassbank.sources.Clock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * Decorates a network so that tests can alter its membership datagrams; other traffic passes
 * unchanged.
 */
public class TamperedNetwork implements Network {
  private final Network real;
  private final Codec codec;
  private final Map<String, Update> senders = new HashMap<>();

  public TamperedNetwork(Network real, String fleet) {
    this.real = real;
    codec = new Codec(fleet);
  }

  /** Returns the messages to send in place of an outgoing message. */
  protected List<Message> tamperOutgoing(InetSocketAddress to, Message message) {
    return List.of(message);
  }

  /** Returns the messages to deliver in place of an incoming message. */
  protected List<Message> tamperIncoming(Message message) {
    return List.of(message);
  }

  /** Returns forged replies to a sent message, to be delivered to its sender. */
  protected List<Message> forgeReplies(Message sent) {
    return List.of();
  }

  /** Returns the message with only the updates that match. */
  public static Message keepUpdates(Message message, Predicate<Update> filter) {
    return new Message(
        message.kind(),
        message.sequence(),
        message.sender(),
        message.digest(),
        message.target(),
        message.updates().stream().filter(filter).toList());
  }

  /** Returns the last update that the member sent about itself, or null if none was received. */
  protected Update lastSelfUpdate(String name) {
    return senders.get(name);
  }

  /** Returns the message with each update replaced, including that of the sender about itself. */
  static Message mapUpdates(Message message, UnaryOperator<Update> change) {
    return new Message(
        message.kind(),
        message.sequence(),
        change.apply(message.sender()),
        message.digest(),
        message.target(),
        message.updates().stream().map(change).toList());
  }

  @Override
  public Datagrams datagrams(InetSocketAddress address, DatagramHandler handler)
      throws IOException {
    Datagrams socket =
        real.datagrams(
            address,
            (from, bytes) -> {
              Message message = read(bytes);
              senders.put(message.sender().name(), message.sender());
              tamperIncoming(message).forEach(one -> handler.received(from, write(one)));
            });
    return new Datagrams() {
      @Override
      public void send(InetSocketAddress to, byte[] bytes) {
        Message message = read(bytes);
        tamperOutgoing(to, message).forEach(one -> socket.send(to, write(one)));
        forgeReplies(message).forEach(one -> real.execute(() -> handler.received(to, write(one))));
      }

      @Override
      public void close() {
        socket.close();
      }
    };
  }

  private Message read(byte[] bytes) {
    try {
      return codec.decode(bytes);
    } catch (InvalidDatagramException e) {
      throw new IllegalStateException(e);
    }
  }

  private byte[] write(Message message) {
    return codec.encode(message);
  }

  @Override
  public void start(EventLoop loop) throws IOException {
    real.start(loop);
  }

  @Override
  public Listener listen(InetSocketAddress address, boolean first, Consumer<Channel> accepted)
      throws IOException {
    return real.listen(address, first, accepted);
  }

  @Override
  public Listener inherit(Consumer<Channel> accepted) throws IOException {
    return real.inherit(accepted);
  }

  @Override
  public Attempt connect(InetSocketAddress address, ConnectHandler then) {
    return real.connect(address, then);
  }

  @Override
  public Attempt get(InetSocketAddress address, String path, ResponseHandler answer) {
    return real.get(address, path, answer);
  }

  @Override
  public void execute(Runnable task) {
    real.execute(task);
  }

  @Override
  public int descriptors() {
    return real.descriptors();
  }

  @Override
  public Clock clock() {
    return real.clock();
  }
}
