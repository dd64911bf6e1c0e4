package fennelthread.cli;

import fennelthread.settings.SettingsException;
import java.nio.file.Path;
import java.util.Locale;
import picocli.CommandLine;

/** The entry point of the program; its first argument selects a command. */
public final class Main {
  /** The exit code for invalid arguments and settings. */
  static final int EXIT_USAGE = 2;

  private Main() {}

  /** Runs the command and exits with its code, unless it keeps running. */
  public static void main(String[] args) {
    configureLogging(System.getenv("LOG_LEVEL"));
    int code = run(args);
    if (code != Serve.KEEP_RUNNING) {
      System.exit(code);
    }
  }

  /** Runs a command and returns its exit code, or {@link Serve#KEEP_RUNNING}. */
  static int run(String... args) {
    if (args.length == 2 && args[0].equals("--config") && !args[1].startsWith("-")) {
      return serveWithoutParser(Path.of(args[1]));
    }
    CommandLine line = new CommandLine(new Serve());
    if (args.length == 0 || !args[0].equals(Train.NAME)) {
      // Left out of training, so that the class-data archive holds no classes of the emulation.
      line.addSubcommand(new Emulate());
    }
    line.setExecutionExceptionHandler(
        (e, commandLine, parseResult) -> {
          if (e instanceof SettingsException) {
            return reportInvalidInput(e);
          }
          throw e;
        });
    return line.execute(args);
  }

  /**
   * Serves with the arguments that deployments use, without picocli: the class-data archive can't
   * hold its classes because of their format, so that loading them takes a large part of a start.
   * After a simultaneous crash of all controllers, one must serve before the workers' leases
   * expire.
   */
  private static int serveWithoutParser(Path config) {
    try {
      return Serve.serve(new SettingsFiles(config));
    } catch (SettingsException e) {
      return reportInvalidInput(e);
    } catch (Exception e) {
      e.printStackTrace();
      return CommandLine.ExitCode.SOFTWARE;
    }
  }

  private static int reportInvalidInput(Exception e) {
    System.err.println(e.getMessage());
    return EXIT_USAGE;
  }

  /** Configures the logging backend; must run before the first logger is created. */
  private static void configureLogging(String level) {
    String effectiveLevel = level == null ? "info" : level.toLowerCase(Locale.ROOT);
    if (!effectiveLevel.equals("error")
        && !effectiveLevel.equals("info")
        && !effectiveLevel.equals("debug")) {
      System.err.println("LOG_LEVEL must be error, info or debug; using info");
      effectiveLevel = "info";
    }
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty("org.slf4j.simpleLogger.log.fennelthread", effectiveLevel);
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.levelInBrackets", "true");
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "false");
  }
}
