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
 * A listening socket that child processes inherit as descriptor 0, as on the platform. Java passes
 * only pipes and files to child processes, so that the socket takes the place of a pipe.
 */
final class SharedListener implements AutoCloseable {
  private final ServerSocketChannel listener = ServerSocketChannel.open();
  private final Path handoverFolder = Files.createTempDirectory("brassbank");

  SharedListener(InetSocketAddress address) throws IOException {
    listener.bind(address, 200);
  }

  /** Configures the process to inherit the socket and to share the handover folder. */
  void passTo(ProcessBuilder builder) {
    builder.environment().put("LB_LISTEN_FD", "0");
    builder.environment().put("TMPDIR", handoverFolder.toString());
    try {
      Method socketDescriptor = listener.getClass().getMethod("getFDVal");
      socketDescriptor.setAccessible(true);
      Constructor<?> pipe =
          Class.forName("java.lang.ProcessBuilder$RedirectPipeImpl").getDeclaredConstructor();
      pipe.setAccessible(true);
      ProcessBuilder.Redirect redirect = (ProcessBuilder.Redirect) pipe.newInstance();
      Method pipeDescriptor = redirect.getClass().getDeclaredMethod("getFd");
      pipeDescriptor.setAccessible(true);
      Field descriptorNumber = FileDescriptor.class.getDeclaredField("fd");
      descriptorNumber.setAccessible(true);
      descriptorNumber.setInt(
          pipeDescriptor.invoke(redirect), (int) socketDescriptor.invoke(listener));
      builder.redirectInput(redirect);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(
          "this Java runtime cannot pass a socket to a child process", e);
    }
  }

  /** Returns the folder that the processes share. */
  Path handoverFolder() {
    return handoverFolder;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    try (var files = Files.list(handoverFolder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(handoverFolder);
  }
}
