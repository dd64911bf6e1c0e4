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
 * Accepts, cancels and looks up jobs on any controller, leading or not. Each of these is a
 * comparison with the job's one record in the state service, so that no controller can give an
 * older answer than another gave. What happens when an answer of the state service is lost:
 * docs/lost-answers.md.
 *
 * <p>Used on the event loop's thread alone. Callbacks are called there once, possibly before the
 * method returns.
 */
public final class JobStore {
  private final EventLoop eventLoop;
  private final JobTable table;
  private final SizeLimits limits;
  private final FinalRecords finalRecords;
  private final JobQueries queries;
  private final DependencyTracker dependencies;
  private final DependencyCheck dependencyCheck;
  private final JobCanceller canceller;
  private final JobAcceptor acceptor;

  /** Creates a store over the given replica and the table that it fills. */
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
    this.queries = new JobQueries(state, replica, table, finalRecords);
    this.dependencies = new DependencyTracker(eventLoop, table, settings, finalRecords);
    DependencyGraph graph = dependencies.graph();
    finalRecords.setListener(graph::onFinalRecord);
    this.dependencyCheck = new DependencyCheck(state, table, finalRecords, queries, graph);
    this.canceller = new JobCanceller(eventLoop, state, replica, finalRecords, queries, graph);
    this.acceptor = new JobAcceptor(state, this::isKnownAccepted, canceller::onJobsFinal);
  }

  /** The dependencies among live jobs. */
  public DependencyTracker dependencyTracker() {
    return dependencies;
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
   * The same submission for a job that depends on a cancelled one: it is accepted and cancelled in
   * one write. Accepted as pending first, it would be reported as pending after its user was told
   * of the cancellation.
   */
  public Submission cancelledOnAcceptance(Submission submission) {
    FinalRecord finalRecord = new FinalRecord(JobState.CANCELLED, 0, eventLoop.wallMs());
    String key = Keys.finalJob(submission.spec().id());
    return new Submission(submission.spec(), Map.of(key, finalRecord.encode()), finalRecord);
  }

  /** Drops what can be read again, to free memory. */
  public void evictCaches() {
    finalRecords.evictAll();
  }

  /** Describes what is held in memory, for one line of the log. */
  public String memoryUsage() {
    return "finalRecords="
        + finalRecords.size()
        + " queuedSubmissions="
        + acceptor.queuedSubmissions()
        + " queuedQueries="
        + queries.queuedQueries();
  }

  /** True if the job was accepted as far as the replica and the cache say; false proves nothing. */
  public boolean isKnownAccepted(String id) {
    return table.get(id) != null || finalRecords.cached(id).isPresent();
  }

  /** Checks that every dependency of a submission was accepted. */
  public void checkDependencies(JobSpec spec, Consumer<DependencyCheckResult> done) {
    dependencyCheck.check(spec, done);
  }

  /** Accepts a validated job with one durable write. */
  public void accept(Submission submission, Consumer<AcceptResult> done) {
    acceptor.accept(submission, done);
  }

  /**
   * Looks up a job's current state. A job that is to be cancelled with a dependency is cancelled
   * before the answer, so that the answer does not depend on a leader being there.
   */
  public void lookup(String id, Consumer<LookupResult> done) {
    queries.lookup(
        id,
        found -> {
          if (found instanceof LookupResult.Live && dependencies.graph().isToBeCancelled(id)) {
            cancel(id, done);
          } else {
            done.accept(found);
          }
        });
  }

  /** Cancels a job unless it is final; {@code done} gets the job's state from then on. */
  public void cancel(String id, Consumer<LookupResult> done) {
    canceller.cancel(id, done);
  }

  /** Cancels some of the jobs that are to be cancelled with a dependency; to be repeated. */
  public void cancelDependentJobs() {
    canceller.cancelDependentJobs();
  }

  /** Adds the changes that make a live job final, on condition that its record is unchanged. */
  public static void addFinalRecord(Txn txn, Job job, FinalRecord finalRecord) {
    JobCanceller.addFinalRecord(txn, job, finalRecord);
  }

  /** Takes note of a transaction that was applied at a revision and made these jobs final. */
  public void onJobsFinal(Txn txn, long revision, Map<String, FinalRecord> written) {
    canceller.onJobsFinal(txn, revision, written);
  }
}
