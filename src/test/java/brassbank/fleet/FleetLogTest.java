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
  private static final long SECOND = 1_000_000;
  private static final InetSocketAddress ADDRESS = new InetSocketAddress("10.0.0.1", 7_070);

  private final List<String> lines = new ArrayList<>();

  @AfterEach
  void loud() {
    Log.setThreadSink(null);
  }

  private static ViewChange change(int version) {
    Member member =
        new Member("n1", ADDRESS, "z", new Incarnation(7, 0), State.ALIVE, Activity.ACTIVE, 0);
    return new ViewChange(version, null, member);
  }

  /** A storm of a thousand changes is some lines and a count, and none of them is lost. */
  @Test
  void countsInAStormWhatItDoesNotTell() {
    Log.setThreadSink(event -> lines.add(event.name() + " " + event.fields()));
    FleetLog journal = new FleetLog();
    for (int i = 0; i < 1_000; i++) {
      journal.changed(SECOND + i, change(i));
    }
    assertThat(lines).hasSize(20);
    journal.changed(3 * SECOND, change(1_001));
    assertThat(lines).hasSize(22);
    assertThat(lines.get(20)).startsWith("members-changed").contains("980");
  }

  @Test
  void warnsOfWhatItDropsOnceInTenSeconds() {
    Log.setThreadSink(event -> lines.add(event.name() + " " + event.fields()));
    FleetLog journal = new FleetLog();
    for (int i = 0; i < 500; i++) {
      journal.refused(i * SECOND / 25, DropReason.FLEET, "another fleet's", ADDRESS);
    }
    assertThat(lines).hasSize(2);
    assertThat(lines.get(1)).contains("250");
  }
}
