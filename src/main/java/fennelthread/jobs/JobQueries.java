package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.state.Keys;
import fennelthread.state.Limits;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.state.Unavailability;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Answers what a job is now. What the copy of the state says is answered only after a transaction
 * that merely compares has confirmed the revisions of the job's record and of its finished tasks:
 * so no controller gives an older answer than another gave, nor a lower count. Questions that wait
 * share one such transaction; one without an answer is sent again while the users still wait.
 */
final class JobQueries {
  /** Those who ask about one job, and how often that was sent already. */
  private static final class Question {
    final String id;
    final List<OnceConsumer<LookupResult>> askers = new ArrayList<>();
    int sends;

    Question(String id) {
      this.id = id;
    }

    void tell(LookupResult found) {
      askers.forEach(a -> a.accept(found));
    }

    boolean isAnswered() {
      return askers.stream().allMatch(OnceConsumer::isGiven);
    }
  }

  /** One transaction with the questions in it, and what the copy held of their jobs. */
  private static final class Batch {
    final Txn txn = new Txn();
    final Map<Question, Job> jobs = new LinkedHashMap<>();
    final Set<Question> sentAgain = new HashSet<>();
    boolean holdsSlot = true;
  }

  private final StateClient state;
  private final Replica replica;
  private final JobTable table;
  private final FinalRecords finals;
  private final Limits limits;
  private final JobRecordReader reader;
  private final Map<String, Question> queue = new LinkedHashMap<>();
  private int underWay;

  /** Creates queries over a copy of the state. */
  JobQueries(StateClient state, Replica replica, JobTable table, FinalRecords finals) {
    this.state = state;
    this.replica = replica;
    this.table = table;
    this.finals = finals;
    this.limits = state.limits();
    this.reader = new JobRecordReader(state, replica, table, finals);
  }

  /** How many jobs are asked about and wait for their turn. */
  int waiting() {
    return queue.size();
  }

  /** Reads a job's records, whatever the copy holds. */
  void read(String id, Consumer<LookupResult> done) {
    reader.read(id, done);
  }

  /** Finds out what a job is now. */
  void ask(String id, Consumer<LookupResult> done) {
    FinalRecord known = finals.known(id);
    if (known != null) {
      done.accept(known);
      return;
    }
    Unavailability why = state.whyNotSoon(0);
    if (why != null) {
      done.accept(new LookupResult.Unavailable(why));
      return;
    }
    Job job = table.get(id);
    if (job == null) {
      reader.read(id, done);
    } else if (job.chunks() >= limits.conditions()) {
      reader.readProgress(id, done);
    } else {
      queue.computeIfAbsent(id, Question::new).askers.add(new OnceConsumer<>(done));
      sendNext();
    }
  }

  private void sendNext() {
    if (underWay >= JobConstants.CONFIRMS_AT_ONCE || queue.isEmpty()) {
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
    for (Question q : new ArrayList<>(queue.values())) {
      Job job = table.get(q.id);
      int conditions = job == null ? 0 : 1 + job.chunks();
      if (!batch.jobs.isEmpty() && batch.txn.conditions() + conditions > limits.conditions()) {
        break;
      }
      queue.remove(q.id);
      q.sends++;
      batch.jobs.put(q, job);
      if (job != null) {
        addConditions(batch.txn, job);
      }
    }
    return batch;
  }

  private void addConditions(Txn txn, Job job) {
    String id = job.spec().id();
    txn.when(Keys.job(id), job.revision());
    for (int chunk = 0; chunk < job.chunks(); chunk++) {
      String key = Keys.finished(id, chunk);
      txn.when(key, replica.revisionOf(key));
    }
  }

  private void release(Batch batch) {
    if (batch.holdsSlot) {
      batch.holdsSlot = false;
      underWay--;
    }
  }

  /** The answer stays away: its questions go with the next transaction. */
  private void overdue(Batch batch) {
    release(batch);
    for (Question q : batch.jobs.keySet()) {
      if (q.isAnswered() || q.sends >= JobConstants.ANSWER_TRIES || !state.answersSoon(0)) {
        continue;
      }
      batch.sentAgain.add(q);
      Question next = queue.computeIfAbsent(q.id, Question::new);
      next.sends = Math.max(next.sends, q.sends);
      next.askers.addAll(q.askers);
    }
    sendNext();
  }

  private void answered(Batch batch, TxnResult result) {
    Set<String> failed =
        result instanceof TxnResult.Conflict c ? new HashSet<>(c.failed()) : Set.of();
    batch.jobs.forEach(
        (question, job) -> {
          if (job == null || failed.contains(Keys.job(question.id))) {
            reader.read(question.id, question::tell);
          } else if (isBehind(job, failed)) {
            reader.readProgress(question.id, question::tell);
          } else if (result instanceof TxnResult.Applied || !failed.isEmpty()) {
            // Also if another's condition failed: all were compared at the same moment.
            question.tell(new LookupResult.Live(job));
          } else if (!batch.sentAgain.contains(question)) {
            question.tell(new LookupResult.Unavailable(Unavailability.of(result)));
          }
        });
  }

  /** True if tasks have finished that the copy did not know of. */
  private static boolean isBehind(Job job, Set<String> failed) {
    Set<String> chunks = new LinkedHashSet<>();
    for (int chunk = 0; chunk < job.chunks(); chunk++) {
      chunks.add(Keys.finished(job.spec().id(), chunk));
    }
    return failed.stream().anyMatch(chunks::contains);
  }
}
