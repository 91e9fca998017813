package brassbank;

import java.io.FileDescriptor;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A listening socket that child processes inherit as descriptor 0, as the platform's do. Java hands
 * on pipes and files only: the socket is put in the place of a pipe.
 */
final class SharedListener implements AutoCloseable {
  private final ServerSocketChannel socket = ServerSocketChannel.open();
  private final Path folder = Files.createTempDirectory("brassbank");

  SharedListener(InetSocketAddress address) throws IOException {
    socket.bind(address, 200);
  }

  void inheritedBy(ProcessBuilder builder) {
    builder.environment().put("LB_LISTEN_FD", "0");
    builder.environment().put("TMPDIR", folder.toString());
    try {
      Method number = socket.getClass().getMethod("getFDVal");
      number.setAccessible(true);
      Constructor<?> pipe =
          Class.forName("java.lang.ProcessBuilder$RedirectPipeImpl").getDeclaredConstructor();
      pipe.setAccessible(true);
      ProcessBuilder.Redirect redirect = (ProcessBuilder.Redirect) pipe.newInstance();
      Method descriptor = redirect.getClass().getDeclaredMethod("getFd");
      descriptor.setAccessible(true);
      Field value = FileDescriptor.class.getDeclaredField("fd");
      value.setAccessible(true);
      value.setInt(descriptor.invoke(redirect), (int) number.invoke(socket));
      builder.redirectInput(redirect);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("this runtime hands no socket on", e);
    }
  }

  /** The folder that the processes share. */
  Path folder() {
    return folder;
  }

  @Override
  public void close() throws IOException {
    socket.close();
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }
}
