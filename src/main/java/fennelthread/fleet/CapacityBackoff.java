package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import java.util.HashMap;
import java.util.Map;

/** The backoff per kind of machine after the cloud has refused it for lack of capacity. */
final class CapacityBackoff {
  private final Map<MachineKind, Long> refusedUntilMs = new HashMap<>();
  private final Map<MachineKind, Long> nextPauseMs = new HashMap<>();

  /** Returns true if a kind was refused so recently that it is not requested again yet. */
  boolean isRefused(MachineKind kind, long nowMs) {
    return refusedUntilMs.getOrDefault(kind, 0L) > nowMs;
  }

  /** Records that a kind was refused; each refusal doubles its next pause, up to a bound. */
  void onRefused(MachineKind kind, long nowMs) {
    long pauseMs = nextPauseMs.getOrDefault(kind, FleetConstants.MIN_CAPACITY_BACKOFF_MS);
    refusedUntilMs.put(kind, nowMs + pauseMs);
    nextPauseMs.put(kind, Math.min(FleetConstants.MAX_CAPACITY_BACKOFF_MS, pauseMs * 2));
  }

  /** Records that machines of a kind were rented: its next pause is the shortest again. */
  void onRented(MachineKind kind) {
    nextPauseMs.remove(kind);
  }

  /**
   * Records that a machine of a kind was returned, so that the kind has capacity again and its
   * pause ends. Otherwise a fleet of forty may go without ten machines for the 40 s of the longest
   * pause although the cloud has them.
   */
  void onReturned(MachineKind kind) {
    refusedUntilMs.remove(kind);
  }
}
