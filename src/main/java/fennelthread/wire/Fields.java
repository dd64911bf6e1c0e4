package fennelthread.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A decoded map with typed, checked access; unknown fields are simply never asked for. */
public record Fields(Map<String, Object> map) {

  /** An empty map to fill. */
  public static Fields create() {
    return new Fields(new LinkedHashMap<>());
  }

  /** Adds a field and returns this, for building bodies. */
  public Fields with(String name, Object value) {
    map.put(name, value);
    return this;
  }

  /** True if the field is there and not null. */
  public boolean has(String name) {
    return map.get(name) != null;
  }

  /** A text that must be there. */
  public String text(String name) throws WireException {
    if (require(name) instanceof String s) {
      return s;
    }
    throw new WireException(name, "must be text");
  }

  /** A text, or null. */
  public String optText(String name) throws WireException {
    return has(name) ? text(name) : null;
  }

  /** A finite amount, zero or more. */
  public double amount(String name) throws WireException {
    if (require(name) instanceof Number n) {
      double value = n.doubleValue();
      if (!Double.isFinite(value)) {
        throw new WireException(name, "must be finite");
      }
      if (value < 0) {
        throw new WireException(name, "must not be negative");
      }
      return value;
    }
    throw new WireException(name, "must be a number");
  }

  /** An amount, or {@code fallback} if absent or null. */
  public double amount(String name, double fallback) throws WireException {
    return has(name) ? amount(name) : fallback;
  }

  /** A whole number, zero or more. */
  public long count(String name) throws WireException {
    if (require(name) instanceof Long n) {
      if (n < 0) {
        throw new WireException(name, "must not be negative");
      }
      return n;
    }
    throw new WireException(name, "must be a whole number");
  }

  /** A whole number, or {@code fallback} if absent or null. */
  public long count(String name, long fallback) throws WireException {
    return has(name) ? count(name) : fallback;
  }

  /** A truth value that must be there. */
  public boolean flag(String name) throws WireException {
    if (require(name) instanceof Boolean b) {
      return b;
    }
    throw new WireException(name, "must be true or false");
  }

  /** A truth value, or false if absent or null. */
  public boolean optFlag(String name) throws WireException {
    return has(name) && flag(name);
  }

  /** A list of texts, or null. */
  public List<String> optTexts(String name) throws WireException {
    if (!has(name)) {
      return null;
    }
    List<String> texts = new ArrayList<>();
    for (Object item : list(name)) {
      if (!(item instanceof String s)) {
        throw new WireException(name, "must hold texts");
      }
      texts.add(s);
    }
    return texts;
  }

  /** A list that must be there. */
  public List<?> list(String name) throws WireException {
    if (require(name) instanceof List<?> list) {
      return list;
    }
    throw new WireException(name, "must be a list");
  }

  /** A list of maps that must be there. */
  @SuppressWarnings("unchecked")
  public List<Fields> maps(String name) throws WireException {
    List<Fields> maps = new ArrayList<>();
    for (Object item : list(name)) {
      if (!(item instanceof Map<?, ?> inner)) {
        throw new WireException(name, "must hold maps");
      }
      maps.add(new Fields((Map<String, Object>) inner));
    }
    return maps;
  }

  /** A nested map that must be there. */
  @SuppressWarnings("unchecked")
  public Fields inner(String name) throws WireException {
    if (require(name) instanceof Map<?, ?> inner) {
      return new Fields((Map<String, Object>) inner);
    }
    throw new WireException(name, "must be a map");
  }

  private Object require(String name) throws WireException {
    Object value = map.get(name);
    if (value == null) {
      throw new WireException(name, "is missing");
    }
    return value;
  }
}
