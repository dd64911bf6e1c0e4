package fennelthread.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The build's last step: trains the class-data archive in a process of its own. The archive only
 * makes starts cheap, so nothing that goes wrong here may cost the build: a training that failed
 * because ten builds shared one machine once took the whole build with it, and the service could
 * not be started. It appears whole or not at all: it is written beside its place, a start with it
 * is tried, and only then is it moved there.
 */
public final class Archive {
  /** Longest time for one attempt at training, ms: it takes 2 s where nothing else runs. */
  private static final long TRAINING_MS = 60_000;

  /** Longest time for the trial of a new archive, ms. */
  private static final long TRIAL_MS = 20_000;

  /** How often training is tried: the ports that it chose may be taken before it listens. */
  private static final int TRIES = 2;

  /** Runs a command for at most so long, ms: true if it ended by itself, with 0. */
  @FunctionalInterface
  interface Runner {
    boolean run(List<String> command, long mostMs) throws IOException, InterruptedException;
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
   * Makes the archive ARGS[1] of the jar ARGS[0]; never fails, and says in one line if it made
   * none.
   */
  public static void main(String[] args) {
    String failure;
    try {
      failure = new Archive(Archive::runProcess, Path.of(args[0]), Path.of(args[1])).make();
    } catch (RuntimeException | Error e) {
      failure = e.toString();
    }
    if (failure != null) {
      System.err.println("no class-data archive was made, starts will be slower: " + failure);
    }
  }

  /** Makes it; null, or why there is none that is new. */
  String make() {
    Path part = null;
    try {
      // Beside its place, so that the move can't be half done; no other build's part has this name.
      part = Files.createTempFile(archive.toAbsolutePath().getParent(), "archive", ".part");
      String failure = "training was not tried";
      for (int i = 0; i < TRIES && failure != null; i++) {
        failure = train(part);
      }
      if (failure != null) {
        return failure;
      }
      Files.move(
          part, archive, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      return null;
    } catch (IOException e) {
      return e.toString();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "interrupted";
    } finally {
      delete(part);
    }
  }

  private String train(Path part) throws IOException, InterruptedException {
    Files.deleteIfExists(part);
    if (!runner.run(java("-XX:ArchiveClassesAtExit=" + part, "train"), TRAINING_MS)) {
      return "training failed or took longer than " + TRAINING_MS / 1000 + " s";
    }
    if (!Files.isRegularFile(part) || Files.size(part) == 0) {
      return "training left none";
    }
    // A full disk leaves half a file. With these options a start fails if anything is wrong with
    // it.
    List<String> trial = java("-XX:SharedArchiveFile=" + part, "--version");
    trial.addAll(1, List.of("-Xshare:on", "-XX:+VerifySharedSpaces"));
    return runner.run(trial, TRIAL_MS) ? null : "a start with the new one failed";
  }

  private List<String> java(String option, String command) {
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

  private static void delete(Path part) {
    try {
      if (part != null) {
        Files.deleteIfExists(part);
      }
    } catch (IOException e) {
      System.err.println("left behind: " + part);
    }
  }

  /** Runs a process without a word from it; one that takes too long is ended. */
  static boolean runProcess(List<String> command, long mostMs)
      throws IOException, InterruptedException {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("LOG_LEVEL", "error");
    builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    builder.redirectError(ProcessBuilder.Redirect.DISCARD);
    Process process = builder.start();
    try {
      process.getOutputStream().close();
      return process.waitFor(mostMs, TimeUnit.MILLISECONDS) && process.exitValue() == 0;
    } finally {
      process.destroyForcibly();
    }
  }
}
