package brassbank.lab;

import java.io.FileDescriptor;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;

/**
 * A listening socket that the lab holds and its processes inherit as descriptor 0, as the platform
 * does where it upgrades the program in place. {@link ProcessBuilder} passes on pipes and files
 * only, so the socket takes the place of a pipe by reflection; the JDK's internal packages must be
 * opened for that ({@code bin/brassbank} does so for this command).
 */
final class InheritedListener implements AutoCloseable {
  private static final int BACKLOG = 1_024;

  private final ServerSocketChannel socket = ServerSocketChannel.open();
  private final int descriptor;

  InheritedListener(InetSocketAddress address) throws IOException {
    try {
      Method number = socket.getClass().getMethod("getFDVal");
      number.setAccessible(true);
      descriptor = (int) number.invoke(socket);
    } catch (ReflectiveOperationException | RuntimeException e) {
      socket.close();
      throw unsupported(e);
    }
    socket.bind(address, BACKLOG);
  }

  /**
   * Returns an input redirect with which a started process inherits the socket.
   *
   * @throws LabException if the JDK's internal packages are not open
   */
  ProcessBuilder.Redirect redirect() {
    try {
      Constructor<?> pipe =
          Class.forName("java.lang.ProcessBuilder$RedirectPipeImpl").getDeclaredConstructor();
      pipe.setAccessible(true);
      ProcessBuilder.Redirect redirect = (ProcessBuilder.Redirect) pipe.newInstance();
      Method holder = redirect.getClass().getDeclaredMethod("getFd");
      holder.setAccessible(true);
      Field value = FileDescriptor.class.getDeclaredField("fd");
      value.setAccessible(true);
      value.setInt(holder.invoke(redirect), descriptor);
      return redirect;
    } catch (ReflectiveOperationException | RuntimeException e) {
      throw unsupported(e);
    }
  }

  private static LabException unsupported(Exception cause) {
    return new LabException(
        "upgrades need a socket that processes inherit, and this runtime does not allow it;"
            + " start the lab with bin/brassbank ("
            + cause.getMessage()
            + ")",
        cause);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
