package brassbank.handover;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import brassbank.decide.EstablishedConnection;
import brassbank.decide.TargetList;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;

class ImageCodecTest {
  private static final List<EstablishedConnection> CONNECTIONS =
      List.of(
          new EstablishedConnection(
              7, "key-1", "preview", "kelvin-stone", "g=1", 0.5, "s-1", 1.25e-3),
          new EstablishedConnection(8, "key-2", "presentation", null, null, 0, "s-2", Double.NaN));

  private static final TargetList.Entry TARGET =
      new TargetList.Entry(
          "s-1",
          TargetList.address("127.0.0.1:9"),
          "leith",
          "fast-box",
          3,
          TargetList.Status.DRAINING,
          1.5,
          12);

  private static final HandoverState STATE =
      new HandoverState(200, true, Set.of("9b1f"), List.of(TARGET), CONNECTIONS);

  private final byte[] bytes = ImageCodec.encode(STATE);

  @Test
  void decodesWhatItEncodes() {
    assertThat(ImageCodec.decode(bytes)).isEqualTo(STATE);
    HandoverState empty = new HandoverState(60, false, Set.of(), List.of(), List.of());
    assertThat(ImageCodec.decode(ImageCodec.encode(empty))).isEqualTo(empty);
  }

  @Test
  void rejectsAnImageThatIsTruncatedOrCorruptAtAnyByte() {
    for (int at = 0; at < bytes.length; at++) {
      byte[] truncated = Arrays.copyOf(bytes, at);
      assertThatThrownBy(() -> ImageCodec.decode(truncated))
          .as("truncated at " + at)
          .isInstanceOf(IllegalArgumentException.class);
      byte[] corrupt = bytes.clone();
      corrupt[at] ^= 4;
      assertThatThrownBy(() -> ImageCodec.decode(corrupt))
          .as("corrupt at " + at)
          .isInstanceOf(IllegalArgumentException.class);
    }
  }

  @Test
  void ignoresUnknownKindsAndFieldsAndRejectsAnotherVersion() {
    String body =
        "descriptors\t200\textra\nextra\t1\nconnection\t7\tkey-1\tpreview\tkelvin-stone\tg=1\t0.5\ts-1\t0.00125\textra\n";
    CRC32 crc = new CRC32();
    crc.update(body.getBytes(StandardCharsets.ISO_8859_1));
    String lengthChecksumAndBody =
        body.length() + " " + Long.toHexString(crc.getValue()) + "\n" + body;
    assertThat(
            ImageCodec.decode(
                ("brassbank-image 1 " + lengthChecksumAndBody)
                    .getBytes(StandardCharsets.ISO_8859_1)))
        .isEqualTo(new HandoverState(200, false, Set.of(), List.of(), CONNECTIONS.subList(0, 1)));
    assertThatThrownBy(
            () ->
                ImageCodec.decode(
                    ("brassbank-image 2 " + lengthChecksumAndBody)
                        .getBytes(StandardCharsets.ISO_8859_1)))
        .hasMessage("unsupported image version");
  }
}
