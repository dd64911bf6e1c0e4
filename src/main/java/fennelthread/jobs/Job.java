package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.util.BitSet;
import java.util.List;

/**
 * A live job: accepted, and neither done nor cancelled. Decoded from its records in the state
 * service.
 */
public final class Job {
  private final JobSpec spec;
  private final long revision;
  private final long acceptedWallMs;
  private final int missingDependencyParts;
  private final BitSet finished = new BitSet();

  /** Creates a job without finished tasks whose specification holds all its dependencies. */
  Job(JobSpec spec, long revision, long acceptedWallMs) {
    this(spec, revision, acceptedWallMs, 0);
  }

  /**
   * Creates a job without finished tasks.
   *
   * @param missingDependencyParts the number of further records that hold dependencies which the
   *     specification lacks
   */
  Job(JobSpec spec, long revision, long acceptedWallMs, int missingDependencyParts) {
    this.spec = spec;
    this.revision = revision;
    this.acceptedWallMs = acceptedWallMs;
    this.missingDependencyParts = missingDependencyParts;
  }

  /** What the user submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** The revision of its live record, which must be unchanged when the job is made final. */
  public long revision() {
    return revision;
  }

  /** The wall-clock time at which it was accepted, ms. */
  public long acceptedWallMs() {
    return acceptedWallMs;
  }

  /** The tasks whose completion is stored in the state service, by index. */
  public BitSet finishedTasks() {
    return finished;
  }

  /**
   * The number of keys that hold its finished tasks; 0 for a service and for a job of one task,
   * since only their final records are written.
   */
  int chunkCount() {
    return spec.service() || spec.tasks() == 1
        ? 0
        : (spec.tasks() + JobConstants.TASKS_PER_CHUNK - 1) / JobConstants.TASKS_PER_CHUNK;
  }

  /** The number of further records that hold dependencies which the specification lacks. */
  int missingDependencyParts() {
    return missingDependencyParts;
  }

  /** True if the job depends on others, whether or not the specification holds all of them. */
  boolean hasDependencies() {
    return missingDependencyParts > 0 || !spec.dependencies().isEmpty();
  }

  /** Returns the same job with all its dependencies, without finished tasks. */
  Job withDependencies(List<String> dependencies) {
    return new Job(spec.withDependencies(dependencies), revision, acceptedWallMs);
  }

  /** Adds the finished tasks of one chunk's record. */
  void addFinishedChunk(int chunk, Fields value) throws WireException {
    FinishedTasksCodec.decodeInto(finished, chunk, value);
  }
}
