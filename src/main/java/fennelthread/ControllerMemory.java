package fennelthread;

import fennelthread.control.CurrentTerm;
import fennelthread.control.KnownWorkers;
import fennelthread.health.MemoryConsumer;

/** The heap use of one controller's subsystems; the caches of the job store can be evicted. */
final class ControllerMemory implements MemoryConsumer {
  private final ReplicatedRecords records;
  private final KnownWorkers workers;
  private final CurrentTerm term;

  ControllerMemory(ReplicatedRecords records, KnownWorkers workers, CurrentTerm term) {
    this.records = records;
    this.workers = workers;
    this.term = term;
  }

  @Override
  public void evictCaches() {
    records.store().evictCaches();
  }

  @Override
  public String memoryUsage() {
    return records.memoryUsage()
        + " knownAddresses="
        + workers.addressCount()
        + " "
        + term.memoryUsage();
  }
}
