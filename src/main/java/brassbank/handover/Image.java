package brassbank.handover;

import brassbank.decide.Standing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The form in which a process tells its successor what it holds: one line of text for each
 * connection, after one with the form's version, the length of what follows and a checksum of it,
 * and one with the number of descriptors. A line of a newer program may have more fields at its
 * end, which are passed over; a form of another version is not read. No I/O.
 */
final class Image {
  /** A bound for the successor's memory; more connections than that no process has descriptors. */
  static final int MOST_CONNECTIONS = 16_384;

  static final int MOST_BYTES = 4 << 20;

  private static final String HEADER = "brassbank-image 1 ";
  private static final int FIELDS = 8;

  private Image() {}

  static byte[] of(Holding holding) {
    StringBuilder body = new StringBuilder();
    List<Standing> standing = holding.standing();
    body.append(holding.descriptors()).append('\n');
    for (Standing one : standing.subList(0, Math.min(standing.size(), MOST_CONNECTIONS))) {
      body.append(one.id()).append('\t');
      body.append(one.key()).append('\t');
      body.append(one.flowClass()).append('\t');
      body.append(one.tenant() == null ? "" : one.tenant()).append('\t');
      body.append(one.group() == null ? "" : one.group()).append('\t');
      body.append(one.hint()).append('\t');
      body.append(one.target()).append('\t');
      body.append(one.load()).append('\n');
    }
    byte[] bytes = body.toString().getBytes(StandardCharsets.ISO_8859_1);
    String first = HEADER + bytes.length + " " + Long.toHexString(sum(bytes, 0)) + "\n";
    byte[] header = first.getBytes(StandardCharsets.ISO_8859_1);
    byte[] whole = new byte[header.length + bytes.length];
    System.arraycopy(header, 0, whole, 0, header.length);
    System.arraycopy(bytes, 0, whole, header.length, bytes.length);
    return whole;
  }

  private static long sum(byte[] bytes, int from) {
    CRC32 sum = new CRC32();
    sum.update(bytes, from, bytes.length - from);
    return sum.getValue();
  }

  /** What such bytes say; throws IllegalArgumentException where they are damaged or foreign. */
  static Holding read(byte[] bytes) {
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
    String body = new String(bytes, from, bytes.length - from, StandardCharsets.ISO_8859_1);
    List<Standing> standing = new ArrayList<>();
    List<String> lines = body.lines().toList();
    if (lines.isEmpty()) {
      throw new IllegalArgumentException("no number of descriptors");
    }
    int descriptors = Integer.parseInt(lines.get(0).split("\t", -1)[0]);
    for (String line : lines.subList(1, lines.size())) {
      String[] fields = line.split("\t", -1);
      if (fields.length < FIELDS || standing.size() == MOST_CONNECTIONS) {
        throw new IllegalArgumentException(
            "a line has too few fields, or there are too many lines");
      }
      standing.add(
          new Standing(
              Long.parseLong(fields[0]),
              fields[1],
              fields[2],
              fields[3].isEmpty() ? null : fields[3],
              fields[4].isEmpty() ? null : fields[4],
              Double.parseDouble(fields[5]),
              fields[6],
              Double.parseDouble(fields[7])));
    }
    return new Holding(descriptors, standing);
  }
}
