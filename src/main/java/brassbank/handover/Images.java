package brassbank.handover;

import static brassbank.log.Field.value;

import brassbank.log.Log;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The files beside that of the locks in which processes tell their successors what they hold. Each
 * writes its own, whole and in one step; whoever sees that its writer is dead deletes it, since the
 * folder counts as memory. For one thread.
 */
final class Images {
  private static final Log LOG = Log.of("handover");

  private final Path locks;
  private final long number;
  private HandoverState written;

  /** What was read last of each predecessor's. */
  private final Map<Long, byte[]> seen = new HashMap<>();

  Images(Path locks, long number) {
    this.locks = locks;
    this.number = number;
  }

  private Path file(long of) {
    return locks.resolveSibling(locks.getFileName() + "." + of);
  }

  /** Writes what this process holds, where that has changed. */
  void write(HandoverState holding) throws IOException {
    if (holding.equals(written)) {
      return;
    }
    Path part = file(number).resolveSibling(file(number).getFileName() + ".part");
    Files.write(part, Image.of(holding));
    Files.move(part, file(number), StandardCopyOption.ATOMIC_MOVE);
    written = holding;
  }

  /**
   * What this predecessor holds, if that was not read before.
   *
   * @return null where there is nothing new, or nothing that can be read
   */
  HandoverState read(long predecessor) throws IOException {
    byte[] bytes;
    try {
      if (Files.size(file(predecessor)) > Image.MOST_BYTES) {
        throw new IllegalArgumentException("too long");
      }
      bytes = Files.readAllBytes(file(predecessor));
      if (Arrays.equals(bytes, seen.put(predecessor, bytes))) {
        return null;
      }
      return Image.read(bytes);
    } catch (NoSuchFileException e) {
      return null;
    } catch (IllegalArgumentException e) {
      LOG.warn("image-unusable", value("number", predecessor), value("reason", e.getMessage()));
      return null;
    }
  }

  /** Whether anything was read of this one. */
  boolean knows(long predecessor) {
    return seen.containsKey(predecessor);
  }

  /** Whoever was read and is not among these has died. */
  List<Long> gone(List<Long> alive) throws IOException {
    List<Long> gone = new ArrayList<>(seen.keySet());
    gone.removeAll(alive);
    for (long dead : gone) {
      seen.remove(dead);
      Files.deleteIfExists(file(dead));
    }
    return gone;
  }

  /** Deletes what processes that died before this one started have left. */
  void clean(List<Long> alive) throws IOException {
    String prefix = locks.getFileName() + ".";
    try (var files = Files.newDirectoryStream(locks.toAbsolutePath().getParent(), prefix + "*")) {
      for (Path file : files) {
        String of = file.getFileName().toString().substring(prefix.length());
        if (of.matches("\\d{1,10}(\\.part)?")
            && !alive.contains(Long.parseLong(of.replace(".part", "")))) {
          Files.deleteIfExists(file);
        }
      }
    }
  }
}
