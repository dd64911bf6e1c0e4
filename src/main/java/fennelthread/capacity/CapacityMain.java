package fennelthread.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Makes the tables of docs/capacity.md anew: {@code java -cp target/classes:... CapacityMain
 * docs/scale/slopes.json docs/scale/plan.json [docs/capacity.md]}. Without a page it prints them;
 * with one it replaces what stands there between the markers.
 */
public final class CapacityMain {
  private static final String BEGIN = "<!-- tables: made by CapacityMain, not by hand -->\n";
  private static final String END = "<!-- end of tables -->\n";
  private static final String USAGE = "capacity: SLOPES.json PLAN.json [PAGE.md]";

  private CapacityMain() {}

  /** Prints the tables or writes them into a page. */
  public static void main(String[] args) {
    if (args.length < 2 || args.length > 3) {
      refuse(USAGE);
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
      Files.writeString(page, replaced(Files.readString(page), tables));
    } catch (IOException | IllegalArgumentException e) {
      refuse("capacity: " + String.valueOf(e.getMessage()).lines().findFirst().orElse("failed"));
    }
  }

  private static void refuse(String why) {
    System.err.println(why);
    System.exit(2);
  }

  /** A page with other tables between its markers. */
  static String replaced(String page, String tables) {
    return page.substring(0, beginOf(page)) + tables + page.substring(endOf(page));
  }

  /** The tables that a page holds. */
  static String tablesOf(String page) {
    return page.substring(beginOf(page), endOf(page));
  }

  private static int beginOf(String page) {
    int at = page.indexOf(BEGIN);
    if (at < 0) {
      throw new IllegalArgumentException("the page lacks the line " + BEGIN.strip());
    }
    return at + BEGIN.length();
  }

  private static int endOf(String page) {
    int at = page.indexOf(END);
    if (at < beginOf(page)) {
      throw new IllegalArgumentException("the page lacks the line " + END.strip());
    }
    return at;
  }
}
