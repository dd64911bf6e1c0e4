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
   * @param reason the end of the error message to the user, which begins with the name of the field
   */
  record Invalid(String reason) implements DependencyCheckResult {}

  /** The dependencies could not be read from the state service; the user may submit again. */
  record Unavailable(Unavailability reason) implements DependencyCheckResult {}
}
