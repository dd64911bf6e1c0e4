package fennelthread.emulate;

/** A rate limit that allows bursts. */
final class TokenBucket {
  private final double perSecond;
  private final double burst;
  private double left;
  private long filledAtNanos = System.nanoTime();

  /**
   * Creates it full.
   *
   * @param perSecond what flows in
   * @param burst what it holds at most
   */
  TokenBucket(double perSecond, double burst) {
    this.perSecond = perSecond;
    this.burst = burst;
    this.left = burst;
  }

  /** Takes so much if it is there. */
  boolean take(int amount) {
    long now = System.nanoTime();
    left = Math.min(burst, left + (now - filledAtNanos) * 1e-9 * perSecond);
    filledAtNanos = now;
    if (left < amount) {
      return false;
    }
    left -= amount;
    return true;
  }
}
