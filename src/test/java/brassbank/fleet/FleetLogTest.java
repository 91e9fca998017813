package brassbank.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.log.Log;
import brassbank.membership.Activity;
import brassbank.membership.Incarnation;
import brassbank.membership.Member;
import brassbank.membership.State;
import brassbank.membership.ViewChange;
import brassbank.membership.wire.DropReason;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class FleetLogTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final InetSocketAddress ADDRESS = new InetSocketAddress("10.0.0.1", 7_070);

  private final List<String> entries = new ArrayList<>();

  @AfterEach
  void removeSink() {
    Log.setThreadSink(null);
  }

  private static ViewChange change(int version) {
    Member member =
        new Member("n1", ADDRESS, "z", new Incarnation(7, 0), State.ALIVE, Activity.ACTIVE, 0);
    return new ViewChange(version, null, member);
  }

  /** Of a thousand changes in one second 20 are logged; the others are counted in one entry. */
  @Test
  void countsChangesBeyondTheLimitPerSecond() {
    Log.setThreadSink(event -> entries.add(event.name() + " " + event.fields()));
    FleetLog fleetLog = new FleetLog();
    for (int i = 0; i < 1_000; i++) {
      fleetLog.memberChanged(SECOND_MICROS + i, change(i));
    }
    assertThat(entries).hasSize(20);
    fleetLog.memberChanged(3 * SECOND_MICROS, change(1_001));
    assertThat(entries).hasSize(22);
    assertThat(entries.get(20)).startsWith("members-changed").contains("980");
  }

  @Test
  void warnsOfDroppedDatagramsOncePerTenSeconds() {
    Log.setThreadSink(event -> entries.add(event.name() + " " + event.fields()));
    FleetLog fleetLog = new FleetLog();
    for (int i = 0; i < 500; i++) {
      fleetLog.datagramDropped(
          i * SECOND_MICROS / 25, DropReason.FLEET, "identifier of another fleet", ADDRESS);
    }
    assertThat(entries).hasSize(2);
    assertThat(entries.get(1)).contains("250");
  }
}
