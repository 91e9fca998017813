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
 * The image files beside the lock file, in which processes publish their state to their successors.
 *
 * <p>Each process replaces its own file atomically. A process that finds the writer of a file
 * stopped deletes the file, because the folder may be backed by memory. Not thread-safe.
 */
final class ImageStore {
  private static final Log LOG = Log.of("handover");

  private final Path lockFile;
  private final long number;
  private HandoverState lastWritten;

  /** The bytes that were last read from the image of each predecessor. */
  private final Map<Long, byte[]> lastRead = new HashMap<>();

  /**
   * @param lockFile the lock file, whose name the names of the image files begin with
   * @param number the process number of this process
   */
  ImageStore(Path lockFile, long number) {
    this.lockFile = lockFile;
    this.number = number;
  }

  private Path imageFile(long processNumber) {
    return lockFile.resolveSibling(lockFile.getFileName() + "." + processNumber);
  }

  /** Writes the state of this process if it has changed since the last write. */
  void write(HandoverState state) throws IOException {
    if (state.equals(lastWritten)) {
      return;
    }
    Path part = imageFile(number).resolveSibling(imageFile(number).getFileName() + ".part");
    Files.write(part, ImageCodec.encode(state));
    Files.move(part, imageFile(number), StandardCopyOption.ATOMIC_MOVE);
    lastWritten = state;
  }

  /**
   * Reads the state of a predecessor if its image has changed since the last read.
   *
   * @return the state, or null if the image is unchanged, missing or unusable
   */
  HandoverState readIfChanged(long predecessor) throws IOException {
    byte[] bytes;
    try {
      if (Files.size(imageFile(predecessor)) > ImageCodec.MAX_IMAGE_BYTES) {
        throw new IllegalArgumentException("longer than " + ImageCodec.MAX_IMAGE_BYTES + " bytes");
      }
      bytes = Files.readAllBytes(imageFile(predecessor));
      if (Arrays.equals(bytes, lastRead.put(predecessor, bytes))) {
        return null;
      }
      return ImageCodec.decode(bytes);
    } catch (NoSuchFileException e) {
      return null;
    } catch (IllegalArgumentException e) {
      LOG.warn("image-unusable", value("number", predecessor), value("reason", e.getMessage()));
      return null;
    }
  }

  /** Returns whether an image of this predecessor has been read, whether or not it was usable. */
  boolean hasRead(long predecessor) {
    return lastRead.containsKey(predecessor);
  }

  /**
   * Forgets the predecessors that have stopped and deletes their images.
   *
   * @param live the process numbers of the predecessors that are running
   * @return the process numbers of those whose image was read before and that have stopped
   */
  List<Long> removeStopped(List<Long> live) throws IOException {
    List<Long> stopped = new ArrayList<>(lastRead.keySet());
    stopped.removeAll(live);
    for (long predecessor : stopped) {
      lastRead.remove(predecessor);
      Files.deleteIfExists(imageFile(predecessor));
    }
    return stopped;
  }

  /** Deletes the images of processes that stopped before this one started. */
  void deleteStale(List<Long> live) throws IOException {
    String prefix = lockFile.getFileName() + ".";
    try (var files =
        Files.newDirectoryStream(lockFile.toAbsolutePath().getParent(), prefix + "*")) {
      for (Path file : files) {
        String suffix = file.getFileName().toString().substring(prefix.length());
        if (suffix.matches("\\d{1,10}(\\.part)?")
            && !live.contains(Long.parseLong(suffix.replace(".part", "")))) {
          Files.deleteIfExists(file);
        }
      }
    }
  }
}
