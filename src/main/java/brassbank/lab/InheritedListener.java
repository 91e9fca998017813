package brassbank.lab;

import java.io.FileDescriptor;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;

/**
 * A listening socket that the lab holds, as the platform does on days with upgrades, and that the
 * processes it starts inherit as descriptor 0. Java hands on pipes and files only: the socket is
 * put in the place of a pipe, for which the runtime's insides must be open ({@code bin/brassbank}
 * opens them for this command).
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

  /** The process that is built next inherits the socket. */
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
        "this runtime hands no socket on, which upgrades need: start the lab by bin/brassbank ("
            + cause.getMessage()
            + ")",
        cause);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
