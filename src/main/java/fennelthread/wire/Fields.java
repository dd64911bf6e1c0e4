package fennelthread.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A decoded message with typed and checked access to its fields. Fields that nobody reads are
 * ignored, so that newer peers may add some. A read throws a {@link WireException} that names the
 * field if it is missing or of the wrong type; absent and null mean the same.
 */
public record Fields(Map<String, Object> map) {

  /** Returns an empty message to fill. */
  public static Fields create() {
    return new Fields(new LinkedHashMap<>());
  }

  /** Sets a field and returns this message. */
  public Fields with(String name, Object value) {
    map.put(name, value);
    return this;
  }

  /** Returns true if the field is present and not null. */
  public boolean has(String name) {
    return map.get(name) != null;
  }

  /** Returns a required text. */
  public String text(String name) throws WireException {
    if (require(name) instanceof String text) {
      return text;
    }
    throw new WireException(name, "must be text");
  }

  /** Returns an optional text, null if absent. */
  public String optText(String name) throws WireException {
    return has(name) ? text(name) : null;
  }

  /** Returns a required number, finite and not negative. */
  public double amount(String name) throws WireException {
    if (require(name) instanceof Number number) {
      double value = number.doubleValue();
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

  /** Returns a finite number that is not negative, or {@code fallback} if absent. */
  public double amount(String name, double fallback) throws WireException {
    return has(name) ? amount(name) : fallback;
  }

  /** Returns a required whole number of up to 63 bits, not negative. */
  public long count(String name) throws WireException {
    if (require(name) instanceof Long number) {
      if (number < 0) {
        throw new WireException(name, "must not be negative");
      }
      return number;
    }
    throw new WireException(name, "must be a whole number");
  }

  /** Returns a whole number that is not negative, or {@code fallback} if absent. */
  public long count(String name, long fallback) throws WireException {
    return has(name) ? count(name) : fallback;
  }

  /** Returns a required boolean. */
  public boolean flag(String name) throws WireException {
    if (require(name) instanceof Boolean flag) {
      return flag;
    }
    throw new WireException(name, "must be true or false");
  }

  /** Returns an optional boolean, false if absent. */
  public boolean optFlag(String name) throws WireException {
    return has(name) && flag(name);
  }

  /** Returns an optional list of texts, null if absent. */
  public List<String> optTexts(String name) throws WireException {
    if (!has(name)) {
      return null;
    }
    List<String> texts = new ArrayList<>();
    for (Object item : list(name)) {
      if (!(item instanceof String text)) {
        throw new WireException(name, "must hold texts");
      }
      texts.add(text);
    }
    return texts;
  }

  /** Returns a required list. */
  public List<?> list(String name) throws WireException {
    if (require(name) instanceof List<?> list) {
      return list;
    }
    throw new WireException(name, "must be a list");
  }

  /** Returns a required list of maps. */
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

  /** Returns a required nested map. */
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
