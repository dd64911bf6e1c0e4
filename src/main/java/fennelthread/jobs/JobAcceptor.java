package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.state.Keys;
import fennelthread.state.Limits;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.state.Unavailability;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Accepts checked jobs, each with one durable write on condition that neither a live nor a final
 * record of its id exists; several that wait share one transaction.
 *
 * <p>A transaction that gets no answer is settled while its users still wait: if the copy of the
 * state shows the record by then, it was applied; if not, it is sent again. However often it is
 * sent, the conditions let it be applied once, and a late one never after the job's end.
 */
final class JobAcceptor {
  /** Told of a transaction that was applied. */
  @FunctionalInterface
  interface Applied {
    /** It was applied at this revision and made these jobs final. */
    void applied(Txn txn, long revision, Map<String, FinalRecord> ends);
  }

  private enum Phase {
    /** Waits for its first or next transaction. */
    QUEUED,
    /** In a transaction that is under way. */
    SENT,
    /** Its callers were told. */
    TOLD
  }

  private static final class Pending {
    final Submission job;
    final int bytes;
    final List<Consumer<AcceptResult>> callers = new ArrayList<>();
    final List<Consumer<AcceptResult>> lateCallers = new ArrayList<>();
    Phase phase = Phase.QUEUED;
    int sends;

    /** Refused together with others for its size or theirs. */
    boolean alone;

    Pending(Submission job) {
      this.job = job;
      this.bytes = job.bytes();
    }

    String id() {
      return job.spec().id();
    }

    void moveTo(Phase next) {
      if (phase == Phase.TOLD || phase == next) {
        throw new IllegalStateException(id() + ": " + phase + " -> " + next);
      }
      phase = next;
    }
  }

  /** One transaction with the jobs in it, each with the number of the sending that it is. */
  private static final class Batch {
    final Txn txn = new Txn();
    final Map<Pending, Integer> jobs = new LinkedHashMap<>();
    boolean holdsSlot = true;

    /** True if this is the last sending of the job, and its callers wait for it. */
    boolean decides(Pending p) {
      return p.phase == Phase.SENT && p.sends == jobs.get(p);
    }
  }

  private final StateClient state;
  private final Limits limits;
  private final Predicate<String> isKnown;
  private final Applied onApplied;
  private final Map<String, Pending> pending = new HashMap<>();
  private final Map<String, Pending> queue = new LinkedHashMap<>();
  private int underWay;

  /** Creates an empty queue; {@code isKnown} tells whether a job's record is known here. */
  JobAcceptor(StateClient state, Predicate<String> isKnown, Applied onApplied) {
    this.state = state;
    this.limits = state.limits();
    this.isKnown = isKnown;
    this.onApplied = onApplied;
  }

  /** How many wait for a transaction. */
  int waiting() {
    return queue.size();
  }

  /** Accepts a job. */
  void accept(Submission job, Consumer<AcceptResult> done) {
    String id = job.spec().id();
    if (isKnown.test(id)) {
      // A transaction would fail with all that share it, and count against the write limit too.
      done.accept(new AcceptResult.AlreadyAccepted());
      return;
    }
    Pending known = pending.get(id);
    if (known != null) {
      // What was sent before this caller came may be applied before it came too, and the job be
      // cancelled since: such a caller is told what the job is now, not that it was accepted.
      (known.sends == 0 ? known.callers : known.lateCallers).add(done);
      return;
    }
    Unavailability why =
        queue.size() >= JobConstants.ACCEPT_QUEUE
            ? Unavailability.BUSY
            : state.whyNotSoon(1 + queue.size());
    if (why != null) {
      done.accept(new AcceptResult.Unavailable(why));
      return;
    }
    Pending next = new Pending(job);
    next.callers.add(done);
    pending.put(id, next);
    queue.put(id, next);
    sendNext();
  }

  private void sendNext() {
    if (underWay >= JobConstants.ACCEPTS_AT_ONCE || queue.isEmpty()) {
      return;
    }
    Batch batch = nextBatch();
    underWay++;
    state.txn(
        StateClient.Lane.ANSWER,
        batch.txn,
        () -> overdue(batch),
        result -> {
          release(batch);
          answered(batch, result);
          sendNext();
        });
  }

