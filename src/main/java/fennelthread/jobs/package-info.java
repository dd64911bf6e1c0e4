/**
 * Jobs and their records in the state service, on every controller, whether or not it is the
 * leader.
 *
 * <p>The package owns the stored form of jobs ({@link fennelthread.jobs.FinalRecord}, {@link
 * fennelthread.jobs.StartRecord} and the codecs beside them), the copy of them that is decoded from
 * the replica ({@link fennelthread.jobs.JobTable}), and the dependencies among them ({@link
 * fennelthread.jobs.DependencyGraph}). {@link fennelthread.jobs.JobStore} is the entry point: it
 * accepts, cancels and looks up jobs. Submissions and cancellations are conditional on the
 * revisions of the job's records in the state service, and a lookup reads or confirms them unless
 * the job is final. So submissions are idempotent, and no controller answers with an older state
 * than another has given.
 *
 * <p>All of it runs on the controller's event loop; nothing here is thread-safe, and nothing
 * blocks.
 */
package fennelthread.jobs;
