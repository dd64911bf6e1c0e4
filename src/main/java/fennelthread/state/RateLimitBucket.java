package fennelthread.state;

import fennelthread.constants.StateConstants;

/**
 * A token bucket that enforces this controller's share of one of the state service's rate limits.
 * Tokens accrue with time up to the size of one burst. A request larger than a burst may overdraw
 * it. Used on the event loop's thread only.
 */
final class RateLimitBucket {
  private final double tokensPerMs;
  private final double capacity;
  private double tokens;

  /** Creates a full bucket for a limit of the service, in requests or changes per second. */
  RateLimitBucket(double limitPerS) {
    double sharePerS = limitPerS * StateConstants.RATE_LIMIT_SHARE;
    tokensPerMs = sharePerS / 1000;
    capacity = Math.max(StateConstants.MIN_BURST, sharePerS * StateConstants.BURST_S);
    tokens = capacity;
  }

  /** Discards all tokens; a bucket that is overdrawn stays so. */
  void drain() {
    tokens = Math.min(tokens, 0);
  }

  /** Adds the tokens that accrue in this many milliseconds. */
  void refill(long elapsedMs) {
    tokens = Math.min(capacity, tokens + elapsedMs * tokensPerMs);
  }

  /** Takes tokens; more than there are overdraw the bucket. */
  void take(double amount) {
    tokens -= amount;
  }

  /**
   * The time until {@code amount} tokens can be taken while {@code reservedShare} of a burst, from
   * 0 to 1, stays in the bucket, ms. An amount beyond the capacity is available from a full bucket.
   */
  double msUntilAvailable(double amount, double reservedShare) {
    double needed = Math.min(capacity, amount + capacity * reservedShare);
    return Math.max(0, (needed - tokens) / tokensPerMs);
  }
}
