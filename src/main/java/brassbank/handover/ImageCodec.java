package brassbank.handover;

import brassbank.decide.EstablishedConnection;
import brassbank.decide.TargetList;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.zip.CRC32;

/**
 * Encodes and decodes the image of a {@link HandoverState}, in which a process publishes its state
 * to its successor.
 *
 * <p>An image is text. The header line holds the format version, the length of the body in bytes
 * and the CRC-32 of the body; each further line holds one item as tab-separated fields, the first
 * of which names the kind. Lines of unknown kinds and additional fields, which a newer program may
 * write, are ignored; an image of another format version is rejected. Performs no I/O.
 */
final class ImageCodec {
  /**
   * The most items of one kind that an image may hold, which bounds the successor's memory. No
   * process has descriptors for more connections.
   */
  static final int MAX_ITEMS = 16_384;

  static final int MAX_IMAGE_BYTES = 4 << 20;

  private static final String HEADER = "brassbank-image 1 ";

  private ImageCodec() {}

  static byte[] encode(HandoverState state) {
    StringBuilder body = new StringBuilder();
    appendLine(body, "descriptors", state.descriptorLimit());
    appendLine(body, "standby", state.standby());
    state.flowIds().stream().limit(MAX_ITEMS).forEach(id -> appendLine(body, "id", id));
    for (TargetList.Entry entry : state.targets()) {
      appendLine(
          body,
          "target",
          entry.name(),
          entry.address().getAddress().getHostAddress() + ":" + entry.address().getPort(),
          entry.zone(),
          entry.type(),
          entry.group(),
          entry.status(),
          entry.weight(),
          entry.startUnixMillis());
    }
    state.connections().stream()
        .limit(MAX_ITEMS)
        .forEach(
            connection ->
                appendLine(
                    body,
                    "connection",
                    connection.id(),
                    connection.key(),
                    connection.flowClass(),
                    connection.tenant() == null ? "" : connection.tenant(),
                    connection.group() == null ? "" : connection.group(),
                    connection.loadHint(),
                    connection.target(),
                    connection.load()));
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    String headerLine = HEADER + bytes.length + " " + Long.toHexString(checksum(bytes, 0)) + "\n";
    byte[] header = headerLine.getBytes(StandardCharsets.ISO_8859_1);
    byte[] image = new byte[header.length + bytes.length];
    System.arraycopy(header, 0, image, 0, header.length);
    System.arraycopy(bytes, 0, image, header.length, bytes.length);
    return image;
  }

  /**
   * Appends one line. Control characters in a value, which would end the field or the line, are
   * replaced by question marks.
   */
  private static void appendLine(StringBuilder target, String kind, Object... values) {
    target.append(kind);
    for (Object value : values) {
      target.append('\t').append(value.toString().replaceAll("\\p{Cntrl}", "?"));
    }
    target.append('\n');
  }

  private static long checksum(byte[] bytes, int from) {
    CRC32 crc = new CRC32();
    crc.update(bytes, from, bytes.length - from);
    return crc.getValue();
  }

  /**
   * Decodes an image.
   *
   * @throws IllegalArgumentException if the image is truncated, corrupt or of another version
   */
  static HandoverState decode(byte[] bytes) {
    int headerEnd = 0;
    while (headerEnd < bytes.length && bytes[headerEnd] != '\n') {
      headerEnd++;
    }
    String header = new String(bytes, 0, Math.min(headerEnd, 80), StandardCharsets.ISO_8859_1);
    if (!header.startsWith(HEADER)) {
      throw new IllegalArgumentException("unsupported image version");
    }
    int bodyStart = headerEnd + 1;
    String lengthAndChecksum =
        (bytes.length - bodyStart)
            + " "
            + Long.toHexString(bodyStart > bytes.length ? 0 : checksum(bytes, bodyStart));
    if (bodyStart > bytes.length || !header.substring(HEADER.length()).equals(lengthAndChecksum)) {
      throw new IllegalArgumentException("damaged");
    }
    String body = new String(bytes, bodyStart, bytes.length - bodyStart, StandardCharsets.UTF_8);
    int descriptorLimit = 0;
    boolean standby = false;
    Set<String> flowIds = new LinkedHashSet<>();
    List<TargetList.Entry> targets = new ArrayList<>();
    List<EstablishedConnection> connections = new ArrayList<>();
    try {
      for (String line : body.lines().toList()) {
        String[] fields = line.split("\t", -1);
        switch (fields[0]) {
          case "descriptors" -> descriptorLimit = Integer.parseInt(fields[1]);
          case "standby" -> standby = Boolean.parseBoolean(fields[1]);
          case "id" -> flowIds.add(fields[1]);
          case "target" -> targets.add(parseTarget(fields));
          case "connection" -> connections.add(parseConnection(fields));
          default -> {
            // Written by a newer program.
          }
        }
      }
    } catch (IndexOutOfBoundsException e) {
      throw new IllegalArgumentException("a line has too few fields", e);
    }
    if (Math.max(flowIds.size(), Math.max(targets.size(), connections.size())) > MAX_ITEMS) {
      throw new IllegalArgumentException("more than " + MAX_ITEMS + " items of one kind");
    }
    return new HandoverState(descriptorLimit, standby, flowIds, targets, connections);
  }

  private static TargetList.Entry parseTarget(String[] fields) {
    return new TargetList.Entry(
        fields[1],
        TargetList.address(fields[2]),
        fields[3],
        fields[4],
        Integer.parseInt(fields[5]),
        TargetList.Status.valueOf(fields[6]),
        Double.parseDouble(fields[7]),
        Long.parseLong(fields[8]));
  }

  private static EstablishedConnection parseConnection(String[] fields) {
    return new EstablishedConnection(
        Long.parseLong(fields[1]),
        fields[2],
        fields[3],
        fields[4].isEmpty() ? null : fields[4],
        fields[5].isEmpty() ? null : fields[5],
        Double.parseDouble(fields[6]),
        fields[7],
        Double.parseDouble(fields[8]));
  }
}
