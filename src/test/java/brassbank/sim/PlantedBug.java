package brassbank.sim;

import brassbank.net.Channel;
import brassbank.net.Network;
import brassbank.sim.check.Breach;
import brassbank.sim.fault.Plan;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Proxies that break a rule on purpose, to show that its check can fail. Each bug is planted by a
 * wrapper around the network of the unchanged proxy.
 *
 * <p>{@code rule} is the beginning of the name of the rule that must catch the bug. The names of
 * the constants are printed.
 */
enum PlantedBug {
  /**
   * The {@code OPEN} line is sent to a second stream host while the attempt at the first is in
   * flight.
   */
  SECOND_ATTEMPT("never two attempts out", SecondAttempt::new),

  /** A rejection is lost, and the client waits until its deadline. */
  ANSWER_LOST("one final answer", real -> toClients(real, "BUSY", Spoil.DROPPED_FOR_GOOD)),

  /** A rejection is delayed so that the client does not retry. */
  ANSWER_KEPT_BACK("what is given up", AnswerKeptBack::new),

  /** A client is answered twice. */
  ANSWERED_TWICE("one final answer", real -> toClients(real, "BUSY", Spoil.DOUBLED)),

  /** The proxy answers {@code UP} without a stream host. */
  INVENTED_UP("nothing that no stream host produced", real -> toClients(real, "UP ", Spoil.UP)),

  /** A bad client is served as if its request were valid. */
  BAD_CLIENT_SERVED("a bad client", real -> toClients(real, "ERR", Spoil.UP)),

  /** A moved client does not receive {@code MOVE}. */
  MOVE_LOST("no connection cut off", real -> toClients(real, "MOVE", Spoil.DROPPED)),

  /** Two bytes of a line are swapped. */
  BYTES_SWAPPED("lines neither lost", real -> toClients(real, "r ", Spoil.SWAPPED)),

  /** Bytes that do not fit into the kernel's buffer are dropped. */
  SHORT_WRITE_LOST("lines neither lost", ShortWriteLost::new),

  /** Lines are delayed. */
  LINE_HELD("lines neither lost", real -> toClients(real, "LOAD", Spoil.LATE)),

  /** The client's connection stays open after the stream host has closed its own. */
  END_KEPT("an end is passed on", EndKept::new),

  /** The client of a silent stream host is not moved. */
  SILENCE_KEPT("a silent connection", real -> toClients(real, "MOVE", Spoil.DEAF)),

  /** A bad client is neither answered nor closed. */
  BAD_CLIENT_KEPT("a bad client", real -> toClients(real, "ERR", Spoil.DROPPED_FOR_GOOD)),

  /** An {@code OPEN} line is relayed with figures that no stream host can parse. */
  UNREADABLE("nothing that no stream host produced", Unreadable::new),

  /** Updates from discovery are received two seconds late. */
  DRAIN_HEARD_LATE("nothing to a draining", HeardLate::new),

  /** All sessions are sent to the stream host that started last. */
  NEWEST_FLOODED("no cold host pushed over", NewestFlooded::new),

  /**
   * The same bug: before the host fails, it has received more calls than all proxies may send it.
   */
  NEWEST_CALLED("a cold host's calls", NewestFlooded::new),

  /** A stream host to which one connect has failed is never connected to again. */
  HOST_FORGOTTEN("all sound again", HostForgotten::new),

  /** One of five connections is not closed. */
  DESCRIPTOR_LEAKED("descriptors within", DescriptorLeaked::new),

  /** The descriptors that the runtime holds are not counted. */
  DESCRIPTORS_MISCOUNTED("descriptors within", Miscounted::new),

  /** Each probe of a stream host is sent thirty times. */
  PROBE_STORM("probes a second", ProbeStorm::new),

  /** For each connection thirty more are opened and closed. */
  CONNECT_STORM("connects a second", ConnectStorm::new),

  /** Each call to discovery is made thirty times. */
  CALL_STORM("calls a second", CallStorm::new),

  /** A drain moves no client. */
  DRAIN_FORGOTTEN("a proxy on standby", StopForgotten::new),

  /** A client that is to be moved receives nothing, and stays. */
  CLIENT_FORGOTTEN("a proxy on standby", real -> toClients(real, "MOVE", Spoil.DROPPED_FOR_GOOD)),

  /** The old process continues to accept connections after its successor has taken over. */
  DOOR_KEPT("one process takes", DoorKept::new),

  /** A planned shutdown moves no client. */
  STOP_FORGOTTEN("no connection cut off", StopForgotten::new);

  final String rule;
  final UnaryOperator<Network> plant;

