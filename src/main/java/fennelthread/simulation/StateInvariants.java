package fennelthread.simulation;

import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Invariants of the keys in the state service, checked at each write. */
final class StateInvariants {
  private static final String START_RECORDS = "live/round/";
  private static final String FINISHED_TASKS = "live/finished/";

  private final SimulatedNetwork network;
  private final StateEmulator state;
  private final Map<String, BitSet> finishedTasks = new HashMap<>();

  /** Registers the checks with a state service; every later write is checked. */
  StateInvariants(SimulatedNetwork network, StateEmulator state) {
    this.network = network;
    this.state = state;
    state.onWrite.add(this::checkFence);
    state.onWrite.add(this::checkFinished);
  }

  /**
   * Fails if a start record is written under an older epoch than the latest claimed one. Only the
   * state service can see such a write, which comes from a former leader and must be fenced off.
   */
  private void checkFence(String key) {
    try {
      if (key.startsWith(START_RECORDS)
          && Long.parseLong(key.substring(START_RECORDS.length(), key.lastIndexOf('-')))
              < state.claimedEpoch()) {
        throw new AssertionError("t=" + network.now() + " written under an old epoch: " + key);
      }
    } catch (WireException e) {
      throw new AssertionError(e);
    }
  }

  /** Fails if a record of finished tasks loses a task that an earlier version of it held. */
  private void checkFinished(String key) {
    if (!key.startsWith(FINISHED_TASKS)) {
      return;
    }
    BitSet current = new BitSet();
    for (Fields value : state.valuesUnder(key)) {
      if (value.map().get("r") instanceof List<?> ranges) {
        for (int i = 0; i + 1 < ranges.size(); i += 2) {
          current.set(
              ((Number) ranges.get(i)).intValue(), ((Number) ranges.get(i + 1)).intValue() + 1);
        }
      }
    }
    BitSet lost = finishedTasks.getOrDefault(key, new BitSet());
    lost.andNot(current);
    if (!lost.isEmpty()) {
      throw new AssertionError("t=" + network.now() + " " + key + " has lost " + lost);
    }
    finishedTasks.put(key, current);
  }
}
