package fennelthread.emulate;

import de.tudresden.inf.lat.jsexp.Sexp;
import de.tudresden.inf.lat.jsexp.SexpFactory;
import de.tudresden.inf.lat.jsexp.SexpParserException;
import fennelthread.settings.SettingsException;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One {@code (NAME VALUE ...)} of a settings file, with its position. Reading is strict: each field
 * that was asked for counts as known, and {@link #refuseUnknown} names the first that was not.
 */
final class SettingsNode {
  private final String position;
  private final String name;
  private final List<String> atoms = new ArrayList<>();
  private final List<SettingsNode> children = new ArrayList<>();
  private final Set<String> asked = new HashSet<>();

  private SettingsNode(String position, String name) {
    this.position = position;
    this.name = name;
  }

  /** Parses a file's text, whose outermost list must begin with {@code root}. */
  static SettingsNode parse(String file, String text, String root) throws SettingsException {
    Sexp sexp;
    try {
      sexp = SexpFactory.parse(new StringReader(withoutComments(text)));
    } catch (SexpParserException | IOException | RuntimeException e) {
      throw new SettingsException(file + ": not an S-expression: " + e.getMessage());
    }
    if (sexp == null
        || sexp.isAtomic()
        || sexp.getLength() == 0
        || !root.equals(sexp.get(0).toString())) {
      throw new SettingsException(file + ":1:1: must be (" + root + " (NAME VALUE ...) ...)");
    }
    return new Builder(file, listPositions(text)).build(sexp);
  }

  /** The parser takes comments for words. */
  private static String withoutComments(String text) {
    return text.replaceAll(";[^\\n]*", "").strip();
  }

  /** Lists open in the text in the order in which a walk through the tree meets them. */
  private static List<int[]> listPositions(String text) {
    List<int[]> positions = new ArrayList<>();
    int line = 1;
    int column = 1;
    boolean comment = false;
    for (int i = 0; i < text.length(); i++, column++) {
      char c = text.charAt(i);
      if (c == '\n') {
        line++;
        column = 0;
        comment = false;
      } else if (c == ';') {
        comment = true;
      } else if (c == '(' && !comment) {
        positions.add(new int[] {line, column});
      }
    }
    return positions;
  }

  private static final class Builder {
    private final String file;
    private final List<int[]> positions;
    private int next;

    Builder(String file, List<int[]> positions) {
      this.file = file;
      this.positions = positions;
    }

    SettingsNode build(Sexp list) throws SettingsException {
      int index = next++;
      int[] at = index < positions.size() ? positions.get(index) : new int[] {1, 1};
      String position = file + ":" + at[0] + ":" + at[1] + ": ";
      if (list.getLength() == 0 || !list.get(0).isAtomic()) {
        throw new SettingsException(position + "must be (NAME VALUE ...)");
      }
      SettingsNode node = new SettingsNode(position, list.get(0).toString());
      for (int i = 1; i < list.getLength(); i++) {
        Sexp item = list.get(i);
        if (item.isAtomic()) {
          node.atoms.add(item.toString());
        } else {
          node.children.add(build(item));
        }
      }
      return node;
    }
  }

  /** The word that the list begins with. */
  String name() {
    return name;
  }

  /** An error at this list. */
  SettingsException wrong(String why) {
    return new SettingsException(position + name + " " + why);
  }

  /** The lists of this name, in their order. */
  List<SettingsNode> all(String child) {
    asked.add(child);
    return children.stream().filter(c -> c.name.equals(child)).toList();
  }

  /** The only list of this name, or null. */
  SettingsNode one(String child) throws SettingsException {
    List<SettingsNode> found = all(child);
    if (found.size() > 1) {
      throw found.get(1).wrong("is given twice");
    }
    return found.isEmpty() ? null : found.get(0);
  }

  /** True if there is a list of this name. */
  boolean has(String child) {
    return children.stream().anyMatch(c -> c.name.equals(child));
  }

  /** The only list of this name, which must be there. */
  SettingsNode required(String child) throws SettingsException {
    SettingsNode found = one(child);
    if (found == null) {
      throw wrong("needs (" + child + " ...)");
    }
    return found;
  }

  /** A number within bounds, or the fallback if absent; a null fallback means it must be there. */
  double number(String child, double least, double most, Double fallback) throws SettingsException {
    if (fallback != null && !has(child)) {
      asked.add(child);
      return fallback;
    }
    SettingsNode node = required(child);
    return node.numberAt(0, 1, least, most);
  }

  /** The same for a whole number. */
  int count(String child, int least, int most, Integer fallback) throws SettingsException {
    double value = number(child, least, most, fallback == null ? null : (double) fallback);
    if (value != Math.rint(value)) {
      throw required(child).wrong("must be a whole number");
    }
    return (int) value;
  }

  /** Seconds, given back in milliseconds. */
  long millis(String child, double leastS, double mostS, Double fallbackS)
      throws SettingsException {
    return Math.round(number(child, leastS, mostS, fallbackS) * 1000);
  }

  /** A pair of numbers, the first not above the second. */
  double[] range(String child, double least, double most) throws SettingsException {
    SettingsNode node = required(child);
    double low = node.numberAt(0, 2, least, most);
    double high = node.numberAt(1, 2, least, most);
    if (low > high) {
      throw node.wrong("must not begin above its end");
    }
    return new double[] {low, high};
  }

  /** The number at an index of this list, which must hold {@code length} values. */
  double numberAt(int index, int length, double least, double most) throws SettingsException {
    List<String> values = values(length);
    try {
      double value = Double.parseDouble(values.get(index));
      if (value >= least && value <= most) {
        return value;
      }
    } catch (NumberFormatException e) {
      throw wrong("must be a number, not " + values.get(index));
    }
    throw wrong("must be from " + plain(least) + " to " + plain(most));
  }

  private static String plain(double value) {
    return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
  }

  /** A word, or the fallback if absent. */
  String word(String child, String fallback) throws SettingsException {
    if (fallback != null && !has(child)) {
      asked.add(child);
      return fallback;
    }
    return required(child).values(1).get(0);
  }

  /** One of some words. */
  String choice(String child, String fallback, String... choices) throws SettingsException {
    String value = word(child, fallback);
    if (!List.of(choices).contains(value)) {
      throw required(child).wrong("must be one of " + String.join(", ", choices));
    }
    return value;
  }

  /** One word or more. */
  List<String> words(String child) throws SettingsException {
    SettingsNode node = required(child);
    if (node.atoms.isEmpty() || !node.children.isEmpty()) {
      throw node.wrong("must be (" + child + " WORD ...)");
    }
    return List.copyOf(node.atoms);
  }

  /** All lists in this one as they would be written, for another reader to check. */
  String inner() {
    StringBuilder text = new StringBuilder();
    for (SettingsNode child : children) {
      asked.add(child.name);
      text.append(" (").append(child.name);
      child.atoms.forEach(a -> text.append(' ').append(a));
      text.append(child.inner()).append(')');
    }
    return text.toString();
  }

  /** The values of this list, which must be so many and no lists. */
  List<String> values(int length) throws SettingsException {
    if (atoms.size() != length || !children.isEmpty()) {
      throw wrong("takes " + (length == 1 ? "one value" : length + " values"));
    }
    return atoms;
  }

  /** Refuses lists that nobody has asked for, and loose values. */
  void refuseUnknown() throws SettingsException {
    if (!atoms.isEmpty()) {
      throw wrong("can't hold " + atoms.get(0) + ": must be (NAME VALUE ...)");
    }
    for (SettingsNode child : children) {
      if (!asked.contains(child.name)) {
        throw child.wrong("is not known in " + name);
      }
    }
  }
}
