import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line an event, with the seconds since the start. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void add(String kind, String text) {
    out.printf(Locale.ROOT, "%8.3f %-8s %s%n", seconds(), kind, text);
  }

  /** Adds a line and prints it. */
  synchronized void say(String kind, String text) {
    add(kind, text);
    System.out.printf(Locale.ROOT, "%8.3f %-8s %s%n", seconds(), kind, text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
