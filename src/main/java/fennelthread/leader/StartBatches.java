package fennelthread.leader;

import fennelthread.fleet.Attempt;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.Machine;
import fennelthread.jobs.StartRecord;
import fennelthread.jobs.StartRecordPacker;
import fennelthread.plan.PlacementPlan;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.SizeLimits;
import fennelthread.state.Txn;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Turns a round's planned starts into attempts and one fenced transaction, and sends the starts
 * once it is committed.
 */
final class StartBatches {
  private static final Logger log = LoggerFactory.getLogger(StartBatches.class);

  /** The attempts of one round, and the transaction that records their starts. */
  record Batch(Txn txn, Map<Machine, List<Attempt>> attemptsByMachine) {}

  private final Replica replica;
  private final SizeLimits limits;
  private final LeaderLease lease;
  private final Fleet fleet;
  private final ActiveJobs activeJobs;
  private final StartRecordKeys keys;

  StartBatches(LeaderContext context, TermState term, StartRecordKeys keys) {
    this.replica = context.replica();
    this.limits = context.state().limits();
    this.lease = context.lease();
    this.fleet = term.fleet();
    this.activeJobs = term.activeJobs();
    this.keys = keys;
  }

  /**
   * Creates the attempts of as many starts as one transaction holds; later rounds plan the rest.
   */
  Batch prepare(List<PlacementPlan.Start> starts) {
    Batch batch = new Batch(lease.fencedTxn(), new LinkedHashMap<>());
    StartRecordPacker packer =
        new StartRecordPacker(limits.maxValueBytes(), limits.maxTxnChanges());
    Set<String> jobs = new HashSet<>();
    for (PlacementPlan.Start start : starts) {
      addIfFits(start, batch, packer, jobs);
    }
    for (StartRecord record : packer.records()) {
      addRecord(record, batch.txn());
    }
    return batch;
  }

  private void addIfFits(
      PlacementPlan.Start start, Batch batch, StartRecordPacker packer, Set<String> jobs) {
    String id = start.spec().id();
    Txn txn = batch.txn();
    Machine machine = fleet.findMachine(start.machine());
    boolean needsCondition = !jobs.contains(id);
    // Each of the records, at most one per change, may need a condition of its own as well.
    if ((needsCondition
            && txn.conditionCount() + limits.maxTxnChanges() >= limits.maxTxnConditions())
        || !packer.tryReserve(start.spec(), start.task(), machine.name(), machine.session())) {
      return;
    }
    ActiveJob activeJob = activeJobs.get(id);
    if (jobs.add(id)) {
      // The whole transaction fails if the job is cancelled meanwhile.
      txn.requireRevision(Keys.job(id), activeJob.job().revision());
    }
    Attempt attempt = fleet.createAttempt(machine, start.spec(), start.task());
    activeJob.attach(attempt);
    batch.attemptsByMachine().computeIfAbsent(machine, k -> new ArrayList<>()).add(attempt);
    packer.add(attempt.start());
  }

  private void addRecord(StartRecord record, Txn txn) {
    String key = keys.takeFree();
    if (key == null) {
      key = keys.allocate();
    } else {
      // An earlier round's transaction without an answer may still be applied: it must not
      // overwrite this record.
      txn.requireRevision(key, replica.revisionOf(key));
    }
    keys.markBeingWritten(key);
    txn.write(key, record.encode());
  }

  /**
   * Queues the starts of a committed batch, unless the lease no longer allows starts: the local
   * lease may have expired while the transaction was in flight, even though it was committed.
   */
  void send(Batch batch) {
    if (!lease.mayStartTasks()) {
      log.info("round abandoned epoch={} reason=leaseDoesNotAllowStarts", lease.epoch());
      discard(batch);
      return;
    }
    batch.attemptsByMachine().forEach(this::send);
  }

  private void send(Machine machine, List<Attempt> attempts) {
    attempts.removeIf(attempt -> attempt.phase() != Attempt.Phase.CREATED);
    for (Attempt attempt : List.copyOf(attempts)) {
      if (activeJobs.jobOf(attempt) == null) {
        fleet.discardUnsent(machine, attempt);
        attempts.remove(attempt);
      }
    }
    if (!attempts.isEmpty()
        && machine.session() == attempts.get(0).start().session()
        && machine.phase() == Machine.Phase.REPORTING) {
      fleet.queueStarts(machine, attempts);
    } else {
      discard(machine, attempts);
    }
  }

  /** Drops the attempts of a batch whose starts are not sent. */
  void discard(Batch batch) {
    batch.attemptsByMachine().forEach(this::discard);
  }

  private void discard(Machine machine, List<Attempt> attempts) {
    for (Attempt attempt : attempts) {
      fleet.discardUnsent(machine, attempt);
      ActiveJob activeJob = activeJobs.jobOf(attempt);
      if (activeJob != null) {
        activeJob.detach(attempt);
      }
    }
  }
}