  PlantedBug(String rule, UnaryOperator<Network> plant) {
    this.rule = rule;
    this.plant = plant;
  }

  /**
   * Returns whether the breach ends the run. A cold host that fails under overload has received too
   * many calls before, which is planted as a bug of its own.
   */
  private boolean ends(Breach breach) {
    return this != NEWEST_FLOODED || !breach.rule().startsWith(NEWEST_CALLED.rule);
  }

  /**
   * Returns the first seed up to {@code maxSeed} that catches the bug, or 0. Breaches of other
   * rules are passed to {@code others}.
   */
  long caughtBy(long maxSeed, BiConsumer<Long, Breach> others) {
    for (long seed = 1; seed <= maxSeed; seed++) {
      Plan plan =
          Plan.drawn(
              seed,
              Plan.DEFAULT_SECONDS,
              Plan.DEFAULT_PROXIES,
              Plan.DEFAULT_HOSTS,
              Plan.DEFAULT_CLIENTS_PER_SECOND);
      List<Breach> breaches = new SimulationRun(plan, this.plant).execute(this::ends).breaches();
      if (breaches.stream().anyMatch(breach -> breach.rule().startsWith(rule))) {
        return seed;
      }
      for (Breach breach : breaches) {
        others.accept(seed, breach);
      }
    }
    return 0;
  }

  /** What is done to a write that begins with certain words. */
  private enum Spoil {
    DROPPED,
    DROPPED_FOR_GOOD,
    DOUBLED,
    UP,
    BUSY,
    SWAPPED,
    LATE,
    DEAF
  }

  /** Every failure is answered as if the flow had never run. */
  static Network failuresAnsweredAsBusy(Network real) {
    return toClients(real, "ERR", Spoil.BUSY);
  }

  private static Network toClients(Network real, String begins, Spoil spoil) {
    return new Wrapped(real) {
      @Override
      Channel fromClient(Channel channel) {
        return new Spoiled(this, channel, begins, spoil);
      }
    };
  }

  private static final class Spoiled extends Wrapped.Wire {
    private final Wrapped network;
    private final String begins;
    private final Spoil spoil;
    private boolean muted;
    private boolean delaying;

    Spoiled(Wrapped network, Channel real, String begins, Spoil spoil) {
      super(real);
      this.network = network;
      this.begins = begins;
      this.spoil = spoil;
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
      String text = text(from);
      if (muted) {
        return instead(from, "");
      }
      if (delaying) {
        network.loop.schedule(1_500_000, () -> later(text));
        return instead(from, "");
      }
      if (!text.startsWith(begins)) {
        return super.write(from);
      }
      switch (spoil) {
        case DOUBLED:
          return instead(from, text + text);
        case UP:
          return instead(from, "UP r1\r\n");
        case BUSY:
          return instead(from, "BUSY\r\n");
        case SWAPPED:
          int middle = text.length() / 2;
          return instead(
              from,
              text.substring(0, middle)
                  + text.charAt(middle + 1)
                  + text.charAt(middle)
                  + text.substring(middle + 2));
        case LATE:
          delaying = true;
          network.loop.schedule(1_500_000, () -> later(text));
          return instead(from, "");
        case DROPPED_FOR_GOOD, DEAF:
          muted = true;
          return instead(from, "");
        default:
          return instead(from, "");
      }
    }

    private void later(String text) {
      try {
        real.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
      } catch (IOException e) {
        muted = true;
      }
    }

    @Override
    public void shutdownOutput() throws IOException {
      if (!muted) {
        super.shutdownOutput();
      }
    }

    @Override
    public void close() {
      if (!muted) {
        super.close();
      }
    }
  }

  private static final class SecondAttempt extends Wrapped {
    private InetSocketAddress last;
    private int lines;

    SecondAttempt(Network real) {
      super(real);
    }

    @Override
    Channel opened(InetSocketAddress address, Channel channel) {
      return new Wire(channel) {
        @Override
        public int write(ByteBuffer from) throws IOException {
          String line = text(from);
          if (line.startsWith("OPEN ")) {
            if (last != null && !last.equals(address) && ++lines % 20 == 0) {
              sendSecondAttempt(last, line);
            }
            last = address;
          }
          return super.write(from);
        }
      };
    }

    private void sendSecondAttempt(InetSocketAddress address, String line) {
      real.connect(
          address,
          new ConnectHandler() {
            @Override
            public void connected(Channel channel) {
              channel.handler(ignoreAll());
              try {
                channel.write(ByteBuffer.wrap(line.getBytes(StandardCharsets.ISO_8859_1)));
              } catch (IOException e) {
                channel.close();
              }
            }

            @Override
            public void failed(IOException cause) {}
          });
    }
  }

