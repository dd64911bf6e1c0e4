package fennelthread.emulate;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The images on one machine, the most recently used kept while they fit. */
final class ImageCache {
  private final double mostGb;
  private final Map<String, Double> sizes = new LinkedHashMap<>(16, 0.75f, true);
  private double usedGb;

  ImageCache(double mostGb) {
    this.mostGb = mostGb;
  }

  /** True if the image is there; it then counts as used just now. */
  boolean use(String image) {
    return sizes.get(image) != null;
  }

  /** An image was fetched; those unused for longest make room. */
  void add(String image, double gb) {
    Double old = sizes.put(image, gb);
    usedGb += gb - (old == null ? 0 : old);
    Iterator<Map.Entry<String, Double>> eldest = sizes.entrySet().iterator();
    while (usedGb > mostGb && sizes.size() > 1) {
      usedGb -= eldest.next().getValue();
      eldest.remove();
    }
  }
}
