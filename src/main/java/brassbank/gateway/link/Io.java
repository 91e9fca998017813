package brassbank.gateway.link;

import brassbank.gateway.link.frame.Frames;
import brassbank.net.EventLoop;
import brassbank.sources.Clock;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;

/** What all links of a gateway share: the loop, its time, and buffers that are used in turns. */
final class Io {
  private static final int READ = 64 * 1024;

  private final EventLoop loop;
  private final Clock clock;

  /** What is read off the wire. */
  private final ByteBuffer input = ByteBuffer.allocate(READ);

  /** Frames that go next. */
  private final ByteBuffer frames = ByteBuffer.allocate(Frames.LONGEST);

  Io(EventLoop loop, Clock clock) {
    this.loop = loop;
    this.clock = clock;
  }

  EventLoop loop() {
    return loop;
  }

  /** Microseconds of the steady clock. */
  long now() {
    return TimeUnit.NANOSECONDS.toMicros(clock.nanos());
  }

  ByteBuffer input() {
    return input.clear();
  }

  ByteBuffer frames() {
    return frames.clear();
  }
}
