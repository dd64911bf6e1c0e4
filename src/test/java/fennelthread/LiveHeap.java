package fennelthread;

/** Measures the live objects of this process's heap. */
public final class LiveHeap {
  private static final int COLLECTIONS = 8;
  private static final int PAUSE_MS = 50;

  private LiveHeap() {}

  /**
   * The bytes that live objects take: the least of several measurements, each after a collection.
   */
  public static long bytes() throws InterruptedException {
    Runtime runtime = Runtime.getRuntime();
    long minBytes = Long.MAX_VALUE;
    // Only every fourth full collection leaves no dead objects in place.
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
      Thread.sleep(PAUSE_MS);
      minBytes = Math.min(minBytes, runtime.totalMemory() - runtime.freeMemory());
    }
    return minBytes;
  }
}
