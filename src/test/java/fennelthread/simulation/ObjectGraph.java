package fennelthread.simulation;

import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Adds up the bytes of all objects that can be reached from one, in the layout of a 64 bit JVM with
 * compressed references. Simulated surroundings are left out, so that of several controllers in one
 * process each can be measured. Needs what {@code src/test/scale/opens} prints as arguments of the
 * JVM.
 */
final class ObjectGraph {
  private static final int HEADER = 12;
  private static final int ARRAY_HEADER = 16;
  private static final int REFERENCE = 4;
  private static final int ALIGNMENT = 8;

  private record Shape(int bytes, List<Field> references) {}

  private final Map<Class<?>, Shape> shapes = new HashMap<>();

  /** True if this JVM lets us look into the JDK's objects. */
  static boolean isOpen() {
    Module base = Object.class.getModule();
    return base.isOpen("java.util", ObjectGraph.class.getModule())
        && base.isOpen("java.lang", ObjectGraph.class.getModule());
  }

  /** Bytes of everything reachable from {@code root}, simulated surroundings apart. */
  long bytes(Object root) {
    Set<Object> seen = Collections.newSetFromMap(new IdentityHashMap<>());
    Deque<Object> open = new ArrayDeque<>();
    reach(root, seen, open);
    long sum = 0;
    while (!open.isEmpty()) {
      Object o = open.poll();
      sum += visit(o, seen, open);
    }
    return sum;
  }

  private long visit(Object o, Set<Object> seen, Deque<Object> open) {
    Class<?> type = o.getClass();
    if (type.isArray()) {
      int length = Array.getLength(o);
      if (!type.getComponentType().isPrimitive()) {
        for (Object item : (Object[]) o) {
          reach(item, seen, open);
        }
      }
      return aligned(ARRAY_HEADER + (long) length * width(type.getComponentType()));
    }
    Shape shape = shapes.computeIfAbsent(type, ObjectGraph::shapeOf);
    for (Field f : shape.references) {
      try {
        reach(f.get(o), seen, open);
      } catch (IllegalAccessException e) {
        throw new AssertionError(f.toString(), e);
      }
    }
    return shape.bytes;
  }

  private static void reach(Object o, Set<Object> seen, Deque<Object> open) {
    if (o != null && !isOutside(o) && seen.add(o)) {
      open.add(o);
    }
  }

  private static boolean isOutside(Object o) {
    return o instanceof Class
        || o instanceof ClassLoader
        || o instanceof Thread
        || o instanceof Enum
        || o.getClass().getName().startsWith("fennelthread.simulation")
        || o.getClass().getName().startsWith("org.slf4j");
  }

  private static Shape shapeOf(Class<?> type) {
    long bytes = HEADER;
    List<Field> references = new ArrayList<>();
    for (Class<?> c = type; c != null; c = c.getSuperclass()) {
      for (Field f : c.getDeclaredFields()) {
        if (Modifier.isStatic(f.getModifiers())) {
          continue;
        }
        bytes += width(f.getType());
        if (!f.getType().isPrimitive()) {
          f.setAccessible(true);
          references.add(f);
        }
      }
    }
    return new Shape((int) aligned(bytes), references);
  }

  private static int width(Class<?> type) {
    if (!type.isPrimitive()) {
      return REFERENCE;
    }
    if (type == long.class || type == double.class) {
      return Long.BYTES;
    }
    if (type == int.class || type == float.class) {
      return Integer.BYTES;
    }
    return type == short.class || type == char.class ? Short.BYTES : Byte.BYTES;
  }

  private static long aligned(long bytes) {
    return (bytes + ALIGNMENT - 1) / ALIGNMENT * ALIGNMENT;
  }
}
