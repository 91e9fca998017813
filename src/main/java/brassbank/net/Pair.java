package brassbank.net;

/**
 * A standing connection: a client's link and its target's. All bytes pass both ways as they come;
 * what one side ends is ended on the other the same way.
 */
public final class Pair implements Link.Owner {
  /** A farewell waits this long for the end of a line that is on its way. */
  private static final long LINE_WAIT_MICROS = 500_000;

  /** Who is told of the lines that pass, and of the end. */
  public interface Watcher {
    void clientLine(String line);

    void targetLine(String line);

    /** One side has ended the pair; both links are closed or closing. */
    void ended(boolean byClient, boolean reset);
  }

  private final Net net;
  private final Link client;
  private final Link target;
  private final Watcher watcher;
  private String farewell;
  private boolean over;

  public Pair(Net net, Link client, Link target, Watcher watcher) {
    this.net = net;
    this.client = client;
    this.target = target;
    this.watcher = watcher;
  }

  /** Takes both links over, with what has come on them after the lines taken so far. */
  public void start() {
    client.owner(this);
    target.owner(this);
    client.buffer().passFromHere();
    target.buffer().passFromHere();
    received(target);
    received(client);
  }

  @Override
  public void received(Link from) {
    if (over) {
      return;
    }
    Link to = from == client ? target : client;
    to.send(from.buffer().fresh(), null);
    if (!to.writable() && to.isOpen()) {
      from.pause();
      to.whenWritable(from::resume);
    }
    for (String line = from.buffer().nextLine();
        line != null && !over;
        line = from.buffer().nextLine()) {
      if (from == client) {
        watcher.clientLine(line);
      } else {
        watcher.targetLine(line);
      }
    }
    if (!over && farewell != null && target.buffer().atLineEnd()) {
      leave();
    }
  }

  @Override
  public void ended(Link from, boolean reset) {
    if (over) {
      return;
    }
    over = true;
    Link to = from == client ? target : client;
    if (reset) {
      to.reset();
    } else {
      to.close();
    }
    watcher.ended(from == client, reset);
  }

  /** Sends the client a last line, between two lines, and ends both sides. */
  public void farewell(String line) {
    farewell = line;
    if (target.buffer().atLineEnd()) {
      leave();
    } else {
      net.loop().after(LINE_WAIT_MICROS, this::leave);
    }
  }

  private void leave() {
    if (!over) {
      over = true;
      if (target.buffer().atLineEnd()) {
        client.send(farewell);
      }
      client.close();
      target.close();
    }
  }
}
