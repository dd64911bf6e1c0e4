package fennelthread.emulate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A small run with real processes and sockets: 50 workers, 10 s, the leader killed once. */
class EmulateTest {
  private static final String RUN =
      """
      (emulation
        (zones north south)
        (workers 50)
        (worker-heap-mb 128)
        (spare-machines 5)
        (boot-s 0.5)
        (machine-type (name standard) (cpus 16) (mem-gb 64) (fetch-gb-per-s 2) (spot-share 0.2))
        (timing (report-s 1) (lease-s 10) (cancel-s 30))
        (state (rps 500) (write-rps 300))
        (team (name red) (limit 0.5))
        (team (name blue) (guarantee 0.4) (limit 0.5))
        (job-class (name quick) (teams red blue) (priority urgent) (tasks 1 4) (task-s 1 3))
        (job-class (name batch) (teams red blue) (tasks 4 20) (task-s 2 5) (share 3)
                   (cancel-share 0.1))
        (job-class (name front) (teams blue) (kind service) (priority critical) (share 0.1)
                   (tasks 2 2) (task-s 4 8) (spot no) (apart yes))
        (load (starts-per-s 60))
        (fault (kind kill-controller) (at-s 3) (controller leader) (for-s 1)))
      """;

  @Test
  @Timeout(120)
  void runsSurviveTheLeadersEnd(@TempDir Path directory) throws Exception {
    Path configuration = Files.writeString(directory.resolve("run.sexp"), RUN);
    Path file = directory.resolve("report.json");
    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    Emulation emulation =
        Emulation.prepare(
            new Emulation.Request(configuration, null, null, 10, 1, file, "test"),
            new PrintStream(printed, true, StandardCharsets.UTF_8));

    int broken = emulation.run();

    String text = printed.toString(StandardCharsets.UTF_8);
    JsonNode report = new ObjectMapper().readTree(file.toFile());
    assertEquals(0, broken, text + report.path("verdict"));
    assertTrue(report.at("/starts/total").asLong() > 50, text);
    assertEquals(1, report.path("faults").size(), text);
    JsonNode series = report.path("series");
    assertTrue(series.get(series.size() - 1).path("epoch").asLong() > 1, text);
    assertTrue(report.at("/verdict/finalQuestions").asInt() > 0, text);
    assertEquals(
        report.at("/verdict/finalQuestions").asInt(),
        report.at("/verdict/finalAnswers").asInt(),
        text);
    assertTrue(Files.readString(directory.resolve("report.html")).contains("data:image/png"));
  }
}
