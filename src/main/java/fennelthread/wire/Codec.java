package fennelthread.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encoding of message bodies: converts plain maps, lists and scalars to bytes and back with
 * Jackson's streaming API. Data binding by reflection is avoided because it loads many classes,
 * which is slow on the small machines that run controllers. Safe for use by several threads.
 */
public enum Codec {
  /** The encoding between controllers and users, workers, the cloud and the state service. */
  CBOR(new CBORFactory(), "application/cbor"),
  /** The encoding of messages between controllers, and of the command line's input and output. */
  JSON(new JsonFactory(), "application/json");

  /** Deepest nesting that is decoded: bounds the recursion on hostile input. */
  private static final int MAX_DEPTH = 32;

  // Jackson factories are thread-safe once configured, and these are never reconfigured.
  @SuppressWarnings("ImmutableEnumChecker")
  private final JsonFactory factory;

  private final String contentType;

  Codec(JsonFactory factory, String contentType) {
    this.factory = factory;
    this.contentType = contentType;
  }

  /** Returns the media type for the {@code Content-Type} header. */
  public String contentType() {
    return contentType;
  }

  /**
   * Encodes a map, list or scalar.
   *
   * @throws IllegalArgumentException if the value is of another type
   */
  public byte[] encode(Object value) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(256);
    try (JsonGenerator generator = factory.createGenerator(out)) {
      write(generator, value);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return out.toByteArray();
  }

  /**
   * Decodes a body whose top level must be a map.
   *
   * @throws WireException naming the field {@code body} if it is empty, malformed, not a map,
   *     nested too deeply, or followed by more bytes
   */
  public Fields decode(byte[] body) throws WireException {
    if (body == null || body.length == 0) {
      throw new WireException("body", "is empty");
    }
    try (JsonParser parser = factory.createParser(body)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new WireException("body", "is not a map");
      }
      Object value = read(parser, 0);
      if (parser.nextToken() != null) {
        throw new WireException("body", "has bytes after its end");
      }
      @SuppressWarnings("unchecked")
      Map<String, Object> map = (Map<String, Object>) value;
      return new Fields(map);
    } catch (IOException | RuntimeException e) {
      throw new WireException("body", "can't be read");
    }
  }

  private static Object read(JsonParser parser, int depth) throws IOException, WireException {
    if (depth > MAX_DEPTH) {
      throw new WireException("body", "is nested too deeply");
    }
    switch (parser.currentToken()) {
      case START_OBJECT -> {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
          String name = parser.currentName();
          parser.nextToken();
          map.put(name, read(parser, depth + 1));
        }
        return map;
      }
      case START_ARRAY -> {
        List<Object> list = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          list.add(read(parser, depth + 1));
        }
        return list;
      }
      case VALUE_STRING -> {
        return parser.getText();
      }
      case VALUE_NUMBER_INT -> {
        return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
            ? (Object) parser.getBigIntegerValue()
            : (Object) parser.getLongValue();
      }
      case VALUE_NUMBER_FLOAT -> {
        return parser.getDoubleValue();
      }
      case VALUE_TRUE -> {
        return true;
      }
      case VALUE_FALSE -> {
        return false;
      }
      case VALUE_NULL -> {
        return null;
      }
      default -> throw new WireException("body", "holds something other than text and numbers");
    }
  }

  private static void write(JsonGenerator out, Object value) throws IOException {
    if (value == null) {
      out.writeNull();
    } else if (value instanceof String s) {
      out.writeString(s);
    } else if (value instanceof Long n) {
      out.writeNumber(n);
    } else if (value instanceof Integer n) {
      out.writeNumber(n);
    } else if (value instanceof Double n) {
      out.writeNumber(n);
    } else if (value instanceof Boolean b) {
      out.writeBoolean(b);
    } else if (value instanceof Fields f) {
      write(out, f.map());
    } else if (value instanceof Map<?, ?> map) {
      out.writeStartObject(value, map.size());
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.writeFieldName((String) entry.getKey());
        write(out, entry.getValue());
      }
      out.writeEndObject();
    } else if (value instanceof List<?> list) {
      out.writeStartArray(value, list.size());
      for (Object item : list) {
        write(out, item);
      }
      out.writeEndArray();
    } else if (value instanceof Number n) {
      out.writeNumber(n.doubleValue());
    } else {
      throw new IllegalArgumentException("not a wire value: " + value.getClass());
    }
  }
}
