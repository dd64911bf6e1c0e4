package fennelthread.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Command that generates the tables of docs/capacity.md: {@code java -cp target/fennelthread.jar
 * fennelthread.capacity.CapacityMain docs/scale/slopes.json docs/scale/plan.json
 * [docs/capacity.md]}. Without a page it prints the tables; with one it replaces the text between
 * the two marker lines of that page.
 */
public final class CapacityMain {
  private static final String BEGIN_MARKER = "<!-- tables: made by CapacityMain, not by hand -->\n";
  private static final String END_MARKER = "<!-- end of tables -->\n";
  private static final String USAGE = "capacity: SLOPES.json PLAN.json [PAGE.md]";

  private CapacityMain() {}

  /**
   * Prints the tables or writes them into a page. Exits with status 2 and one line on standard
   * error if the arguments, the input files or the page are not usable.
   */
  public static void main(String[] args) {
    if (args.length < 2 || args.length > 3) {
      exitWithError(USAGE);
      return;
    }
    try {
      String tables =
          new CapacityTables(SlopeCatalogue.load(Path.of(args[0])), Plan.load(Path.of(args[1])))
              .write();
      if (args.length == 2) {
        System.out.print(tables);
        return;
      }
      Path page = Path.of(args[2]);
      Files.writeString(page, replaceTables(Files.readString(page), tables));
    } catch (IOException | IllegalArgumentException e) {
      exitWithError(
          "capacity: " + String.valueOf(e.getMessage()).lines().findFirst().orElse("failed"));
    }
  }

  private static void exitWithError(String message) {
    System.err.println(message);
    System.exit(2);
  }

  /** Returns the page with the text between its markers replaced by {@code tables}. */
  static String replaceTables(String page, String tables) {
    return page.substring(0, tablesStart(page)) + tables + page.substring(tablesEnd(page));
  }

  /** Returns the text between the markers of a page. */
  static String extractTables(String page) {
    return page.substring(tablesStart(page), tablesEnd(page));
  }

  private static int tablesStart(String page) {
    int index = page.indexOf(BEGIN_MARKER);
    if (index < 0) {
      throw new IllegalArgumentException("the page lacks the marker line " + BEGIN_MARKER.strip());
    }
    return index + BEGIN_MARKER.length();
  }

  private static int tablesEnd(String page) {
    int index = page.indexOf(END_MARKER);
    if (index < tablesStart(page)) {
      throw new IllegalArgumentException(
          "the page lacks this marker line after the begin marker: " + END_MARKER.strip());
    }
    return index;
  }
}
