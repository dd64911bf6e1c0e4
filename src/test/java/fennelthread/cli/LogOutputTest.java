package fennelthread.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

class LogOutputTest {
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();

  private PrintStream streamAt(String... times) {
    Deque<Long> clock = new ArrayDeque<>();
    for (String time : times) {
      clock.add(Instant.parse(time).toEpochMilli());
    }
    return new PrintStream(
        new LogOutput(written, clock::remove, "node-0"), true, StandardCharsets.UTF_8);
  }

  private List<String> lines() {
    return written.toString(StandardCharsets.UTF_8).lines().toList();
  }

  @Test
  void eachLineStartsWithTimeAndController() {
    PrintStream stream = streamAt("2026-12-03T02:20:52.209Z", "2026-12-03T02:20:53.000Z");
    stream.println("first epoch=7");
    stream.println("second");
    assertEquals(
        List.of(
            "2026-12-03T02:20:52.209Z node-0 first epoch=7",
            "2026-12-03T02:20:53.000Z node-0 second"),
        lines());
  }

  @Test
  void aLineWrittenInPartsHasTheTimeOfItsStart() {
    PrintStream stream = streamAt("2024-02-29T23:59:59.999Z");
    stream.print("Zürich ");
    stream.flush();
    assertEquals(List.of(), lines());
    stream.println("done");
    assertEquals(List.of("2024-02-29T23:59:59.999Z node-0 Zürich done"), lines());
  }

  @Test
  void millisecondsHaveThreeDigits() {
    streamAt("2027-01-01T00:00:00.007Z").println("x");
    assertEquals(List.of("2027-01-01T00:00:00.007Z node-0 x"), lines());
  }
}
