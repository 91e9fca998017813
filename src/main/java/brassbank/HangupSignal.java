package brassbank;

import java.lang.reflect.Proxy;
import java.util.concurrent.Semaphore;

/**
 * Receives SIGHUP, whose default action is to end the program.
 *
 * <p>Java offers only {@code sun.misc.Signal} for this, and the compiler warns of each use of it
 * whatever flags are set. This class alone uses it, by reflection.
 */
final class HangupSignal {
  private final Semaphore signals = new Semaphore(0);
  private boolean ignored;

  /**
   * Installs the handler. A signal that arrives before {@link #await} is called is kept for it.
   *
   * @throws IllegalStateException if the runtime does not allow SIGHUP to be handled
   */
  static HangupSignal install() {
    HangupSignal hangup = new HangupSignal();
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object handlerProxy =
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                hangup.signals.release();
                return null;
              });
      Object hup = signal.getConstructor(String.class).newInstance("HUP");
      Object previous = signal.getMethod("handle", signal, handler).invoke(null, hup, handlerProxy);
      hangup.ignored = previous == handler.getField("SIG_IGN").get(null);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("this Java runtime does not allow SIGHUP to be handled", e);
    }
    return hangup;
  }

  /**
   * Returns whether the program was started with the signal ignored, as {@code nohup} does. The
   * runtime then keeps ignoring it, and no signal is ever received.
   */
  boolean isIgnored() {
    return ignored;
  }

  /** Waits for the signal. Several signals received since the last call count as one. */
  void await() throws InterruptedException {
    signals.acquire();
    signals.drainPermits();
  }
}
