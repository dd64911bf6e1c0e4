package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import java.util.HashMap;
import java.util.Map;

/** The kinds of machine that the cloud has refused for lack of capacity, with growing pauses. */
final class CapacityBackoff {
  private final Map<MachineKind, Long> refusedUntilMs = new HashMap<>();
  private final Map<MachineKind, Long> nextPauseMs = new HashMap<>();

  /** Returns true if a kind was refused so lately that it is not requested again yet. */
  boolean isRefused(MachineKind kind, long nowMs) {
    return refusedUntilMs.getOrDefault(kind, 0L) > nowMs;
  }

  /** Records that a kind was refused; each further pause is twice as long, up to a bound. */
  void onRefused(MachineKind kind, long nowMs) {
    long pauseMs = nextPauseMs.getOrDefault(kind, FleetConstants.MIN_CAPACITY_BACKOFF_MS);
    refusedUntilMs.put(kind, nowMs + pauseMs);
    nextPauseMs.put(kind, Math.min(FleetConstants.MAX_CAPACITY_BACKOFF_MS, pauseMs * 2));
  }

  /** Records that machines of a kind were rented: its pauses begin anew. */
  void onRented(MachineKind kind) {
    nextPauseMs.remove(kind);
  }

  /**
   * Records that a machine of a kind was returned, so that one may be had again. After a refusal,
   * nothing was once requested for 40 s while ten machines of a fleet of forty were to be had.
   */
  void onReturned(MachineKind kind) {
    refusedUntilMs.remove(kind);
  }
}
