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

/** What the build's archive step leaves behind when its training goes wrong in each way. */
class ArchiveTest {
  private static final byte[] OLD = {1, 2, 3};

  @TempDir Path dir;

  /** Writes so many bytes as the training process would; the trial of it ends as said. */
  private static Archive.Runner runner(int bytes, boolean trained, boolean starts) {
    return (command, mostMs) -> {
      String option = command.stream().filter(a -> a.contains("Archive")).findFirst().orElseThrow();
      if (!command.get(command.size() - 1).equals("train")) {
        assertTrue(command.contains("-Xshare:on"));
        return starts;
      }
      if (bytes >= 0) {
        Files.write(Path.of(option.substring(option.indexOf('=') + 1)), new byte[bytes]);
      }
      return trained;
    };
  }

  private String make(Archive.Runner runner) throws IOException {
    Files.write(dir.resolve("x.jsa"), OLD);
    return new Archive(runner, Path.of("x.jar"), dir.resolve("x.jsa")).make();
  }

  private void assertLeft(byte[] content) throws IOException {
    assertArrayEquals(content, Files.readAllBytes(dir.resolve("x.jsa")));
    try (Stream<Path> files = Files.list(dir)) {
      assertEquals(1, files.count(), "a part was left behind");
    }
  }

  @Test
  void aWholeOneTakesItsPlace() throws IOException {
    assertNull(make(runner(7, true, true)));
    assertLeft(new byte[7]);
  }

  @Test
  void nothingElseDoes() throws IOException {
    for (Archive.Runner bad :
        List.of(
            runner(7, false, true),
            runner(-1, true, true),
            runner(0, true, true),
            runner(7, true, false),
            (command, mostMs) -> {
              throw new IOException("no java here");
            })) {
      assertNotNull(make(bad));
      assertLeft(OLD);
    }
  }

  /** Two builds chose the same port: the second try has others. */
  @Test
  void trainingIsTriedTwice() throws IOException {
    int[] runs = new int[1];
    Archive.Runner good = runner(7, true, true);
    assertNull(make((command, mostMs) -> runs[0]++ > 0 && good.run(command, mostMs)));
    assertLeft(new byte[7]);
  }

  @Test
  void aProcessThatHangsIsEnded() throws Exception {
    long start = System.nanoTime();
    assertFalse(Archive.runProcess(List.of("sleep", "60"), 200));
    assertTrue(System.nanoTime() - start < 20_000_000_000L);
    assertTrue(Archive.runProcess(List.of("true"), 60_000));
  }
}
