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
 * The operators' settings, read from an S-expression such as {@code (fennelthread (max-machines
 * 100))}. Parsing is strict: unknown or repeated names, wrong types and values out of range are
 * errors that state their position.
 *
 * @param storeLeaseMs length of the leader's lease at the state service, ms; 0 for a share of the
 *     workers' lease
 * @param roundGapMs shortest time between two scheduling rounds, ms
 * @param maxMachines most machines to rent
 * @param spareFactor machines to rent relative to demand, unless an objective is about price; 1 for
 *     no spare ones
 * @param idleReturnMs time after which an idle machine is returned, ms
 */
public record Options(
    long storeLeaseMs, long roundGapMs, int maxMachines, double spareFactor, long idleReturnMs) {

  /**
   * The options without a file. The number of machines is bounded only by demand and by the cloud's
   * refusals: a default limit below the size of the fleet would keep lost machines from being
   * replaced.
   */
  public static final Options DEFAULTS =
      new Options(0, SettingsConstants.DEFAULT_ROUND_GAP_MS, Integer.MAX_VALUE, 2.0, 900_000);

  /** Reads and validates a file. */
  public static Options load(Path file) throws SettingsException {
    try {
      return parse(file.toString(), Files.readString(file));
    } catch (IOException e) {
      throw new SettingsException(file + ": can't be read: " + e.getMessage());
    }
  }

  /**
   * Parses and validates the text of a file.
   *
   * @param name the name of the file for error messages
   */
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
    long storeLeaseMs = DEFAULTS.storeLeaseMs;
    long roundGapMs = DEFAULTS.roundGapMs;
    int maxMachines = DEFAULTS.maxMachines;
    double spareFactor = DEFAULTS.spareFactor;
    long idleReturnMs = DEFAULTS.idleReturnMs;
    Set<String> seen = new HashSet<>();
    for (int i = 1; i < root.getLength(); i++) {
      Sexp entry = root.get(i);
      if (entry.isAtomic()) {
        throw errorAt(name, text, Pattern.quote(entry.toString()), entry + " must be (NAME VALUE)");
      }
      String key = entry.getLength() > 0 ? entry.get(0).toString() : "";
      String pattern = "\\(\\s*" + Pattern.quote(key);
      if (entry.getLength() != 2 || !entry.get(1).isAtomic()) {
        throw errorAt(name, text, pattern, key + " takes one value");
      }
      if (!seen.add(key)) {
        throw errorAt(
            name, text, pattern + "(?![\\s\\S]*" + pattern + ")", key + " is given twice");
      }
      String value = entry.get(1).toString();
      switch (key) {
        case "grant-ms" ->
            storeLeaseMs = (long) parseNumber(name, text, pattern, key, value, 1_000, 60_000);
        case "round-gap-ms" ->
            roundGapMs = (long) parseNumber(name, text, pattern, key, value, 10, 10_000);
        case "max-machines" ->
            maxMachines = (int) parseNumber(name, text, pattern, key, value, 0, 100_000);
        case "spare-factor" -> spareFactor = parseNumber(name, text, pattern, key, value, 1, 10);
        case "idle-return-s" ->
            idleReturnMs = (long) (1000 * parseNumber(name, text, pattern, key, value, 30, 86_400));
        default -> throw errorAt(name, text, pattern, key + " is not a known setting");
      }
    }
    return new Options(storeLeaseMs, roundGapMs, maxMachines, spareFactor, idleReturnMs);
  }

  private static double parseNumber(
      String name, String text, String pattern, String key, String value, double min, double max)
      throws SettingsException {
    try {
      double number = Double.parseDouble(value);
      if (number >= min && number <= max) {
        return number;
      }
      throw errorAt(name, text, pattern, key + " must be from " + min + " to " + max);
    } catch (NumberFormatException e) {
      throw errorAt(name, text, pattern, key + " must be a number");
    }
  }

  /** Returns an error at the line and column where {@code pattern} first matches the text. */
  private static SettingsException errorAt(
      String name, String text, String pattern, String reason) {
    Matcher matcher = Pattern.compile(pattern).matcher(text);
    int offset = matcher.find() ? matcher.start() : 0;
    int line = 1 + (int) text.substring(0, offset).chars().filter(c -> c == '\n').count();
    int column = offset - text.lastIndexOf('\n', Math.max(0, offset - 1));
    return new SettingsException(
        name + ":" + line + ":" + (offset == 0 ? 1 : column) + ": " + reason);
  }
}
