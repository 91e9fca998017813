package brassbank;

import java.lang.reflect.Proxy;
import java.util.concurrent.Semaphore;

/**
 * SIGHUP, whose default is to end the program. Java offers {@code sun.misc.Signal} only, whose use
 * no compiler flag lets pass without a warning: it is reached by name, here and nowhere else.
 */
final class Hangup {
  private final Semaphore signals = new Semaphore(0);
  private boolean ignored;

  /** Takes the signal from here on; one that comes before {@link #await} is kept for it. */
  static Hangup taken() {
    Hangup hangup = new Hangup();
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object taker =
          Proxy.newProxyInstance(
              Hangup.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                hangup.signals.release();
                return null;
              });
      Object hup = signal.getConstructor(String.class).newInstance("HUP");
      Object before = signal.getMethod("handle", signal, handler).invoke(null, hup, taker);
      hangup.ignored = before == handler.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("this runtime lets no program take SIGHUP", e);
    }
    return hangup;
  }

  /**
   * Whether whoever started the program had the signal ignored, as {@code nohup} does: the runtime
   * then leaves it so, and no signal will ever come.
   */
  boolean ignored() {
    return ignored;
  }

  /** Waits for the signal; several that have come meanwhile count as one. */
  void await() throws InterruptedException {
    signals.acquire();
    signals.drainPermits();
  }
}
