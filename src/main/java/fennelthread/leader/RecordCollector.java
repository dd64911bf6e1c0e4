package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.fleet.Attempt;
import fennelthread.fleet.Fleet;
import fennelthread.jobs.JobTable;
import fennelthread.jobs.StartRecord;
import fennelthread.jobs.StartRecordPacker;
import fennelthread.net.EventLoop;
import fennelthread.state.Keys;
import fennelthread.state.Limits;
import fennelthread.state.Replica;
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
 * Keeps what is stored as small as what lives, however long the day: removes records without live
 * attempts and what is left of jobs that are final, and draws records together of which little
 * lives.
 */
final class RecordCollector {
  private static final Logger log = LoggerFactory.getLogger(RecordCollector.class);

  private final EventLoop eventLoop;
  private final StateClient state;
  private final Limits limits;
  private final Replica replica;
  private final JobTable table;
  private final Lease lease;
  private final Fleet fleet;
  private final SchedulingLoop rounds;
  private final SpareKeys spare;
  private boolean sweeping;
  private long sweptAt;

  RecordCollector(
      EventLoop eventLoop,
      StateClient state,
      Replica replica,
      JobTable table,
      Lease lease,
      Fleet fleet,
      SchedulingLoop rounds,
      SpareKeys spare) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.limits = state.limits();
    this.replica = replica;
    this.table = table;
    this.lease = lease;
    this.fleet = fleet;
    this.rounds = rounds;
    this.spare = spare;
  }

  /** What one look at all round records found. */
  private static final class Census {
    final List<String> obsolete = new ArrayList<>();
    final Map<String, List<StartRecord.Start>> sparse = new LinkedHashMap<>();
    int starts;
    int live;
  }

  /** Removes some, if it is time to. */
  void tick() {
    if (sweeping
        || !lease.mayStartTasks()
        || eventLoop.nowMs() - sweptAt < LeaderConstants.COLLECTION_INTERVAL_MS) {
      return;
    }
    sweptAt = eventLoop.nowMs();
    Census census = look();
    boolean tooMany = tooMany(census);
    Txn txn = lease.fencedTxn();
    int most = limits.txnOps();
    for (String key : census.obsolete) {
      if (txn.ops() < most) {
        txn.remove(key);
      }
    }
    while (spare.size() > LeaderConstants.MAX_FREE_RECORD_KEYS && txn.ops() < most) {
      // A removal that got no answer may be applied late: not to what a round has written there
      // since.
      String key = spare.take();
      txn.when(key, replica.revisionOf(key)).remove(key);
    }
    addLeftOvers(txn, most, Keys.FINISHED);
    addLeftOvers(txn, most, Keys.DEPENDENCIES);
    boolean compacting = tooMany && txn.ops() <= most / 2 && compact(census, txn, most);
    if (txn.ops() == 0) {
      return;
    }
    sweeping = true;
    state.txn(
        // Removals can wait, but not until what piles up is what the processes can't hold any more.
        tooMany ? StateClient.Lane.ROUND : StateClient.Lane.UPKEEP,
        txn,
        result -> {
          sweeping = false;
          if (result instanceof TxnResult.Applied applied) {
            replica.applied(txn, applied.revision());
            if (compacting) {
              log.debug(
                  "{} round records with {} starts, of which {} live, drawn together",
                  table.startRecords().size(),
                  census.starts,
                  census.live);
            }
            if (txn.ops() >= most) {
              // More is left: rounds are written faster than one sweep a pause removes them.
              sweptAt = Long.MIN_VALUE / 2;
            }
          } else {
            lease.onTxnRejected(result);
          }
        });
  }

  /** One look at every record: offers those of ours that nobody needs, and counts. */
  private Census look() {
    Census census = new Census();
    String ours = Keys.rounds(lease.epoch());
    int fewLive = recordCapacity() / LeaderConstants.SPARSE_RECORD_DIVISOR;
    for (Map.Entry<String, StartRecord> e : table.startRecords().entrySet()) {
      if (rounds.isWriting(e.getKey())) {
        // It may be in the replica before its attempts are.
        continue;
      }
      List<StartRecord.Start> starts = e.getValue().starts();
      List<StartRecord.Start> live = null;
      for (StartRecord.Start s : starts) {
        Attempt a = fleet.findAttempt(s.machine(), s.task(), s.attempt());
        if (a != null && a.mayBePresent()) {
          live = live == null ? new ArrayList<>(2) : live;
          live.add(s);
        }
      }
      census.starts += starts.size();
      if (live == null) {
        if (e.getKey().startsWith(ours)) {
          spare.offer(e.getKey());
        } else {
          census.obsolete.add(e.getKey());
        }
        continue;
      }
      census.live += live.size();
      if (live.size() <= fewLive) {
        census.sparse.put(e.getKey(), live);
      }
    }
    return census;
  }

  /** How many starts a full record holds, more or less. */
  private int recordCapacity() {
    return Math.max(1, limits.valueBytes() / LeaderConstants.RECORD_BYTES_PER_START);
  }

  /** True if the records are many times what their live starts would fill. */
  private boolean tooMany(Census census) {
    int needed = 1 + census.live / recordCapacity();
    return table.startRecords().size() - spare.size()
            > LeaderConstants.MAX_RECORDS_PER_NEEDED * needed + LeaderConstants.RECORD_COUNT_SLACK
        || census.starts
            > LeaderConstants.MAX_RECORDS_PER_NEEDED * census.live
                + LeaderConstants.START_COUNT_SLACK;
  }

  /**
   * Carries what lives of sparse records into new ones and removes the old ones in the same
   * transaction, so that a successor reads either. Each old record must be what we have read, and
   * the new key free: a transaction without an answer may be applied late, when the same starts
   * were drawn together again and have ended since.
   */
  private boolean compact(Census census, Txn txn, int most) {
    StartRecordPacker packer = new StartRecordPacker(limits.valueBytes(), 1);
    List<String> gone = new ArrayList<>();
    for (Map.Entry<String, List<StartRecord.Start>> e : census.sparse.entrySet()) {
      if (txn.ops() + gone.size() + 2 > most
          || txn.conditions() + gone.size() + 2 > limits.conditions()) {
        break;
      }
      if (!packer.addAll(e.getValue())) {
        break;
      }
      gone.add(e.getKey());
    }
    if (gone.size() < 2) {
      return false;
    }
    String key = rounds.nextKey();
    txn.when(key, 0).write(key, packer.records().get(0).write());
    gone.forEach(old -> txn.when(old, replica.revisionOf(old)).remove(old));
    return true;
  }

  /** Parts of jobs that have no live record; a part may have come before its job has. */
  private void addLeftOvers(Txn txn, int most, String prefix) {
    for (String key : replica.keys(prefix).keySet()) {
      if (txn.ops() >= most || txn.conditions() >= limits.conditions()) {
        return;
      }
      String id = Keys.jobOf(prefix, key);
      if (table.get(id) == null) {
        // Its job came after it, or is over: which of them, the condition tells.
        txn.when(Keys.job(id), 0).remove(key);
      }
    }
  }
}