  private static Channel.Handler ignoreAll() {
    return new Channel.Handler() {
      @Override
      public void readable() {}

      @Override
      public void writable() {}

      @Override
      public void broken() {}
    };
  }

  /** Rejections are sent half a second late, and so is the close after them. */
  private static final class AnswerKeptBack extends Wrapped {
    AnswerKeptBack(Network real) {
      super(real);
    }

    @Override
    Channel fromClient(Channel channel) {
      return new Wire(channel) {
        private boolean delayed;

        @Override
        public int write(ByteBuffer from) throws IOException {
          String text = text(from);
          if (!text.startsWith("BUSY")) {
            return super.write(from);
          }
          delayed = true;
          loop.schedule(
              500_000,
              () -> {
                try {
                  instead(ByteBuffer.allocate(0), text);
                  real.close();
                } catch (IOException e) {
                  real.close();
                }
              });
          return instead(from, "");
        }

        @Override
        public void shutdownOutput() throws IOException {
          if (!delayed) {
            super.shutdownOutput();
          }
        }

        @Override
        public void close() {
          if (!delayed) {
            super.close();
          }
        }
      };
    }
  }

  private static final class ShortWriteLost extends Wrapped {
    ShortWriteLost(Network real) {
      super(real);
    }

    @Override
    Channel fromClient(Channel channel) {
      return new Wire(channel) {
        @Override
        public int write(ByteBuffer from) throws IOException {
          int count = from.remaining();
          super.write(from);
          from.position(from.limit());
          return count;
        }
      };
    }
  }

  private static final class EndKept extends Wrapped {
    EndKept(Network real) {
      super(real);
    }

    @Override
    Channel fromClient(Channel channel) {
      return new Wire(channel) {
        private boolean established;

        @Override
        public int write(ByteBuffer from) throws IOException {
          established |= text(from).startsWith("UP ");
          return super.write(from);
        }

        @Override
        public void shutdownOutput() throws IOException {
          if (!established) {
            super.shutdownOutput();
          }
        }

        @Override
        public void close() {
          if (!established) {
            super.close();
          }
        }
      };
    }
  }

  private static final class Unreadable extends Wrapped {
    Unreadable(Network real) {
      super(real);
    }

    @Override
    Channel opened(InetSocketAddress address, Channel channel) {
      return new Wire(channel) {
        @Override
        public int write(ByteBuffer from) throws IOException {
          String text = text(from);
          return text.startsWith("OPEN ") && text.contains(",r=1")
              ? instead(from, text.replace(",d=", ",d=-"))
              : super.write(from);
        }
      };
    }
  }

  private static final class HeardLate extends Wrapped {
    HeardLate(Network real) {
      super(real);
    }

    @Override
    public Attempt get(InetSocketAddress address, String path, ResponseHandler answer) {
      return super.get(
          address,
          path,
          new ResponseHandler() {
            private boolean failed;

            @Override
            public void connected() {
              answer.connected();
            }

            @Override
            public void statusReceived(int status) {
              answer.statusReceived(status);
            }

            @Override
            public void contentReceived(int status, ByteBuffer bytes, boolean last) {
              ByteBuffer copy = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
              loop.schedule(
                  2_000_000,
                  () -> {
                    if (!failed) {
                      answer.contentReceived(status, copy, last);
                    }
                  });
            }

            @Override
            public void failed(String why) {
              failed = true;
              answer.failed(why);
            }
          });
    }
  }

  private static final class NewestFlooded extends Wrapped {
    private static final Pattern ENTRY =
        Pattern.compile("\"address\":\"([0-9.]+):(\\d+)\".*?\"since_ms\":(\\d+)");

    private long newestSince;
    private InetSocketAddress newest;

    NewestFlooded(Network real) {
      super(real);
    }

    @Override
    public Attempt get(InetSocketAddress address, String path, ResponseHandler answer) {
      return super.get(
          address,
          path,
          new ResponseHandler() {
            @Override
            public void connected() {
              answer.connected();
            }

            @Override
            public void statusReceived(int status) {
              answer.statusReceived(status);
            }

            @Override
            public void contentReceived(int status, ByteBuffer bytes, boolean last) {
              findNewest(StandardCharsets.ISO_8859_1.decode(bytes.duplicate()).toString());
              answer.contentReceived(status, bytes, last);
            }

            @Override
            public void failed(String why) {
              answer.failed(why);
            }
          });
    }

    private void findNewest(String text) {
      Matcher entry = ENTRY.matcher(text);
      while (entry.find()) {
        long since = Long.parseLong(entry.group(3));
        if (since > newestSince) {
          newestSince = since;
          newest = new InetSocketAddress(entry.group(1), Integer.parseInt(entry.group(2)));
        }
      }
    }

