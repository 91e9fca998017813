package brassbank.handover;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import brassbank.decide.EstablishedConnection;
import brassbank.decide.TargetList;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ImageTest {
  private static final List<EstablishedConnection> STANDING =
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

  private static final HandoverState HOLDING =
      new HandoverState(200, true, Set.of("9b1f"), List.of(TARGET), STANDING);

  private final byte[] bytes = Image.of(HOLDING);

  @Test
  void whatIsWrittenIsRead() {
    assertThat(Image.read(bytes)).isEqualTo(HOLDING);
    HandoverState none = new HandoverState(60, false, Set.of(), List.of(), List.of());
    assertThat(Image.read(Image.of(none))).isEqualTo(none);
  }

  @Test
  void nothingIsReadOfWhatWasCutOrDamagedAnywhere() {
    for (int at = 0; at < bytes.length; at++) {
      byte[] cut = Arrays.copyOf(bytes, at);
      assertThatThrownBy(() -> Image.read(cut))
          .as("cut at " + at)
          .isInstanceOf(IllegalArgumentException.class);
      byte[] damaged = bytes.clone();
      damaged[at] ^= 4;
      assertThatThrownBy(() -> Image.read(damaged))
          .as("damaged at " + at)
          .isInstanceOf(IllegalArgumentException.class);
    }
  }

  @Test
  void aNewerProgramMayTellMoreAndAnotherVersionIsNotRead() {
    String body =
        "descriptors\t200\tnews\nnews\t1\nconnection\t7\tkey-1\tpreview\tkelvin-stone\tg=1\t0.5\ts-1\t0.00125\tnews\n";
    java.util.zip.CRC32 sum = new java.util.zip.CRC32();
    sum.update(body.getBytes(StandardCharsets.ISO_8859_1));
    String rest = body.length() + " " + Long.toHexString(sum.getValue()) + "\n" + body;
    assertThat(Image.read(("brassbank-image 1 " + rest).getBytes(StandardCharsets.ISO_8859_1)))
        .isEqualTo(new HandoverState(200, false, Set.of(), List.of(), STANDING.subList(0, 1)));
    assertThatThrownBy(
            () -> Image.read(("brassbank-image 2 " + rest).getBytes(StandardCharsets.ISO_8859_1)))
        .hasMessage("not of this version");
  }
}
