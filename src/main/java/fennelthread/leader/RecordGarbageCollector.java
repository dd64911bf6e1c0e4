package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.fleet.Attempt;
import fennelthread.fleet.Fleet;
import fennelthread.jobs.JobTable;
import fennelthread.jobs.StartRecord;
import fennelthread.jobs.StartRecordPacker;
import fennelthread.net.EventLoop;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.RequestPriority;
import fennelthread.state.SizeLimits;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Garbage collector of the live records: keeps their size proportional to what is live, however
 * long the service runs. Removes start records without live attempts and leftover records of jobs
 * that are over, and compacts start records with few live attempts.
 */
final class RecordGarbageCollector {
  private static final Logger log = LoggerFactory.getLogger(RecordGarbageCollector.class);

  private final EventLoop eventLoop;
  private final StateClient state;
  private final SizeLimits limits;
  private final Replica replica;
  private final JobTable table;
  private final LeaderLease lease;
  private final Fleet fleet;
  private final StartRecordKeys keys;
  private boolean isWriting;
  private long lastCollectionMs;

  RecordGarbageCollector(LeaderContext context, JobTable table, Fleet fleet, StartRecordKeys keys) {
    this.eventLoop = context.eventLoop();
    this.state = context.state();
    this.limits = state.limits();
    this.replica = context.replica();
    this.table = table;
    this.lease = context.lease();
    this.fleet = fleet;
    this.keys = keys;
  }

  /** The result of one pass over all start records. */
  private static final class Survey {
    /** Keys of records of earlier terms that hold no live start. */
    final List<String> obsolete = new ArrayList<>();

    /** The live starts of records with few of them, by key. */
    final Map<String, List<StartRecord.Start>> sparse = new LinkedHashMap<>();

    int starts;
    int liveStarts;
  }

  /** Starts a collection if one is due and none is in flight. */
  void collectIfDue() {
    if (isWriting
        || !lease.mayStartTasks()
        || eventLoop.nowMs() - lastCollectionMs < LeaderConstants.COLLECTION_INTERVAL_MS) {
      return;
    }
    lastCollectionMs = eventLoop.nowMs();
    Survey survey = surveyRecords();
    boolean needsCompaction = needsCompaction(survey);
    Txn txn = lease.fencedTxn();
    addObsoleteRecordRemovals(survey, txn);
    addOrphanedRecordRemovals(Keys.FINISHED_TASKS_PREFIX, txn);
    addOrphanedRecordRemovals(Keys.DEPENDENCIES_PREFIX, txn);
    boolean isCompacting =
        needsCompaction
            && txn.changeCount() <= limits.maxTxnChanges() / 2
            && addCompaction(survey, txn);
    if (txn.changeCount() == 0) {
      return;
    }
    isWriting = true;
    state.submitTxn(
        // Removals are not urgent, unless the records take up too much of the controllers' memory.
        needsCompaction ? RequestPriority.SCHEDULING : RequestPriority.MAINTENANCE,
        txn,
        result -> onCollectionAnswered(txn, result, isCompacting, survey));
  }

  private void onCollectionAnswered(
      Txn txn, TxnResult result, boolean isCompacting, Survey survey) {
    isWriting = false;
    if (!(result instanceof TxnResult.Applied applied)) {
      lease.onTxnRejected(result);
      return;
    }
    replica.applyCommitted(txn, applied.revision());
    if (isCompacting) {
      log.debug(
          "start records compacted records={} starts={} liveStarts={}",
          table.startRecords().size(),
          survey.starts,
          survey.liveStarts);
    }
    if (txn.changeCount() >= limits.maxTxnChanges()) {
      // The transaction was full: collect again without waiting for the interval, since records are
      // written faster than one collection per interval removes them.
      lastCollectionMs = Long.MIN_VALUE / 2;
    }
  }

  /** Inspects all start records, and releases the keys of this term's obsolete ones for reuse. */
  private Survey surveyRecords() {
    Survey survey = new Survey();
    int maxSparse = recordCapacity() / LeaderConstants.SPARSE_RECORD_DIVISOR;
    for (Map.Entry<String, StartRecord> entry : table.startRecords().entrySet()) {
      String key = entry.getKey();
      if (keys.isBeingWritten(key)) {
        // The replica may hold the record before its transaction is answered and its attempts are
        // sent.
        continue;
      }
      List<StartRecord.Start> starts = entry.getValue().starts();
      List<StartRecord.Start> live = liveStarts(starts);
      survey.starts += starts.size();
      survey.liveStarts += live.size();
      if (live.isEmpty()) {
        if (keys.isOwn(key)) {
          keys.release(key);
        } else {
          survey.obsolete.add(key);
        }
      } else if (live.size() <= maxSparse) {
        survey.sparse.put(key, live);
      }
    }
    return survey;
  }