  private Batch nextBatch() {
    Batch batch = new Batch();
    int bytes = 0;
    boolean alone = false;
    for (Pending p : queue.values()) {
      bytes += p.bytes;
      boolean fits =
          !alone
              && !p.alone
              && batch.txn.ops() + p.job.records().size() <= limits.txnOps()
              && bytes <= limits.txnBytes();
      if (!batch.jobs.isEmpty() && !fits) {
        break;
      }
      alone = p.alone;
      batch.txn.when(Keys.job(p.id()), 0).when(Keys.finalJob(p.id()), 0);
      p.job.records().forEach(batch.txn::write);
      batch.jobs.put(p, ++p.sends);
    }
    for (Pending p : batch.jobs.keySet()) {
      queue.remove(p.id());
      p.moveTo(Phase.SENT);
    }
    return batch;
  }

  private void release(Batch batch) {
    if (batch.holdsSlot) {
      batch.holdsSlot = false;
      underWay--;
    }
  }

  /** The answer stays away: a lost one must not hold up the others, nor its own users. */
  private void overdue(Batch batch) {
    release(batch);
    for (Pending p : batch.jobs.keySet()) {
      if (!batch.decides(p)) {
        continue;
      }
      if (isKnown.test(p.id())) {
        tell(p, new AcceptResult.AlreadyAccepted());
      } else if (p.sends < JobConstants.ANSWER_TRIES && state.answersSoon(p.job.records().size())) {
        again(p);
      }
    }
    sendNext();
  }

  private void answered(Batch batch, TxnResult result) {
    if (result instanceof TxnResult.Applied applied) {
      Map<String, FinalRecord> ends = new HashMap<>();
      for (Pending p : batch.jobs.keySet()) {
        if (p.job.end() != null) {
          ends.put(p.id(), p.job.end());
        }
      }
      onApplied.applied(batch.txn, applied.revision(), ends);
      batch.jobs.keySet().forEach(p -> tell(p, new AcceptResult.Accepted()));
    } else if (result instanceof TxnResult.Conflict conflict) {
      conflicted(batch, new HashSet<>(conflict.failed()));
    } else if (result instanceof TxnResult.TooLarge) {
      tooLarge(batch);
    } else {
      giveUp(batch, Unavailability.of(result));
    }
  }

  private void conflicted(Batch batch, Set<String> failed) {
    if (failed.isEmpty()) {
      giveUp(batch, Unavailability.REFUSED);
      return;
    }
    for (Pending p : batch.jobs.keySet()) {
      if (failed.contains(Keys.job(p.id())) || failed.contains(Keys.finalJob(p.id()))) {
        tell(p, new AcceptResult.AlreadyAccepted());
      } else if (batch.decides(p)) {
        again(p);
      }
    }
  }

  private void tooLarge(Batch batch) {
    for (Pending p : batch.jobs.keySet()) {
      if (!batch.decides(p)) {
        continue;
      }
      if (batch.jobs.size() == 1) {
        tell(p, new AcceptResult.TooLarge());
      } else {
        // Whichever is too large must not be refused together with the others for ever.
        p.alone = true;
        again(p);
      }
    }
  }

  private void giveUp(Batch batch, Unavailability why) {
    for (Pending p : batch.jobs.keySet()) {
      if (batch.decides(p)) {
        tell(p, new AcceptResult.Unavailable(why));
      }
    }
  }

  private void again(Pending p) {
    p.moveTo(Phase.QUEUED);
    queue.put(p.id(), p);
  }

  private void tell(Pending p, AcceptResult outcome) {
    if (p.phase == Phase.TOLD) {
      return;
    }
    p.moveTo(Phase.TOLD);
    pending.remove(p.id());
    queue.remove(p.id());
    p.callers.forEach(c -> c.accept(outcome));
    AcceptResult late =
        outcome instanceof AcceptResult.Accepted ? new AcceptResult.AlreadyAccepted() : outcome;
    p.lateCallers.forEach(c -> c.accept(late));
  }
}
