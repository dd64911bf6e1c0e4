package fennelthread.wire;

import java.util.ArrayList;
import java.util.List;

/**
 * A job's state as users are told it; {@code done} and {@code running} count tasks for display,
 * {@code unmet} are the jobs it still waits for.
 */
public record JobStatus(String id, JobState state, long done, long running, List<String> unmet) {

  /** The short form that answers an acceptance: an id and a state. */
  public static Fields accepted(String id, JobState state) {
    return Fields.create().with("name_id", id).with("estado", state.wireName());
  }

  /** Writes the whole form. */
  public Fields write() {
    Fields body = accepted(id, state).with("done", done).with("running", running);
    return unmet.isEmpty() ? body : body.with(JobSpec.DEPENDENCIES, new ArrayList<Object>(unmet));
  }
}