  private List<StartRecord.Start> liveStarts(List<StartRecord.Start> starts) {
    List<StartRecord.Start> live = null;
    for (StartRecord.Start start : starts) {
      Attempt attempt = fleet.findAttempt(start.machine(), start.task(), start.attempt());
      if (attempt != null && attempt.mayBePresent()) {
        live = live == null ? new ArrayList<>(2) : live;
        live.add(start);
      }
    }
    return live == null ? List.of() : live;
  }

  /** How many starts a full record holds, approximately. */
  private int recordCapacity() {
    return Math.max(1, limits.maxValueBytes() / LeaderConstants.RECORD_BYTES_PER_START);
  }

  /** True if the records are many times what their live starts would fill. */
  private boolean needsCompaction(Survey survey) {
    int needed = 1 + survey.liveStarts / recordCapacity();
    return table.startRecords().size() - keys.freeCount()
            > LeaderConstants.MAX_RECORDS_PER_NEEDED * needed + LeaderConstants.RECORD_COUNT_SLACK
        || survey.starts
            > LeaderConstants.MAX_RECORDS_PER_NEEDED * survey.liveStarts
                + LeaderConstants.START_COUNT_SLACK;
  }

  /**
   * Adds the removals of obsolete records of earlier terms, and of this term's beyond those kept
   * for reuse.
   */
  private void addObsoleteRecordRemovals(Survey survey, Txn txn) {
    for (String key : survey.obsolete) {
      if (txn.changeCount() < limits.maxTxnChanges()) {
        txn.remove(key);
      }
    }
    while (keys.freeCount() > LeaderConstants.MAX_FREE_RECORD_KEYS
        && txn.changeCount() < limits.maxTxnChanges()) {
      // A removal without an answer may be applied late: it must not remove what a later round has
      // written under the key.
      String key = keys.takeFree();
      txn.requireRevision(key, replica.revisionOf(key)).remove(key);
    }
  }

  /**
   * Adds the move of the live starts of sparse records into one new record. The old records are
   * removed in the same transaction, so that the next leader reads either them or the new one. The
   * transaction requires that the old records are unchanged and the new key is unused: without an
   * answer it may be applied late, after the same starts were compacted again and have ended.
   *
   * @return false if there is nothing to gain; nothing is added then
   */
  private boolean addCompaction(Survey survey, Txn txn) {
    StartRecordPacker packer = new StartRecordPacker(limits.maxValueBytes(), 1);
    List<String> replaced = new ArrayList<>();
    for (Map.Entry<String, List<StartRecord.Start>> record : survey.sparse.entrySet()) {
      if (txn.changeCount() + replaced.size() + 2 > limits.maxTxnChanges()
          || txn.conditionCount() + replaced.size() + 2 > limits.maxTxnConditions()
          || !packer.tryAddAll(record.getValue())) {
        break;
      }
      replaced.add(record.getKey());
    }
    if (replaced.size() < 2) {
      return false;
    }
    String key = keys.allocate();
    txn.requireRevision(key, 0).write(key, packer.records().get(0).encode());
    replaced.forEach(old -> txn.requireRevision(old, replica.revisionOf(old)).remove(old));
    return true;
  }

  /** Adds the removals of the records under a prefix whose jobs no longer have a record. */
  private void addOrphanedRecordRemovals(String prefix, Txn txn) {
    for (String key : replica.revisionsUnder(prefix).keySet()) {
      if (txn.changeCount() >= limits.maxTxnChanges()
          || txn.conditionCount() >= limits.maxTxnConditions()) {
        return;
      }
      String id = Keys.jobIdOf(prefix, key);
      if (table.get(id) == null) {
        // The job is over, or its record has not reached the replica yet: in the second case, the
        // condition makes the transaction fail.
        txn.requireRevision(Keys.job(id), 0).remove(key);
      }
    }
  }
}
