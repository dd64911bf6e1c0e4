package fennelthread.wire;

import java.util.ArrayList;
import java.util.List;

/**
 * The answer to a user's question about a job.
 *
 * @param finishedTasks the number of finished tasks, for display
 * @param startedTasks the number of started tasks, for display
 * @param unmetDependencies the dependencies that the job still waits for
 */
public record JobStatus(
    String id,
    JobState state,
    long finishedTasks,
    long startedTasks,
    List<String> unmetDependencies) {

  /** Writes the answer to an accepted submission: only id and state. */
  public static Fields writeAccepted(String id, JobState state) {
    return Fields.create().with("name_id", id).with("estado", state.wireName());
  }

  /** Writes the status; the field for dependencies is left out if none is unmet. */
  public Fields write() {
    Fields body =
        writeAccepted(id, state).with("done", finishedTasks).with("running", startedTasks);
    return unmetDependencies.isEmpty()
        ? body
        : body.with(JobSpec.DEPENDENCIES, new ArrayList<Object>(unmetDependencies));
  }
}