    @Override
    public Attempt connect(InetSocketAddress address, ConnectHandler then) {
      return super.connect(newest == null ? address : newest, then);
    }
  }

  private static final class HostForgotten extends Wrapped {
    private final Map<InetSocketAddress, Boolean> failed = new HashMap<>();

    HostForgotten(Network real) {
      super(real);
    }

    @Override
    public Attempt connect(InetSocketAddress address, ConnectHandler then) {
      if (failed.containsKey(address)) {
        real.execute(
            () -> then.failed(new IOException("a connect to this host has failed before")));
        return () -> {};
      }
      Attempt attempt =
          super.connect(
              address,
              new ConnectHandler() {
                @Override
                public void connected(Channel channel) {
                  then.connected(channel);
                }

                @Override
                public void failed(IOException cause) {
                  failed.put(address, true);
                  then.failed(cause);
                }
              });
      return attempt;
    }
  }

  private static final class DescriptorLeaked extends Wrapped {
    private int opened;

    DescriptorLeaked(Network real) {
      super(real);
    }

    @Override
    Channel fromClient(Channel channel) {
      if (++opened % 5 != 0) {
        return channel;
      }
      return new Wire(channel) {
        @Override
        public void close() {
          reading(false);
          writing(false);
        }
      };
    }
  }

  private static final class Miscounted extends Wrapped {
    Miscounted(Network real) {
      super(real);
    }

    @Override
    public int descriptors() {
      return 1;
    }
  }

  /** The proxy's start is its first task; a planned shutdown is a later one. */
  private static final class StopForgotten extends Wrapped {
    private boolean started;

    StopForgotten(Network real) {
      super(real);
    }

    @Override
    public void execute(Runnable task) {
      if (!started) {
        started = true;
        super.execute(task);
      }
    }
  }

  private static final class ProbeStorm extends Wrapped {
    ProbeStorm(Network real) {
      super(real);
    }

    @Override
    Channel opened(InetSocketAddress address, Channel channel) {
      return new Wire(channel) {
        @Override
        public int write(ByteBuffer from) throws IOException {
          String text = text(from);
          return text.equals("STATS\r\n") ? instead(from, text.repeat(30)) : super.write(from);
        }
      };
    }
  }

  private static final class ConnectStorm extends Wrapped {
    ConnectStorm(Network real) {
      super(real);
    }

    @Override
    public Attempt connect(InetSocketAddress address, ConnectHandler then) {
      for (int i = 0; i < 30; i++) {
        real.connect(
            address,
            new ConnectHandler() {
              @Override
              public void connected(Channel channel) {
                channel.close();
              }

              @Override
              public void failed(IOException cause) {}
            });
      }
      return super.connect(address, then);
    }
  }

  private static final class CallStorm extends Wrapped {
    CallStorm(Network real) {
      super(real);
    }

    @Override
    public Attempt get(InetSocketAddress address, String path, ResponseHandler answer) {
      for (int i = 0; i < 30; i++) {
        real.get(
            address,
            path,
            new ResponseHandler() {
              @Override
              public void connected() {}

              @Override
              public void statusReceived(int status) {}

              @Override
              public void contentReceived(int status, ByteBuffer bytes, boolean last) {}

              @Override
              public void failed(String why) {}
            });
      }
      return real.get(address, path, answer);
    }
  }

  /**
   * Every flow is sent to the stream hosts under the id of the first one. Not a constant of this
   * enum, because the bug breaks other rules earlier, and a run of the list ends with the first
   * breach.
   */
  static final class FifthAttempt extends Wrapped {
    private static final Pattern ID = Pattern.compile("OPEN (\\S+) ");
    private String used;

    FifthAttempt(Network real) {
      super(real);
    }

    @Override
    Channel opened(InetSocketAddress address, Channel channel) {
      return new Wire(channel) {
        @Override
        public int write(ByteBuffer from) throws IOException {
          String text = text(from);
          Matcher id = ID.matcher(text);
          if (!id.lookingAt()) {
            return super.write(from);
          }
          used = used == null ? id.group(1) : used;
          return instead(from, text.replace(id.group(1), used));
        }
      };
    }
  }

  private static final class DoorKept extends Wrapped {
    DoorKept(Network real) {
      super(real);
    }

    @Override
    public Listener inherit(java.util.function.Consumer<Channel> accepted) throws IOException {
      Listener listener = super.inherit(accepted);
      return on -> {
        if (on) {
          listener.accepting(true);
        }
      };
    }
  }
}
