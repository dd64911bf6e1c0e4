package fennelthread.simulation;

import fennelthread.settings.Settings;

/** The token buckets of the emulated state service: requests and changes, each of one second. */
final class RateLimiter {
  private double requestTokens;
  private double writeTokens;
  private long refilledAtMs;

  /** Adds the tokens of the time since the last call. */
  void refill(long nowMs, Settings.StateLimits limits) {
    long elapsedMs = nowMs - refilledAtMs;
    requestTokens = Math.min(limits.rps(), requestTokens + elapsedMs * limits.rps() / 1000);
    writeTokens = Math.min(limits.writeRps(), writeTokens + elapsedMs * limits.writeRps() / 1000);
    refilledAtMs = nowMs;
  }

  /** Takes a token for a request; false if there is none. */
  boolean takeRequest() {
    if (requestTokens < 1) {
      return false;
    }
    requestTokens--;
    return true;
  }

  /** Takes tokens for so many changes; false, and none taken, if there are too few. */
  boolean takeWrites(int count) {
    if (count > writeTokens) {
      return false;
    }
    writeTokens -= count;
    return true;
  }
}
