package fennelthread.fleet;

import fennelthread.wire.MachineType;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The images that a machine has cached as far as is known, the least recently used first. */
final class CachedImages {
  private final LinkedHashMap<String, Double> sizesGb = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Records that an image is cached, and evicts those that it must have pushed out.
   *
   * @param gb the image's size, GB
   * @param type the machine's type, or null if it is not known
   * @return true if the image was not known to be there
   */
  boolean recordUse(String image, double gb, MachineType type) {
    if (sizesGb.put(image, gb) != null) {
      return false;
    }
    if (type != null) {
      evictOldest(image, type.cacheGb());
    }
    return true;
  }

  private void evictOldest(String keep, double capacityGb) {
    double totalGb = 0;
    for (double size : sizesGb.values()) {
      totalGb += size;
    }
    Iterator<Map.Entry<String, Double>> oldest = sizesGb.entrySet().iterator();
    while (totalGb > capacityGb && oldest.hasNext()) {
      Map.Entry<String, Double> entry = oldest.next();
      if (!entry.getKey().equals(keep)) {
        totalGb -= entry.getValue();
        oldest.remove();
      }
    }
  }

  void clear() {
    sizesGb.clear();
  }

  /** Returns the images' names. */
  Set<String> names() {
    return sizesGb.keySet();
  }
}
