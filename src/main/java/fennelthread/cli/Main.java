package fennelthread.cli;

import fennelthread.settings.SettingsException;
import java.nio.file.Path;
import java.util.Locale;
import picocli.CommandLine;

/** The command line. */
public final class Main {
  /** The exit code for wrong arguments and settings. */
  static final int EXIT_USAGE = 2;

  private Main() {}

  /** Starts the program. */
  public static void main(String[] args) {
    configureLogging(System.getenv("LOG_LEVEL"));
    int code = run(args);
    if (code != Serve.KEEP_RUNNING) {
      System.exit(code);
    }
  }

  /** Runs a command: its exit code, or {@link Serve#KEEP_RUNNING}. */
  static int run(String... args) {
    if (args.length == 2 && args[0].equals("--config") && !args[1].startsWith("-")) {
      return serveAtOnce(Path.of(args[1]));
    }
    CommandLine line = new CommandLine(new Serve());
    if (args.length == 0 || !args[0].equals(Train.NAME)) {
      // Not where classes are collected for the archive: no controller ever needs it.
      line.addSubcommand(new Emulate());
    }
    line.setExecutionExceptionHandler(
        (e, commandLine, parsed) -> {
          if (e instanceof SettingsException) {
            return refuse(e);
          }
          throw e;
        });
    return line.execute(args);
  }

  /**
   * The form in which deployments start controllers, without picocli: its classes are in a format
   * that the class-data archive can't hold and take a good part of a start. When all controllers
   * crash together, the workers' leases leave no time for that.
   */
  private static int serveAtOnce(Path config) {
    try {
      return Serve.serve(new SettingsFiles(config));
    } catch (SettingsException e) {
      return refuse(e);
    } catch (Exception e) {
      e.printStackTrace();
      return CommandLine.ExitCode.SOFTWARE;
    }
  }

  private static int refuse(Exception e) {
    System.err.println(e.getMessage());
    return EXIT_USAGE;
  }

  /** Must run before the first logger is made. */
  private static void configureLogging(String level) {
    String wanted = level == null ? "info" : level.toLowerCase(Locale.ROOT);
    if (!wanted.equals("error") && !wanted.equals("info") && !wanted.equals("debug")) {
      System.err.println("LOG_LEVEL must be error, info or debug; info is taken");
      wanted = "info";
    }
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty("org.slf4j.simpleLogger.log.fennelthread", wanted);
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.levelInBrackets", "true");
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "false");
  }
}
