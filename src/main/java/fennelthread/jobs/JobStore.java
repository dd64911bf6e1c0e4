package fennelthread.jobs;

import fennelthread.net.EventLoop;
import fennelthread.settings.Settings;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.SizeLimits;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import fennelthread.wire.WireException;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Accepts, cancels and looks up jobs on any controller, whether or not it is the leader.
 * Submissions and cancellations are conditional on the revisions of the job's records in the state
 * service, and a lookup reads or confirms them unless the job is final, so that no controller
 * reports an older state than another has reported. docs/lost-answers.md explains what happens when
 * an answer of the state service is lost.
 *
 * <p>Used on the event loop's thread only. Each callback is called once on that thread, possibly
 * before the method returns.
 */
public final class JobStore {
  private final EventLoop eventLoop;
  private final JobTable table;
  private final SizeLimits limits;
  private final FinalRecords finalRecords;
  private final JobQueries queries;
  private final DependencyTracker dependencyTracker;
  private final DependencyChecker dependencyChecker;
  private final JobCanceller canceller;
  private final DependentJobLookup lookup;
  private final JobAcceptor acceptor;

  /** Creates a store over the replica and the table that decodes its records. */
  public JobStore(
      EventLoop eventLoop,
      StateClient state,
      Replica replica,
      JobTable table,
      Settings settings,
      CancellationListener cancellationListener) {
    this.eventLoop = eventLoop;
    this.table = table;
    this.limits = state.limits();
    this.finalRecords = new FinalRecords(state, cancellationListener);
    this.queries = new JobQueries(eventLoop, state, replica, table, finalRecords);
    this.dependencyTracker =
        new DependencyTracker(eventLoop, replica, table, settings, finalRecords);
    DependencyGraph graph = dependencyTracker.graph();
    finalRecords.setListener(graph::onFinalRecord);
    this.dependencyChecker =
        new DependencyChecker(eventLoop, state, table, finalRecords, queries, dependencyTracker);
    this.canceller = new JobCanceller(eventLoop, state, replica, finalRecords, queries, graph);
    this.lookup =
        new DependentJobLookup(
            eventLoop, table, queries, graph, dependencyTracker.resolver(), canceller);
    this.acceptor = new JobAcceptor(state, this::isKnownAccepted, canceller::onJobsFinal);
  }

  /** The dependencies among live jobs. */
  public DependencyTracker dependencyTracker() {
    return dependencyTracker;
  }

  /**
   * Encodes the records of a job that is to be accepted.
   *
   * @throws WireException naming the field that is too large for the state service
   */
  public Submission prepareSubmission(JobSpec spec) throws WireException {
    return new Submission(spec, JobRecordCodec.encode(spec, eventLoop.wallMs(), limits), null);
  }

  /**
   * Returns the submission of a job that depends on a cancelled one: its final record is written in
   * place of a live one. If a live record were written first, a lookup could still report the job
   * as pending after the user was told that it is cancelled.
   */
  public Submission prepareCancelledSubmission(Submission submission) {
    FinalRecord finalRecord = new FinalRecord(JobState.CANCELLED, 0, eventLoop.wallMs());
    String key = Keys.finalJob(submission.spec().id());
    return new Submission(submission.spec(), Map.of(key, finalRecord.encode()), finalRecord);
  }

  /** Empties the caches to free memory; their contents can be read again. */
  public void evictCaches() {
    finalRecords.evictAll();
  }

  /** The number of records, submissions and queries in memory, as key=value pairs for the log. */
  public String memoryUsage() {
    return "finalRecords="
        + finalRecords.size()
        + " queuedSubmissions="
        + acceptor.queuedSubmissions()
        + " queuedQueries="
        + queries.queuedQueries();
  }

  /**
   * True if the replica or the cache of final records holds the job. If false, the job may still
   * have been accepted, since the replica may lag behind.
   */
  public boolean isKnownAccepted(String id) {
    return table.get(id) != null || finalRecords.cached(id).isPresent();
  }

  /** Checks that every dependency of a submission was accepted. */
  public void checkDependencies(JobSpec spec, Consumer<DependencyCheckResult> done) {
    dependencyChecker.check(spec, done);
  }

  /** Accepts a validated job; {@code done} gets the outcome. */
  public void accept(Submission submission, Consumer<AcceptResult> done) {
    acceptor.accept(submission, done);
  }

  /**
   * Looks up a job's current state. A job that is to be cancelled because of a dependency is
   * cancelled before the answer, so that the answer does not depend on whether there is a leader.
   */
  public void lookup(String id, Consumer<LookupResult> done) {
    lookup.lookup(id, done);
  }

  /**
   * Cancels a job unless it is final; {@code done} gets its final record, {@code Unknown} or {@code
   * Unavailable}.
   */
  public void cancel(String id, Consumer<LookupResult> done) {
    canceller.cancel(id, done);
  }

  /**
   * Cancels jobs that are to be cancelled because of a dependency; callers repeat the call until
   * none is left.
   */
  public void cancelDependentJobs() {
    canceller.cancelDependentJobs();
  }

  /** Adds the changes that make a live job final, on condition that its record is unchanged. */
  public static void addFinalRecord(Txn txn, Job job, FinalRecord finalRecord) {
    JobCanceller.addFinalRecord(txn, job, finalRecord);
  }

  /**
   * Updates the cache of final records and the replica after a transaction that was applied at a
   * revision and made these jobs final.
   */
  public void onJobsFinal(Txn txn, long revision, Map<String, FinalRecord> writtenRecords) {
    canceller.onJobsFinal(txn, revision, writtenRecords);
  }
}
