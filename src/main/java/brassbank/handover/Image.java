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
 * The form in which a process tells its successor what it holds: one line of text for each thing,
 * by its kind, after one with the form's version, the length of what follows and a checksum of it.
 * Lines of other kinds and further fields, which a newer program may have, are passed over; a form
 * of another version is not read. No I/O.
 */
final class Image {
  /** A bound for the successor's memory; more connections than that no process has descriptors. */
  static final int MOST_CONNECTIONS = 16_384;

  static final int MOST_BYTES = 4 << 20;

  private static final String HEADER = "brassbank-image 1 ";

  private Image() {}

  static byte[] of(HandoverState holding) {
    StringBuilder body = new StringBuilder();
    line(body, "descriptors", holding.descriptorLimit());
    line(body, "standby", holding.standby());
    holding.flowIds().stream().limit(MOST_CONNECTIONS).forEach(id -> line(body, "id", id));
    for (TargetList.Entry entry : holding.targets()) {
      line(
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
    holding.connections().stream()
        .limit(MOST_CONNECTIONS)
        .forEach(
            one ->
                line(
                    body,
                    "connection",
                    one.id(),
                    one.key(),
                    one.flowClass(),
                    one.tenant() == null ? "" : one.tenant(),
                    one.group() == null ? "" : one.group(),
                    one.loadHint(),
                    one.target(),
                    one.load()));
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    String first = HEADER + bytes.length + " " + Long.toHexString(sum(bytes, 0)) + "\n";
    byte[] header = first.getBytes(StandardCharsets.ISO_8859_1);
    byte[] whole = new byte[header.length + bytes.length];
    System.arraycopy(header, 0, whole, 0, header.length);
    System.arraycopy(bytes, 0, whole, header.length, bytes.length);
    return whole;
  }

  /** One line; a value that would break it is told without what breaks it. */
  private static void line(StringBuilder into, String kind, Object... values) {
    into.append(kind);
    for (Object value : values) {
      into.append('\t').append(value.toString().replaceAll("\\p{Cntrl}", "?"));
    }
    into.append('\n');
  }

  private static long sum(byte[] bytes, int from) {
    CRC32 sum = new CRC32();
    sum.update(bytes, from, bytes.length - from);
    return sum.getValue();
  }

  /** What such bytes say; throws IllegalArgumentException where they are damaged or foreign. */
  static HandoverState read(byte[] bytes) {
    int end = 0;
    while (end < bytes.length && bytes[end] != '\n') {
      end++;
    }
    String first = new String(bytes, 0, Math.min(end, 80), StandardCharsets.ISO_8859_1);
    if (!first.startsWith(HEADER)) {
      throw new IllegalArgumentException("not of this version");
    }
    int from = end + 1;
    String sums =
        (bytes.length - from) + " " + Long.toHexString(from > bytes.length ? 0 : sum(bytes, from));
    if (from > bytes.length || !first.substring(HEADER.length()).equals(sums)) {
      throw new IllegalArgumentException("damaged");
    }
    String body = new String(bytes, from, bytes.length - from, StandardCharsets.UTF_8);
    int descriptors = 0;
    boolean standby = false;
    Set<String> ids = new LinkedHashSet<>();
    List<TargetList.Entry> targets = new ArrayList<>();
    List<EstablishedConnection> standing = new ArrayList<>();
    try {
      for (String line : body.lines().toList()) {
        String[] fields = line.split("\t", -1);
        switch (fields[0]) {
          case "descriptors" -> descriptors = Integer.parseInt(fields[1]);
          case "standby" -> standby = Boolean.parseBoolean(fields[1]);
          case "id" -> ids.add(fields[1]);
          case "target" -> targets.add(target(fields));
          case "connection" -> standing.add(connection(fields));
          default -> {
            // A newer program tells more.
          }
        }
      }
    } catch (IndexOutOfBoundsException e) {
      throw new IllegalArgumentException("a line has too few fields", e);
    }
    if (Math.max(ids.size(), Math.max(targets.size(), standing.size())) > MOST_CONNECTIONS) {
      throw new IllegalArgumentException("too many lines");
    }
    return new HandoverState(descriptors, standby, ids, targets, standing);
  }

  private static TargetList.Entry target(String[] fields) {
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

  private static EstablishedConnection connection(String[] fields) {
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
