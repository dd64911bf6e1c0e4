package fennelthread.jobs;

import fennelthread.state.Unavailability;

/** The outcome of checking the dependencies that a submission names. */
public sealed interface DependencyCheckResult {
  /**
   * Every dependency was accepted, and none is a service.
   *
   * @param cancelled true if one of them was cancelled, or is to be
   */
  record Valid(boolean cancelled) implements DependencyCheckResult {}

  /**
   * A dependency was never accepted, or is a service.
   *
   * @param why the rest of a sentence for the user that begins with the field's name
   */
  record Invalid(String why) implements DependencyCheckResult {}

  /** The state service could not be read; the submission may be repeated. */
  record Unavailable(Unavailability why) implements DependencyCheckResult {}
}
