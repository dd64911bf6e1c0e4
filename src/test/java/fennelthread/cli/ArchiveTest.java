package fennelthread.cli;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A failure in any step of creating the archive must leave the old archive and no other file. */
class ArchiveTest {
  private static final byte[] OLD = {1, 2, 3};

  @TempDir Path dir;

  /**
   * Returns a runner that starts no process: training writes {@code archiveBytes} bytes, or no file
   * if negative.
   */
  private static Archive.Runner runner(
      int archiveBytes, boolean trainingSucceeds, boolean testStartSucceeds) {
    return (command, timeoutMs) -> {
      String option = command.stream().filter(a -> a.contains("Archive")).findFirst().orElseThrow();
      if (!command.get(command.size() - 1).equals("train")) {
        assertTrue(command.contains("-Xshare:on"));
        return testStartSucceeds;
      }
      if (archiveBytes >= 0) {
        Files.write(Path.of(option.substring(option.indexOf('=') + 1)), new byte[archiveBytes]);
      }
      return trainingSucceeds;
    };
  }

  private String create(Archive.Runner runner) throws IOException {
    Files.write(dir.resolve("x.jsa"), OLD);
    return new Archive(runner, Path.of("x.jar"), dir.resolve("x.jsa")).create();
  }

  private void assertOnlyArchiveWith(byte[] content) throws IOException {
    assertArrayEquals(content, Files.readAllBytes(dir.resolve("x.jsa")));
    try (Stream<Path> files = Files.list(dir)) {
      assertEquals(1, files.count(), "a temporary file was left behind");
    }
  }

  @Test
  void aCompleteArchiveReplacesTheOldOne() throws IOException {
    assertNull(create(runner(7, true, true)));
    assertOnlyArchiveWith(new byte[7]);
  }

  @Test
  void anyFailureKeepsTheOldArchive() throws IOException {
    for (Archive.Runner failing :
        List.of(
            runner(7, false, true),
            runner(-1, true, true),
            runner(0, true, true),
            runner(7, true, false),
            (command, timeoutMs) -> {
              throw new IOException("no java here");
            })) {
      assertNotNull(create(failing));
      assertOnlyArchiveWith(OLD);
    }
  }

  /** Training fails if another build takes its port; the second run chooses other ports. */
  @Test
  void failedTrainingIsRunAgain() throws IOException {
    int[] runs = new int[1];
    Archive.Runner good = runner(7, true, true);
    assertNull(create((command, timeoutMs) -> runs[0]++ > 0 && good.run(command, timeoutMs)));
    assertOnlyArchiveWith(new byte[7]);
  }

  @Test
  void aHangingProcessIsKilledAtItsTimeout() throws Exception {
    long start = System.nanoTime();
    assertFalse(Archive.runProcess(List.of("sleep", "60"), 200));
    assertTrue(System.nanoTime() - start < 20_000_000_000L);
    assertTrue(Archive.runProcess(List.of("true"), 60_000));
  }
}
