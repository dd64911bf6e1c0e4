package fennelthread.cli;

import fennelthread.emulate.Emulation;
import fennelthread.settings.SettingsException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The command that runs real controllers on this machine against emulated workers, users, cloud and
 * state service. It refers to the emulation's classes only where it runs them, so that no other
 * command loads them.
 */
@Command(
    name = "emulate",
    mixinStandardHelpOptions = true,
    versionProvider = Version.class,
    description = {
      "Runs real controllers on this machine against emulated workers, users, cloud and state"
          + " service, checks the scheduler's rules and writes a report.",
      "Exit code 1 if a rule was broken, 2 if the run can't be started."
    })
final class Emulate implements Callable<Integer> {
  @Parameters(
      paramLabel = "RUN.sexp",
      description = "The configuration of the run, an S-expression.")
  private Path configuration;

  @Option(
      names = "--duration",
      paramLabel = "SECONDS",
      defaultValue = "60",
      description = "How long users submit jobs (default: ${DEFAULT-VALUE}).")
  private double durationS;

  @Option(
      names = "--seed",
      paramLabel = "N",
      defaultValue = "1",
      description = "The seed of all random choices (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Option(
      names = "--workers",
      paramLabel = "N",
      description = "Replaces the file's number of workers.")
  private Integer workers;

  @Option(
      names = "--faults",
      paramLabel = "FAULTS.sexp",
      description = "A file (faults (fault ...) ...) whose faults replace those of the run.")
  private Path faults;

  @Option(
      names = "--report",
      paramLabel = "FILE.json",
      defaultValue = "emulate-report.json",
      description =
          "The report's file; an HTML page is written beside it (default: ${DEFAULT-VALUE}).")
  private Path report;

  @Spec private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    if (durationS < 1 || durationS > 86_400) {
      throw new SettingsException("--duration must be from 1 to 86400");
    }
    if (workers != null && (workers < 1 || workers > 20_000)) {
      throw new SettingsException("--workers must be from 1 to 20000");
    }
    Path directory = report.toAbsolutePath().getParent();
    if (!directory.toFile().isDirectory()) {
      throw new SettingsException("--report: no such directory: " + directory);
    }
    return run(System.out);
  }

  private int run(PrintStream out) throws Exception {
    List<String> arguments = spec.commandLine().getParseResult().originalArgs();
    Emulation emulation =
        Emulation.prepare(
            new Emulation.Request(
                configuration,
                faults,
                workers,
                durationS,
                seed,
                report,
                "fennelthread " + String.join(" ", arguments)),
            out);
    Thread shutdownHook =
        new Thread(
            () -> {
              try {
                emulation.interrupt();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    return emulation.run() == 0 ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
  }
}
