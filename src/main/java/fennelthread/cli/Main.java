package fennelthread.cli;

import fennelthread.settings.SettingsException;
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
    CommandLine line = new CommandLine(new Serve());
    line.setExecutionExceptionHandler(
        (e, commandLine, parsed) -> {
          if (e instanceof SettingsException) {
            System.err.println(e.getMessage());
            return EXIT_USAGE;
          }
          throw e;
        });
    int code = line.execute(args);
    if (code != Serve.KEEP_RUNNING) {
      System.exit(code);
    }
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
