package fennelthread.fleet;

import fennelthread.wire.MachineType;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The images that a machine has cached as far as we know, the least recently used first. */
final class CachedImages {
  private final LinkedHashMap<String, Double> sizesGb = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Notes that an image is there, and forgets those that it must have pushed out.
   *
   * @param type the machine's type, or null if it is not known
   * @return true if the image was not known to be there
   */
  boolean use(String image, double gb, MachineType type) {
    if (sizesGb.put(image, gb) != null) {
      return false;
    }
    double totalGb = 0;
    for (double size : sizesGb.values()) {
      totalGb += size;
    }
    Iterator<Map.Entry<String, Double>> oldest = sizesGb.entrySet().iterator();
    while (type != null && totalGb > type.cacheGb() && oldest.hasNext()) {
      Map.Entry<String, Double> e = oldest.next();
      if (!e.getKey().equals(image)) {
        totalGb -= e.getValue();
        oldest.remove();
      }
    }
    return true;
  }

  void clear() {
    sizesGb.clear();
  }

  /** The images' names. */
  Set<String> names() {
    return sizesGb.keySet();
  }
}
