package fennelthread.simulation;

import fennelthread.settings.Settings;

/**
 * The token buckets that limit the emulated state service's request and write rates; each holds the
 * tokens of one second at most.
 */
final class RateLimiter {
  private double requestTokens;
  private double writeTokens;
  private long refilledAtMs;

  /** Adds the tokens for the time since the last call. */
  void refill(long nowMs, Settings.StateLimits limits) {
    long elapsedMs = nowMs - refilledAtMs;
    requestTokens = Math.min(limits.rps(), requestTokens + elapsedMs * limits.rps() / 1000);
    writeTokens = Math.min(limits.writeRps(), writeTokens + elapsedMs * limits.writeRps() / 1000);
    refilledAtMs = nowMs;
  }

  /** Takes a token for a request; returns false if none is left. */
  boolean takeRequest() {
    if (requestTokens < 1) {
      return false;
    }
    requestTokens--;
    return true;
  }

  /** Takes one token per write; returns false and takes none if there are too few. */
  boolean takeWrites(int count) {
    if (count > writeTokens) {
      return false;
    }
    writeTokens -= count;
    return true;
  }
}
