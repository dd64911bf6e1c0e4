package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.util.BitSet;
import java.util.List;

/** An accepted job that is neither done nor cancelled, as the state service holds it. */
public final class Job {
  private final JobSpec spec;
  private final long revision;
  private final long acceptedWallMs;
  private final BitSet finished = new BitSet();

  Job(JobSpec spec, long revision, long acceptedWallMs) {
    this.spec = spec;
    this.revision = revision;
    this.acceptedWallMs = acceptedWallMs;
  }

  /** What the user submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** The revision of its record: the condition for making it final. */
  public long revision() {
    return revision;
  }

  /** The time of day at which it was accepted, ms. */
  public long acceptedWallMs() {
    return acceptedWallMs;
  }

  /** The tasks whose completion is durable, by index. */
  public BitSet finishedTasks() {
    return finished;
  }

  /** The number of keys for its finished tasks; none if its final record is all that is written. */
  int chunks() {
    return spec.service() || spec.tasks() == 1
        ? 0
        : (spec.tasks() + JobConstants.TASKS_PER_CHUNK - 1) / JobConstants.TASKS_PER_CHUNK;
  }

  /** The same job with all its dependencies. */
  Job withDependencies(List<String> dependencies) {
    return new Job(spec.withDependencies(dependencies), revision, acceptedWallMs);
  }

  /** Adds the finished tasks of one chunk's record. */
  void addFinishedChunk(int chunk, Fields value) throws WireException {
    FinishedTasksCodec.decodeInto(finished, chunk, value);
  }
}
