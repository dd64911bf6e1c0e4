package fennelthread.settings;

import de.tudresden.inf.lat.jsexp.Sexp;
import de.tudresden.inf.lat.jsexp.SexpFactory;
import de.tudresden.inf.lat.jsexp.SexpParserException;
import fennelthread.constants.SettingsConstants;
import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The operators' own settings, an S-expression such as {@code (fennelthread (max-machines 100))}.
 * Strict: unknown or repeated names, wrong types and values out of range are errors with their
 * position.
 */
public record Options(
    long storeLeaseMs, long roundGapMs, int maxMachines, double spareFactor, long idleReturnMs) {

  /**
   * What holds without a file; {@code storeLeaseMs} 0 means a share of the workers' lease. The
   * number of machines is bounded by demand and by the cloud's refusals: a default below a fleet
   * once kept lost machines from being replaced.
   */
  public static final Options DEFAULTS =
      new Options(0, SettingsConstants.DEFAULT_ROUND_GAP_MS, Integer.MAX_VALUE, 2.0, 900_000);

  /** Reads and checks a file. */
  public static Options load(Path file) throws SettingsException {
    try {
      return parse(file.toString(), Files.readString(file));
    } catch (IOException e) {
      throw new SettingsException(file + ": can't be read: " + e.getMessage());
    }
  }

  /** Parses the text of a file; {@code name} is used in messages. */
  public static Options parse(String name, String text) throws SettingsException {
    Sexp root;
    try {
      root = SexpFactory.parse(new StringReader(text));
    } catch (SexpParserException | IOException | RuntimeException e) {
      throw new SettingsException(name + ": not an S-expression: " + e.getMessage());
    }
    if (root == null
        || root.isAtomic()
        || root.getLength() == 0
        || !"fennelthread".equals(root.get(0).toString())) {
      throw new SettingsException(name + ":1:1: must be (fennelthread (NAME VALUE) ...)");
    }
    Options o = DEFAULTS;
    long storeLeaseMs = o.storeLeaseMs;
    long gapMs = o.roundGapMs;
    int maxMachines = o.maxMachines;
    double spareFactor = o.spareFactor;
    long idleMs = o.idleReturnMs;
    Set<String> seen = new HashSet<>();
    for (int i = 1; i < root.getLength(); i++) {
      Sexp entry = root.get(i);
      if (entry.isAtomic()) {
        throw at(name, text, Pattern.quote(entry.toString()), entry + " must be (NAME VALUE)");
      }
      String key = entry.getLength() > 0 ? entry.get(0).toString() : "";
      String where = "\\(\\s*" + Pattern.quote(key);
      if (entry.getLength() != 2 || !entry.get(1).isAtomic()) {
        throw at(name, text, where, key + " takes one value");
      }
      if (!seen.add(key)) {
        throw at(name, text, where + "(?![\\s\\S]*" + where + ")", key + " is given twice");
      }
      String value = entry.get(1).toString();
      switch (key) {
        case "grant-ms" ->
            storeLeaseMs = (long) number(name, text, where, key, value, 1_000, 60_000);
        case "round-gap-ms" -> gapMs = (long) number(name, text, where, key, value, 10, 10_000);
        case "max-machines" ->
            maxMachines = (int) number(name, text, where, key, value, 0, 100_000);
        case "spare-factor" -> spareFactor = number(name, text, where, key, value, 1, 10);
        case "idle-return-s" ->
            idleMs = (long) (1000 * number(name, text, where, key, value, 30, 86_400));
        default -> throw at(name, text, where, key + " is not a known setting");
      }
    }
    return new Options(storeLeaseMs, gapMs, maxMachines, spareFactor, idleMs);
  }

  private static double number(
      String name, String text, String where, String key, String value, double least, double most)
      throws SettingsException {
    try {
      double n = Double.parseDouble(value);
      if (n >= least && n <= most) {
        return n;
      }
      throw at(name, text, where, key + " must be from " + least + " to " + most);
    } catch (NumberFormatException e) {
      throw at(name, text, where, key + " must be a number");
    }
  }

  private static SettingsException at(String name, String text, String pattern, String why) {
    Matcher m = Pattern.compile(pattern).matcher(text);
    int offset = m.find() ? m.start() : 0;
    int line = 1 + (int) text.substring(0, offset).chars().filter(c -> c == '\n').count();
    int column = offset - text.lastIndexOf('\n', Math.max(0, offset - 1));
    return new SettingsException(name + ":" + line + ":" + (offset == 0 ? 1 : column) + ": " + why);
  }
}
