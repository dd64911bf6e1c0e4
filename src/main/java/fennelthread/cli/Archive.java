package fennelthread.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The last step of the build: creates the class-data sharing (CDS) archive in a separate process.
 * The archive only makes starts faster, so a failure here must not fail the build: training can
 * fail when ten builds share one machine, and without a build the service can't be started. The
 * archive is replaced atomically: it is written to a temporary file in the same directory, a start
 * with it is tested, and only then is it moved into place.
 */
public final class Archive {
  /** Timeout of one training run, ms: it takes 2 s on an idle machine. */
  private static final long TRAINING_TIMEOUT_MS = 60_000;

  /** Timeout of the test start with a new archive, ms. */
  private static final long TEST_START_TIMEOUT_MS = 20_000;

  /** Most training runs: the free ports that one chose may be taken before it listens on them. */
  private static final int MAX_TRAINING_RUNS = 2;

  /** Runs a command; returns true if it exited with code 0 within {@code timeoutMs}. */
  @FunctionalInterface
  interface Runner {
    boolean run(List<String> command, long timeoutMs) throws IOException, InterruptedException;
  }

  private final Runner runner;
  private final Path jar;
  private final Path archive;

  Archive(Runner runner, Path jar, Path archive) {
    this.runner = runner;
    this.jar = jar;
    this.archive = archive;
  }

  /**
   * Creates an archive; a failure is reported in one line on standard error and does not change the
   * exit code.
   *
   * @param args the path of the jar and the path of the archive
   */
  public static void main(String[] args) {
    String failure;
    try {
      failure = new Archive(Archive::runProcess, Path.of(args[0]), Path.of(args[1])).create();
    } catch (RuntimeException | Error e) {
      failure = e.toString();
    }
    if (failure != null) {
      System.err.println("no class-data archive was created, starts will be slower: " + failure);
    }
  }

  /** Creates the archive; returns null, or the reason why it was not replaced. */
  String create() {
    Path tempFile = null;
    try {
      // In the same directory, so that the move is atomic; the unique name avoids other builds'
      // files.
      tempFile = Files.createTempFile(archive.toAbsolutePath().getParent(), "archive", ".part");
      String failure = "training was not run";
      for (int i = 0; i < MAX_TRAINING_RUNS && failure != null; i++) {
        failure = train(tempFile);
      }
      if (failure != null) {
        return failure;
      }
      Files.move(
          tempFile, archive, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      return null;
    } catch (IOException e) {
      return e.toString();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "interrupted";
    } finally {
      deleteTempFile(tempFile);
    }
  }

  private String train(Path tempFile) throws IOException, InterruptedException {
    Files.deleteIfExists(tempFile);
    if (!runner.run(
        javaCommand("-XX:ArchiveClassesAtExit=" + tempFile, "train"), TRAINING_TIMEOUT_MS)) {
      return "training failed or took longer than " + TRAINING_TIMEOUT_MS / 1000 + " s";
    }
    if (!Files.isRegularFile(tempFile) || Files.size(tempFile) == 0) {
      return "training created no archive";
    }
    // A full disk truncates the archive. With these options a start fails if it is damaged.
    List<String> testStart = javaCommand("-XX:SharedArchiveFile=" + tempFile, "--version");
    testStart.addAll(1, List.of("-Xshare:on", "-XX:+VerifySharedSpaces"));
    return runner.run(testStart, TEST_START_TIMEOUT_MS)
        ? null
        : "a test start with the new archive failed";
  }

  private List<String> javaCommand(String option, String command) {
    return new ArrayList<>(
        List.of(
            "java",
            option,
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xlog:disable",
            "-jar",
            jar.toString(),
            command));
  }

  private static void deleteTempFile(Path tempFile) {
    try {
      if (tempFile != null) {
        Files.deleteIfExists(tempFile);
      }
    } catch (IOException e) {
      System.err.println("temporary file could not be deleted: " + tempFile);
    }
  }

  /** Runs a process and discards its output; kills it if it exceeds the timeout. */
  static boolean runProcess(List<String> command, long timeoutMs)
      throws IOException, InterruptedException {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("LOG_LEVEL", "error");
    builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    builder.redirectError(ProcessBuilder.Redirect.DISCARD);
    Process process = builder.start();
    try {
      process.getOutputStream().close();
      return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS) && process.exitValue() == 0;
    } finally {
      process.destroyForcibly();
    }
  }
}
