package fennelthread.jobs;

import fennelthread.net.EventLoop;
import fennelthread.settings.Settings;
import fennelthread.state.Keys;
import fennelthread.state.Limits;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import fennelthread.wire.WireException;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Acceptance, cancellation and questions, on any controller: each is a comparison with the job's
 * one record in the state service, so that no controller can give an older answer than another
 * gave. What happens when an answer of the state service is lost: docs/answers.md.
 */
public final class JobStore {
  private final EventLoop eventLoop;
  private final JobTable table;
  private final Limits limits;
  private final FinalRecords finals;
  private final JobQueries queries;
  private final DependencyTracker waits;
  private final DependencyCheck needsCheck;
  private final JobCanceller cancellations;
  private final JobAcceptor acceptances;

  /**
   * Creates a store over the given replica; {@code onCancelled} is told of each job before any user
   * is told that it is cancelled.
   */
  public JobStore(
      EventLoop eventLoop,
      StateClient state,
      Replica replica,
      JobTable table,
      Settings settings,
      Consumer<String> onCancelled) {
    this.eventLoop = eventLoop;
    this.table = table;
    this.limits = state.limits();
    this.finals = new FinalRecords(state, onCancelled);
    this.queries = new JobQueries(state, replica, table, finals);
    this.waits = new DependencyTracker(eventLoop, table, settings, ends());
    finals.listen(waits::learned);
    this.needsCheck = new DependencyCheck(state, table, finals, queries, waits);
    this.cancellations = new JobCanceller(eventLoop, state, replica, finals, queries, waits);
    this.acceptances = new JobAcceptor(state, this::isKnown, cancellations::onJobsFinal);
  }

  private DependencyTracker.Ends ends() {
    return new DependencyTracker.Ends() {
      @Override
      public FinalRecord known(String id) {
        return finals.known(id);
      }

      @Override
      public void read(String id, Consumer<FinalRecord> done) {
        finals.read(id, found -> done.accept(found instanceof FinalRecord f ? f : null));
      }
    };
  }

  /** Which jobs wait for which. */
  public DependencyTracker dependencies() {
    return waits;
  }

  /**
   * Makes the records of a job that is to be accepted.
   *
   * @throws WireException naming the field that is too large for the state service
   */
  public Submission prepare(JobSpec spec) throws WireException {
    return new Submission(spec, Job.write(spec, eventLoop.wallMs(), limits), null);
  }

  /**
   * The same job, accepted and cancelled in one: it names a cancelled one. Accepted as pending
   * first, it would be called so long after its user was told of the cancellation.
   */
  public Submission cancelled(Submission job) {
    FinalRecord end = new FinalRecord(JobState.CANCELLED, 0, eventLoop.wallMs());
    return new Submission(job.spec(), Map.of(Keys.finalJob(job.spec().id()), end.write()), end);
  }

  /** Gives up what can be read again. */
  public void shed() {
    finals.shed();
  }

  /** How much is held, for a line of the log. */
  public String memoryUsage() {
    return finals.size()
        + " final answers, "
        + acceptances.waiting()
        + " submissions and "
        + queries.waiting()
        + " questions waiting";
  }

  /** True if this controller knows without asking that the job was accepted. */
  public boolean isKnown(String id) {
    return table.get(id) != null || finals.known(id) != null;
  }

  /** Checks that every job that a submission needs was accepted. */
  public void checkDependencies(JobSpec spec, Consumer<DependencyCheckResult> done) {
    needsCheck.check(spec, done);
  }

  /** Accepts a checked job with one durable write. */
  public void accept(Submission job, Consumer<AcceptResult> done) {
    acceptances.accept(job, done);
  }

  /**
   * Asks for a job's current state. A job that is to be cancelled with one that it needs is
   * cancelled before the answer, so that this does not depend on a leader being there.
   */
  public void lookup(String id, Consumer<LookupResult> done) {
    queries.ask(
        id,
        found -> {
          if (found instanceof LookupResult.Live && waits.graph().isDoomed(id)) {
            cancel(id, done);
          } else {
            done.accept(found);
          }
        });
  }

  /** Cancels a job unless it is done: gets what the job is from now on. */
  public void cancel(String id, Consumer<LookupResult> done) {
    cancellations.cancel(id, done);
  }

  /** Cancels the jobs that are to be cancelled with others, some at a time. */
  public void cancelDependentJobs() {
    cancellations.cancelDependentJobs();
  }

  /** Adds the changes that make a live job final, on condition that it still is what is known. */
  public static void addFinalRecord(Txn txn, Job job, FinalRecord end) {
    JobCanceller.addFinalRecord(txn, job, end);
  }

  /** Takes note of a transaction that made jobs final. */
  public void onJobsFinal(Txn txn, long revision, Map<String, FinalRecord> ends) {
    cancellations.onJobsFinal(txn, revision, ends);
  }
}
