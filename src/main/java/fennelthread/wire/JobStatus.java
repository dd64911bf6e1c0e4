package fennelthread.wire;

import java.util.ArrayList;
import java.util.List;

/**
 * The answer to a user's question about a job.
 *
 * @param done the number of finished tasks, for display
 * @param running the number of started tasks, for display
 * @param unmet the dependencies that the job still waits for
 */
public record JobStatus(String id, JobState state, long done, long running, List<String> unmet) {

  /** Writes the answer to an accepted submission: only id and state. */
  public static Fields accepted(String id, JobState state) {
    return Fields.create().with("name_id", id).with("estado", state.wireName());
  }

  /** Writes the status; the field for dependencies is left out if none is unmet. */
  public Fields write() {
    Fields body = accepted(id, state).with("done", done).with("running", running);
    return unmet.isEmpty() ? body : body.with(JobSpec.DEPENDENCIES, new ArrayList<Object>(unmet));
  }
}
