package ashspar.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashspar.Policy;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the adapter with transcripts of the protocol. */
class WireHostTest {
  static final String ATTACH =
      " salt=5 rank=0 balancers=1 zone=z1 failure-domains=z1 profiles.count=1 profiles.0.name=view"
          + " profiles.0.aim=300000 profiles.0.give-up=1800000 profiles.0.effect=free"
          + " profiles.0.group=all allowed.probes=false allowed.send-cap=3 resolution=2000"
          + " safety.answer-slack=8000 safety.drain-grace=500000 report.source=none";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(WireHost.Factory factory, String... lines) throws IOException {
    String input = String.join("\n", lines) + "\n";
    return new WireHost(factory)
        .run(new BufferedReader(new StringReader(input)), out, new PrintStream(err, true));
  }

  private String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String err() {
    return err.toString(StandardCharsets.UTF_8);
  }

  @Test
  void answersEmptyBatchesWithTheirSerial() throws IOException {
    assertEquals(
        0, run(Policy::new, "BATCH wall=1 serial=1", "FLUSH", "BATCH wall=2 serial=2", "FLUSH"));
    assertEquals("READY serial=1\nREADY serial=2\n", out());
  }

  @Test
  void requestGoesToTheListedServerAndIsForgottenAfterARestart() throws IOException {
    assertEquals(
        0,
        run(
            Policy::new,
            "BATCH wall=1000 serial=1",
            "ATTACH node=3" + ATTACH,
            "BACKENDS_CHANGED node=3 form=2 version=1 elements=1",
            "M host=10.0.0.1:9000 zone=z1 family-type=k group=0 lifecycle=1 size=1",
            "FLUSH",
            "BATCH wall=3000 serial=2",
            "JOB_IN node=3 msg-id=77 lane=view left=1800000 flags=0",
            "FLUSH",
            "BATCH wall=5000 serial=3",
            "DOWN node=3",
            "ATTACH node=3" + ATTACH,
            "BACKENDS_CHANGED node=3 form=2 version=1 elements=0",
            "JOB_IN node=3 msg-id=78 lane=view left=1800000 flags=0",
            "FLUSH"));
    assertTrue(out().contains("DELIVER node=3 msg-id=77 host=10.0.0.1:9000"), out());
    assertTrue(
        !out().contains("msg-id=78"), "the request waits while no server is known: " + out());
  }

  @Test
  void errorForMalformedInputNamesLineAndField() throws IOException {
    assertEquals(1, run(Policy::new, "BATCH wall=x serial=1"));
    assertEquals("wirehost: line 1: field 'wall' is not a whole number: 'x'\n", err());
  }

  @Test
  void unknownEventEndsTheAdapter() throws IOException {
    assertEquals(1, run(Policy::new, "BATCH wall=1 serial=1", "HELLO node=1", "FLUSH"));
    assertTrue(err().contains("line 2: unknown event 'HELLO'"), err());
  }

  @Test
  void errorForAMissingFieldNamesIt() throws IOException {
    assertEquals(1, run(Policy::new, "BATCH wall=1 serial=1", "LAPSED node=1", "FLUSH"));
    assertTrue(err().contains("line 2: field 'msg-id' is missing"), err());
  }

  @Test
  void exceptionInTheModuleIsReportedForItsNodeOnly() throws IOException {
    assertEquals(
        0,
        run(
            Policy::new,
            "BATCH wall=1000 serial=1",
            "ATTACH node=3" + ATTACH,
            "ATTACH node=4" + ATTACH,
            "JOB_IN node=3 msg-id=77 lane=nosuch left=1800000 flags=0",
            "LAPSED node=3 msg-id=1",
            "LAPSED node=4 msg-id=1",
            "FLUSH"));
    assertTrue(out().contains("INTERNAL_ERROR node=3 reason-text="), out());
    assertTrue(out().contains("unknown class 'nosuch'"), out());
    assertTrue(!out().contains("INTERNAL_ERROR node=4"), out());
  }

  @Test
  void nullQuotaIsReadAsUnknown() throws IOException {
    assertEquals(
        0,
        run(
            Policy::new,
            "BATCH wall=1000 serial=1",
            "ATTACH node=3"
                + ATTACH
                + " realms.count=1 realms.0.name=t extra.tenant-quota-connections=null",
            "FLUSH"));
  }
}
