package fennelthread.fleet;

import fennelthread.wire.MachineType;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The images that a machine has cached, estimated from the tasks that ran there; the least recently
 * used first.
 */
final class CachedImages {
  private final LinkedHashMap<String, Double> sizesGb = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Records that an image is cached, and drops the least recently used ones that no longer fit.
   *
   * @param gb the image's size, GB
   * @param type the machine's type, or null if it is not known
   * @return true if the image was not known to be cached
   */
  boolean recordUse(String image, double gb, MachineType type) {
    if (sizesGb.put(image, gb) != null) {
      return false;
    }
    if (type != null) {
      evictLeastRecentlyUsed(image, type.cacheGb());
    }
    return true;
  }

  private void evictLeastRecentlyUsed(String keptImage, double capacityGb) {
    double totalGb = 0;
    for (double size : sizesGb.values()) {
      totalGb += size;
    }
    Iterator<Map.Entry<String, Double>> entries = sizesGb.entrySet().iterator();
    while (totalGb > capacityGb && entries.hasNext()) {
      Map.Entry<String, Double> entry = entries.next();
      if (!entry.getKey().equals(keptImage)) {
        totalGb -= entry.getValue();
        entries.remove();
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
