package fennelthread.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.LocalDate;
import java.util.function.LongSupplier;

/**
 * A stream that prefixes each line with the time (UTC, milliseconds) and the controller's name, so
 * that the logs of several controllers can be merged and sorted. The logging backend could add the
 * time, but its formatter takes 60 ms of processor time at startup, which is more than half a
 * second on a tenth of a core. Not thread-safe; the enclosing {@link PrintStream} locks.
 */
final class LogOutput extends OutputStream {
  private static final long MS_PER_SECOND = 1_000;
  private static final long MS_PER_DAY = 86_400_000;
  private static final long SECONDS_PER_MINUTE = 60;
  private static final long SECONDS_PER_HOUR = 3_600;
  private static final long MINUTES_PER_HOUR = 60;

  private final OutputStream target;
  private final LongSupplier clock;
  private final byte[] controllerTag;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /**
   * Creates a stream that writes complete lines to a target.
   *
   * @param clock gives the time in milliseconds since the Unix epoch; read at the start of a line
   */
  LogOutput(OutputStream target, LongSupplier clock, String controller) {
    this.target = target;
    this.clock = clock;
    this.controllerTag = (" " + controller + " ").getBytes(StandardCharsets.UTF_8);
  }

  /** Replaces standard error, which the log is written to, by such a stream. */
  static void install(String controller) {
    System.setErr(
        new PrintStream(
            new LogOutput(System.err, System::currentTimeMillis, controller),
            true,
            StandardCharsets.UTF_8));
  }

  @Override
  public void write(int b) throws IOException {
    if (line.size() == 0) {
      line.writeBytes(timestamp(clock.getAsLong()).getBytes(StandardCharsets.US_ASCII));
      line.writeBytes(controllerTag);
    }
    line.write(b);
    if (b == '\n') {
      line.writeTo(target);
      line.reset();
      target.flush();
    }
  }

  /**
   * Returns a time such as {@code 2026-01-31T23:59:59.007Z}. It is formatted without the formatters
   * of {@code java.time}, which nothing else would load.
   */
  private static String timestamp(long epochMs) {
    long secondOfDay = Math.floorMod(epochMs, MS_PER_DAY) / MS_PER_SECOND;
    return LocalDate.ofEpochDay(Math.floorDiv(epochMs, MS_PER_DAY))
        + "T"
        + zeroPadded(secondOfDay / SECONDS_PER_HOUR, 2)
        + ":"
        + zeroPadded(secondOfDay / SECONDS_PER_MINUTE % MINUTES_PER_HOUR, 2)
        + ":"
        + zeroPadded(secondOfDay % SECONDS_PER_MINUTE, 2)
        + "."
        + zeroPadded(Math.floorMod(epochMs, MS_PER_SECOND), 3)
        + "Z";
  }

  private static String zeroPadded(long number, int digits) {
    String text = Long.toString(number);
    return "0".repeat(digits - text.length()) + text;
  }
}
