package fennelthread.jobs;

import fennelthread.state.Unavailability;

/** The outcome of checking the dependencies that a submission names. */
public sealed interface DependencyCheckResult {
  /**
   * Every dependency was accepted, and none is a service.
   *
   * @param hasCancelledDependency true if one of them was cancelled, or is to be
   */
  record Valid(boolean hasCancelledDependency) implements DependencyCheckResult {}

  /**
   * A dependency was never accepted, or is a service.
   *
   * @param reason the rest of a sentence for the user that begins with the field's name
   */
  record Invalid(String reason) implements DependencyCheckResult {}

  /** The state service could not be read; the submission may be repeated. */
  record Unavailable(Unavailability reason) implements DependencyCheckResult {}
}
