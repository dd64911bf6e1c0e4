import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The part of CBOR that the protocol uses: maps with text keys, lists, text, numbers, booleans, null. */
final class Cbor {
  private final byte[] in;
  private int at;

  private Cbor(byte[] in) {
    this.in = in;
  }

  /** An ordered map from alternating keys and values. */
  static Map<String, Object> map(Object... keysAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < keysAndValues.length; i += 2) {
      map.put((String) keysAndValues[i], keysAndValues[i + 1]);
    }
    return map;
  }

  static byte[] encode(Object value) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    write(out, value);
    return out.toByteArray();
  }

  private static void head(ByteArrayOutputStream out, int major, long n) {
    if (n < 24) {
      out.write(major << 5 | (int) n);
    } else {
      int bytes = n < 1 << 8 ? 1 : n < 1 << 16 ? 2 : n < 1L << 32 ? 4 : 8;
      out.write(major << 5 | (bytes == 1 ? 24 : bytes == 2 ? 25 : bytes == 4 ? 26 : 27));
      for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
        out.write((int) (n >> shift));
      }
    }
  }

  private static void write(ByteArrayOutputStream out, Object value) {
    if (value == null) {
      out.write(0xf6);
    } else if (value instanceof Boolean b) {
      out.write(b ? 0xf5 : 0xf4);
    } else if (value instanceof Double d) {
      out.write(0xfb);
      long bits = Double.doubleToLongBits(d);
      for (int shift = 56; shift >= 0; shift -= 8) {
        out.write((int) (bits >> shift));
      }
    } else if (value instanceof Number n) {
      long x = n.longValue();
      head(out, x < 0 ? 1 : 0, x < 0 ? -1 - x : x);
    } else if (value instanceof String s) {
      byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
      head(out, 3, bytes.length);
      out.writeBytes(bytes);
    } else if (value instanceof List<?> list) {
      head(out, 4, list.size());
      list.forEach(item -> write(out, item));
    } else if (value instanceof Map<?, ?> map) {
      head(out, 5, map.size());
      map.forEach(
          (key, item) -> {
            write(out, key);
            write(out, item);
          });
    } else {
      throw new IllegalArgumentException("not a CBOR value here: " + value.getClass());
    }
  }

  /** Decodes a body that must be one map. */
  @SuppressWarnings("unchecked")
  static Map<String, Object> decode(byte[] body) {
    Cbor cbor = new Cbor(body);
    Object value = cbor.read();
    if (!(value instanceof Map)) {
      throw new IllegalArgumentException("not a map");
    }
    return (Map<String, Object>) value;
  }

  private int next() {
    return in[at++] & 0xff;
  }

  private long number(int info) {
    if (info < 24) {
      return info;
    }
    int bytes = 1 << (info - 24);
    long n = 0;
    for (int i = 0; i < bytes; i++) {
      n = n << 8 | next();
    }
    return n;
  }

  private Object read() {
    int first = next();
    int major = first >> 5;
    int info = first & 31;
    switch (major) {
      case 0:
        return number(info);
      case 1:
        return -1 - number(info);
      case 3:
        return text(info);
      case 4:
        List<Object> list = new ArrayList<>();
        if (info == 31) {
          while ((in[at] & 0xff) != 0xff) {
            list.add(read());
          }
          at++;
        } else {
          for (long i = number(info); i > 0; i--) {
            list.add(read());
          }
        }
        return list;
      case 5:
        Map<String, Object> map = new LinkedHashMap<>();
        if (info == 31) {
          while ((in[at] & 0xff) != 0xff) {
            String key = (String) read();
            map.put(key, read());
          }
          at++;
        } else {
          for (long i = number(info); i > 0; i--) {
            String key = (String) read();
            map.put(key, read());
          }
        }
        return map;
      case 7:
        return simple(info);
      default:
        throw new IllegalArgumentException("not in the protocol: CBOR major type " + major);
    }
  }

  private String text(int info) {
    if (info == 31) {
      StringBuilder all = new StringBuilder();
      while ((in[at] & 0xff) != 0xff) {
        all.append((String) read());
      }
      at++;
      return all.toString();
    }
    int length = (int) number(info);
    String text = new String(in, at, length, StandardCharsets.UTF_8);
    at += length;
    return text;
  }

  private Object simple(int info) {
    switch (info) {
      case 20:
        return false;
      case 21:
        return true;
      case 22:
      case 23:
        return null;
      case 25:
        int half = (int) number(25);
        int exponent = half >> 10 & 31;
        double mantissa = half & 1023;
        double value =
            exponent == 0
                ? mantissa * Math.pow(2, -24)
                : (mantissa + 1024) * Math.pow(2, exponent - 25);
        return (half & 0x8000) == 0 ? value : -value;
      case 26:
        return (double) Float.intBitsToFloat((int) number(26));
      case 27:
        return Double.longBitsToDouble(number(27));
      default:
        throw new IllegalArgumentException("not in the protocol: CBOR simple value " + info);
    }
  }

  /** The length of a value in its JSON form, by which the protocol's size limits count. */
  static int jsonLength(Object value) {
    if (value == null) {
      return 4;
    }
    if (value instanceof String s) {
      return s.getBytes(StandardCharsets.UTF_8).length + 2;
    }
    if (value instanceof List<?> list) {
      int length = 2 + Math.max(0, list.size() - 1);
      for (Object item : list) {
        length += jsonLength(item);
      }
      return length;
    }
    if (value instanceof Map<?, ?> map) {
      int length = 2 + Math.max(0, map.size() - 1);
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        length += jsonLength(entry.getKey()) + 1 + jsonLength(entry.getValue());
      }
      return length;
    }
    return value.toString().length();
  }
}
