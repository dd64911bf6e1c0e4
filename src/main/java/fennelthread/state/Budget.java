package fennelthread.state;

import fennelthread.constants.StateConstants;
import fennelthread.net.EventLoop;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;

/**
 * Whose request goes to the state service next, within the part of its limits that is ours. The
 * more urgent lane goes first; one that has waited too long goes before all, since under a flood of
 * submissions nothing else would ever be written.
 */
final class Budget {
  private record Waiting(int writes, Runnable send, long sinceMs) {}

  /** An allowance that fills with time, up to one burst. */
  private static final class Bucket {
    private final double perMs;
    private final double most;
    private double left;

    Bucket(double limitPerS) {
      double ours = limitPerS * StateConstants.STATE_RATE_SHARE;
      perMs = ours / 1000;
      most = Math.max(StateConstants.STATE_LEAST_BURST, ours * StateConstants.STATE_BURST_S);
      left = most;
    }

    void empty() {
      left = Math.min(left, 0);
    }

    void fill(long ms) {
      left = Math.min(most, left + ms * perMs);
    }

    /**
     * How long until {@code amount} can be taken with {@code spared} of the burst left over, ms.
     */
    double waitFor(double amount, double spared) {
      // More than the whole burst can hold is let through once the burst is full.
      return Math.max(0, (Math.min(most, amount + most * spared) - left) / perMs);
    }
  }

  private final EventLoop eventLoop;
  private final Bucket requests;
  private final Bucket changes;
  private final Map<StateClient.Lane, ArrayDeque<Waiting>> lanes =
      new EnumMap<>(StateClient.Lane.class);
  private long filledAt;
  private boolean wakeUpSet;

  /** Creates a full budget; limits are the service's, requests and changes a second. */
  Budget(EventLoop eventLoop, double rps, double writeRps) {
    this.eventLoop = eventLoop;
    this.requests = new Bucket(rps);
    this.changes = new Bucket(writeRps);
    this.filledAt = eventLoop.nowMs();
    for (StateClient.Lane lane : StateClient.Lane.values()) {
      lanes.put(lane, new ArrayDeque<>());
    }
  }

  /** True if an answer with so many changes, asked for now, would be sent in the time aimed at. */
  boolean sendsSoon(int writes) {
    fill();
    int queued = 0;
    int queuedWrites = 0;
    for (Waiting w : lanes.get(StateClient.Lane.ANSWER)) {
      queued++;
      queuedWrites += w.writes;
    }
    return requests.waitFor(queued + 1, 0) <= StateConstants.STATE_QUEUE_MS
        && (writes == 0
            || changes.waitFor(queuedWrites + writes, 0) <= StateConstants.STATE_QUEUE_MS);
  }

  /** Sends a request when its turn has come, or refuses it at once if too many wait. */
  void submit(StateClient.Lane lane, int writes, Runnable send, Runnable refuse) {
    ArrayDeque<Waiting> queue = lanes.get(lane);
    if (queue.size() >= StateConstants.STATE_QUEUE) {
      refuse.run();
      return;
    }
    queue.add(new Waiting(writes, send, eventLoop.nowMs()));
    drain();
  }

  /** The service says that all controllers together ask for too much: we hold back. */
  void exceeded() {
    requests.empty();
    changes.empty();
  }

  private void fill() {
    long now = eventLoop.nowMs();
    requests.fill(now - filledAt);
    changes.fill(now - filledAt);
    filledAt = now;
  }

  private void drain() {
    fill();
    for (StateClient.Lane lane = next(); lane != null; lane = next()) {
      Waiting first = lanes.get(lane).peek();
      // Each lane leaves something of the burst to those before it, but not for ever.
      double spared = isOverdue(lane) ? 0 : lane.rank() * StateConstants.STATE_SPARED_PER_LANE;
      double wait =
          Math.max(
              requests.waitFor(1, spared),
              first.writes == 0 ? 0 : changes.waitFor(first.writes, spared));
      if (wait > 0) {
        wakeUpIn(wait);
        return;
      }
      lanes.get(lane).poll();
      requests.left -= 1;
      changes.left -= first.writes;
      first.send.run();
    }
  }

  /** The lane whose turn it is, or null if nothing waits. */
  private StateClient.Lane next() {
    StateClient.Lane next = null;
    for (StateClient.Lane lane : StateClient.Lane.values()) {
      if (isOverdue(lane)) {
        return lane;
      }
      if (next == null && !lanes.get(lane).isEmpty()) {
        next = lane;
      }
    }
    return next;
  }

  private boolean isOverdue(StateClient.Lane lane) {
    Waiting first = lanes.get(lane).peek();
    long patience =
        switch (lane) {
          case ANSWER -> Long.MAX_VALUE;
          case ROUND -> StateConstants.STATE_ROUND_PATIENCE_MS;
          case UPKEEP -> StateConstants.STATE_UPKEEP_PATIENCE_MS;
        };
    return first != null && eventLoop.nowMs() - first.sinceMs > patience;
  }

  private void wakeUpIn(double waitMs) {
    if (!wakeUpSet) {
      wakeUpSet = true;
      eventLoop.after(
          (long) Math.ceil(waitMs),
          () -> {
            wakeUpSet = false;
            drain();
          });
    }
  }
}
