package brassbank.log;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.sources.Clock;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ConsoleTest {
  private static final String HOSTILE =
      "a\r\nb\t\u0000\u001b[2J\u007f\u009b\u00e9\u2028\u202e\ud83d\"\\ event=x ',}";

  private final ByteArrayOutputStream written = new ByteArrayOutputStream();
  private long millis;
  private final Clock clock =
      new Clock() {
        @Override
        public long nanos() {
          return millis * 1_000_000;
        }

        @Override
        public long unixMillis() {
          return millis;
        }
      };

  @AfterEach
  void restoreDefaultSink() {
    Log.setThreadSink(null);
  }

  private Log log(Format format) {
    Log.setThreadSink(new Console(new PrintStream(written, true), format, clock));
    return Log.of("part");
  }

  private List<String> lines() {
    String text = written.toString();
    assertThat(text).matches("([ -~]+\n)*");
    return text.lines().toList();
  }

  @Test
  void writesATextLineWithQuotedValues() {
    log(Format.TEXT)
        .warn(
            "answer-bad",
            Field.flow(7),
            Field.target("s-1"),
            Field.value("line", "no \"way\"\n"),
            Field.value("none", ""));
    assertThat(lines())
        .containsExactly(
            "1970-01-01T00:00:00.000Z warn part: answer-bad flow=7 target=s-1"
                + " line=\"no \\\"way\\\"\\u000a\" none=\"\"");
  }

  @Test
  void writesJsonThatParsesToTheLoggedValues() {
    millis = 1_796_125_836_936L;
    log(Format.JSON)
        .error(
            "task-failed",
            new IllegalStateException(HOSTILE),
            Field.flow(1L << 60),
            Field.value("truth", true),
            Field.value("share", 0.25),
            Field.value("wild", Double.NaN),
            Field.value("line", HOSTILE));
    JsonObject line = JsonParser.parseString(lines().get(0)).getAsJsonObject();
    assertThat(line.keySet())
        .containsExactly(
            "time",
            "level",
            "component",
            "event",
            "flow",
            "truth",
            "share",
            "wild",
            "line",
            "cause");
    assertThat(line.get("time").getAsString()).isEqualTo("2026-12-01T11:50:36.936Z");
    assertThat(line.get("level").getAsString()).isEqualTo("error");
    assertThat(line.get("flow").getAsLong()).isEqualTo(1L << 60);
    assertThat(line.get("truth").getAsBoolean()).isTrue();
    assertThat(line.get("share").getAsDouble()).isEqualTo(0.25);
    assertThat(line.get("wild").getAsString()).isEqualTo("NaN");
    assertThat(line.get("line").getAsString()).isEqualTo(HOSTILE);
    assertThat(line.get("cause").getAsString())
        .startsWith("java.lang.IllegalStateException: " + HOSTILE + " < brassbank.log");
  }

  @ParameterizedTest
  @EnumSource
  void limitsTextOfAPeerToOneShortLine(Format format) {
    log(format).warn("answer-bad", Field.value("line", HOSTILE + "x".repeat(4096)));
    assertThat(lines()).singleElement().asString().hasSizeLessThan(800).contains("xxx...");
  }

  @Test
  void doesNotOmitWarningsBecauseOfInformationLines() {
    Log log = log(Format.TEXT);
    for (int second = 0; second < 2; second++) {
      for (int i = 0; i < 100; i++) {
        log.info("chatter");
      }
      for (int i = 0; i < 14; i++) {
        log.warn("warned");
      }
      for (int i = 0; i < 5; i++) {
        log.error("failed", new IllegalStateException());
      }
      millis += 1000;
    }
    assertThat(lines()).filteredOn(line -> line.contains("warned")).hasSize(28);
    assertThat(lines()).filteredOn(line -> line.contains("failed")).hasSize(10);
    assertThat(lines()).filteredOn(line -> line.contains("chatter")).hasSize(30 + 29);
    assertThat(lines().get(49)).endsWith("log: lines-left-out info=70 warn=0 error=0");
  }

  @Test
  void limitsWarningsAndErrorsTooAndCountsTheOmittedOnes() {
    Log log = log(Format.TEXT);
    for (int i = 0; i < 100; i++) {
      log.warn("warned");
    }
    for (int i = 0; i < 100; i++) {
      log.error("failed", new IllegalStateException());
    }
    assertThat(lines()).hasSize(50).filteredOn(line -> line.contains("warned")).hasSize(45);
    millis += 1000;
    log.info("chatter");
    assertThat(lines().get(50)).endsWith("lines-left-out info=0 warn=55 error=95");
  }

  @Test
  void writesLinesOfLibraries() {
    Console console = new Console(new PrintStream(written, true), Format.TEXT, clock);
    LogRecord record = new LogRecord(java.util.logging.Level.SEVERE, "GRIZZLY0013: x\ny");
    record.setLoggerName("org.glassfish.grizzly");
    console.publish(record);
    assertThat(lines())
        .containsExactly(
            "1970-01-01T00:00:00.000Z error library: library-line logger=org.glassfish.grizzly"
                + " text=\"GRIZZLY0013: x\\u000ay\"");
  }

  @Test
  void sendsEventsOfAThreadToItsSink() {
    List<Event> events = new ArrayList<>();
    Log.setThreadSink(events::add);
    Log.of("part").info("serving", Field.target("s-1"));
    assertThat(events)
        .containsExactly(
            new Event(Level.INFO, "part", "serving", List.of(Field.target("s-1")), null));
  }
}
