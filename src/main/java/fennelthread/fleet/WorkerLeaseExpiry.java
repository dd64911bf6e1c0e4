package fennelthread.fleet;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects workers' leases that have expired. A worker kills its tasks when its lease expires, so
 * the expiry proves that every attempt on its machine is gone.
 */
final class WorkerLeaseExpiry {
  private static final Logger log = LoggerFactory.getLogger(WorkerLeaseExpiry.class);

  private final FleetContext context;

  WorkerLeaseExpiry(FleetContext context) {
    this.context = context;
  }

  /**
   * Expires a machine's lease if it is over by now, counted from the last answer that any
   * controller can have given to the worker.
   *
   * @param othersSilentSinceMs the time since when no other controller can have answered a report,
   *     ms, or {@code Long.MAX_VALUE} while one still could
   */
  void expireIfOver(Machine machine, long othersSilentSinceMs) {
    if (machine.phase() != Machine.Phase.LOST && isOver(machine, othersSilentSinceMs)) {
      expire(machine);
    }
  }

  private boolean isOver(Machine machine, long othersSilentSinceMs) {
    long leaseStartMs = Math.max(machine.contact().leaseStartMs(), othersSilentSinceMs);
    return othersSilentSinceMs != Long.MAX_VALUE
        && context.nowMs() - leaseStartMs > context.maxLeaseMs();
  }

  private void expire(Machine machine) {
    if (machine.phase() == Machine.Phase.REPORTING) {
      machine.transitionTo(Machine.Phase.LOST);
      machine.tokens().raise(context.nowMs());
      context.aggregatedLog().add("worker lease expired", machine.name(), 1);
    }
    machine.clearImages();
    // A start that was sent for the session that has ended can't be executed in the next one.
    List<Attempt> gone = machine.dropAllAttempts();
    gone.forEach(attempt -> log.debug("attempt ended attempt={} reason=leaseExpired", attempt));
    for (Attempt attempt : gone) {
      context.listener().onAttemptEnded(machine, attempt);
    }
    if (!gone.isEmpty()) {
      context.listener().onFleetChanged();
    }
  }
}
