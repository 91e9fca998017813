package brassbank.relay.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The sum of docs/limits.md, "The memory of a process". */
class QueueMemoryTest {
  private static final long KIB = 1024;
  private static final long MIB = 1024 * KIB;

  /** What the program needs without sessions. */
  private static final long PROGRAM_BYTES = 2 * MIB;

  /** What an idle session needs. */
  private static final long SESSION_BYTES = 5 * KIB;

  /** What is leased beyond the limit before sessions are ended, and copies while a block grows. */
  private static final long TRANSIENT_BYTES = 512 * KIB;

  /** deploy/serve.sh takes no more than this of the platform's memory limit. */
  private static final long MAX_MEMORY_MIB = 192;

  /** Guards against a heap that the sessions and what waits for them can exceed. */
  @ParameterizedTest
  @CsvSource({"32, 1024", "48, 1024", "64, 1024", "192, 1024", "2048, 4096"})
  void sessionsAndWhatWaitsForThemFitIntoTheHeap(long memoryMib, long sockets) {
    long heap = Math.min(memoryMib, MAX_MEMORY_MIB) / 3 * MIB;
    long limit = QueueMemory.ofHeap(heap).limitBytes();
    long retainedForReuse = limit / 2;
    long sessions = sockets / 2 * SESSION_BYTES;
    assertThat(PROGRAM_BYTES + sessions + limit + retainedForReuse + TRANSIENT_BYTES)
        .isLessThan(heap);
  }

  @Test
  void readsOneLineAtATimeWhileMemoryIsShort() {
    QueueMemory memory = new QueueMemory(4 * MIB);
    assertThat(memory.isShort(MIB)).isFalse();
    assertThat(memory.readQuotaBytes(32 * 1024, MIB)).isEqualTo(32 * 1024);
    assertThat(memory.isShort(MIB + 1)).isTrue();
    assertThat(memory.readQuotaBytes(32 * 1024, MIB + 1)).isEqualTo(4 * 1024);
    assertThat(memory.readQuotaBytes(1024, MIB + 1)).isEqualTo(1024);
    assertThat(memory.excessBytes(4 * MIB)).isZero();
    assertThat(memory.excessBytes(4 * MIB + 7)).isEqualTo(7);
  }
}
