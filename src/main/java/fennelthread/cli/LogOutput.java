package fennelthread.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.LocalDate;
import java.util.function.LongSupplier;

/**
 * A stream that begins each line with the time of day (UTC, milliseconds) and the controller's
 * name, so that the logs of several controllers can be merged and sorted. The logging backend could
 * do the first, but its formatter costs a start 60 ms of processor time, at a tenth of a core more
 * than half a second. Used by one thread at a time: {@link PrintStream} locks around each line.
 */
final class LogOutput extends OutputStream {
  private static final long MS_PER_SECOND = 1_000;
  private static final long MS_PER_DAY = 86_400_000;
  private static final long SECONDS_PER_MINUTE = 60;
  private static final long SECONDS_PER_HOUR = 3_600;
  private static final long MINUTES_PER_HOUR = 60;

  private final OutputStream target;
  private final LongSupplier clock;
  private final byte[] suffix;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /**
   * Creates a stream that writes whole lines to a target.
   *
   * @param clock gives the time of day in milliseconds since the epoch of Unix
   */
  LogOutput(OutputStream target, LongSupplier clock, String controller) {
    this.target = target;
    this.clock = clock;
    this.suffix = (" " + controller + " ").getBytes(StandardCharsets.UTF_8);
  }

  /** Sends what is logged from now on through such a stream to standard error. */
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
      line.writeBytes(suffix);
    }
    line.write(b);
    if (b == '\n') {
      line.writeTo(target);
      line.reset();
      target.flush();
    }
  }

  /**
   * A time such as {@code 2026-01-31T23:59:59.007Z}. Put together by hand: the formatters of {@code
   * java.time} would be loaded for this alone.
   */
  private static String timestamp(long epochMs) {
    long secondOfDay = Math.floorMod(epochMs, MS_PER_DAY) / MS_PER_SECOND;
    return LocalDate.ofEpochDay(Math.floorDiv(epochMs, MS_PER_DAY))
        + "T"
        + digits(secondOfDay / SECONDS_PER_HOUR, 2)
        + ":"
        + digits(secondOfDay / SECONDS_PER_MINUTE % MINUTES_PER_HOUR, 2)
        + ":"
        + digits(secondOfDay % SECONDS_PER_MINUTE, 2)
        + "."
        + digits(Math.floorMod(epochMs, MS_PER_SECOND), 3)
        + "Z";
  }

  private static String digits(long number, int count) {
    String text = Long.toString(number);
    return "0".repeat(count - text.length()) + text;
  }
}
